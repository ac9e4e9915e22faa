#include "http/internal/connection_writer.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace azurespindle::http::internal {

void ConnectionWriter::push(std::string bytes, SentHandler onSent, CountedBytes counted)
{
    this->parts.push_back({std::move(bytes), 0, std::move(onSent), std::move(counted)});
}

WriteProgress ConnectionWriter::write(int socket)
{
    std::size_t left = maxBytesPerWrite;
    while (!this->parts.empty()) {
        Part &part = this->parts.front();
        const std::size_t wanted = std::min(left, part.bytes.size() - part.written);
        if (wanted == 0 && part.written < part.bytes.size()) {
            return WriteProgress::Blocked; // The other connections take their turn.
        }
        const ssize_t sent = wanted == 0
            ? 0
            : ::send(socket, part.bytes.data() + part.written, wanted, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent < 0) {
            return errno == EAGAIN || errno == EWOULDBLOCK ? WriteProgress::Blocked
                                                           : WriteProgress::Failed;
        }
        const auto count = static_cast<std::size_t>(sent);
        part.written += count;
        left -= count;
        const bool last = part.written == part.bytes.size();
        const SentHandler onSent = part.onSent;
        if (last) {
            this->parts.pop_front();
        }
        onSent(count, last);
    }
    return WriteProgress::Finished;
}

} // namespace azurespindle::http::internal
