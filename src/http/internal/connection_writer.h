#ifndef AZURESPINDLE_HTTP_INTERNAL_CONNECTION_WRITER_H
#define AZURESPINDLE_HTTP_INTERNAL_CONNECTION_WRITER_H

#include "http/internal/counted_bytes.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <string>

namespace azurespindle::http::internal {

/// How far ConnectionWriter::write() came.
enum class WriteProgress {
    Finished, ///< All bytes were written.
    Blocked,  ///< The socket takes no more for now.
    Failed,   ///< The connection is broken.
};

/// The bytes that a connection has yet to send.
///
/// It writes only what the socket takes at once and never waits, so that a caller that does not
/// read holds up nobody else. Only the thread that owns the connection may use it.
class ConnectionWriter
{
public:
    /// Largest part that is handed to the socket in one call, so that a caller that reads a large
    /// response fast does not keep the thread from the others for long.
    static constexpr std::size_t maxBytesPerWrite = 262'144;

    /// Called after bytes were written. \param bytes number of bytes; 0 for an empty part.
    /// \param last true if they were the last ones of the part.
    using SentHandler = std::function<void(std::size_t bytes, bool last)>;

    // Commands

    /// Appends a part to what is to be sent.
    /// \param counted counts the part's memory, until its last byte is written.
    void push(std::string bytes, SentHandler onSent, CountedBytes counted = {});
    /// Discards what is not written yet.
    void clear() { this->parts.clear(); }
    /// Writes what the socket takes, up to maxBytesPerWrite.
    WriteProgress write(int socket);

    // Queries

    bool empty() const { return this->parts.empty(); }

private:
    struct Part
    {
        std::string bytes;
        std::size_t written = 0;
        SentHandler onSent;
        CountedBytes counted;
    };

    std::deque<Part> parts;
};

} // namespace azurespindle::http::internal

#endif
