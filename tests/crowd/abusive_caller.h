#ifndef AZURESPINDLE_TESTS_CROWD_ABUSIVE_CALLER_H
#define AZURESPINDLE_TESTS_CROWD_ABUSIVE_CALLER_H

#include "base/time_types.h"

#include <cstdint>
#include <string>

namespace azurespindle::tests {

/// What one abusive caller sends: a beginning, and a part that it repeats.
struct AbusiveInput
{
    std::string beginning;
    std::string repeated;
    std::size_t totalBytes = 0; ///< Bytes after which it stops sending and keeps the connection.
};

/// Connects to a port on loopback and sends without reading responses. The connection stays open
/// until the object is destroyed, also if the other side has closed it.
class AbusiveCaller
{
public:
    explicit AbusiveCaller(std::uint16_t port);
    ~AbusiveCaller();
    AbusiveCaller(const AbusiveCaller &) = delete;
    AbusiveCaller &operator=(const AbusiveCaller &) = delete;

    /// Sends \a input until all of it is sent, the other side has closed the connection, or nothing
    /// could be sent for \a patience. \return the number of bytes sent.
    std::size_t send(const AbusiveInput &input, milliseconds patience) const;

private:
    /// Sends the bytes of \a text. \return the number of bytes sent; fewer than all if it failed.
    std::size_t sendText(const std::string &text) const;

    int socket;
};

} // namespace azurespindle::tests

#endif
