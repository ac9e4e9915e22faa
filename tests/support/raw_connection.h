#ifndef AZURESPINDLE_TESTS_SUPPORT_RAW_CONNECTION_H
#define AZURESPINDLE_TESTS_SUPPORT_RAW_CONNECTION_H

#include "base/time_types.h"

#include <cstdint>
#include <optional>
#include <string>

namespace azurespindle::tests {

/// How far a RawConnection is when its constructor returns.
enum class Connecting {
    Finished, ///< Connected, or refused.
    Begun,    ///< connectedWithin() tells when it is connected.
};

/// A TCP connection to loopback that sends and reads exactly what a test says.
class RawConnection
{
public:
    /// \param receiveBufferBytes size of the buffer in the system for bytes that are not read yet;
    /// 0: the system's own choice.
    explicit RawConnection(std::uint16_t port, Connecting connecting = Connecting::Finished,
                           int receiveBufferBytes = 0);
    ~RawConnection();
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    bool connected() const { return this->socket >= 0; }
    /// Returns true if a connecting that was begun succeeds within \a patience.
    bool connectedWithin(milliseconds patience) const;
    void send(const std::string &bytes) const;
    /// Reads what is there, at most so many bytes. \return nothing if none came for \a patience; no
    /// bytes once the other side has closed or reset.
    std::optional<std::string> readSome(milliseconds patience,
                                        std::size_t mostBytes = 65'536) const;
    /// Reads until the other side closes, or nothing came for \a patience.
    std::string readAll(milliseconds patience) const;
    /// Reads until \a end was read, or nothing came for \a patience.
    std::string readUntil(const std::string &end, milliseconds patience) const;
    /// Returns true if the other side closes within \a patience.
    bool closedWithin(milliseconds patience) const;

private:
    bool waitReadable(milliseconds patience) const;

    int socket;
};

} // namespace azurespindle::tests

#endif
