#include "support/raw_connection.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace azurespindle::tests {

RawConnection::RawConnection(std::uint16_t port, Connecting connecting, int receiveBufferBytes)
    : socket(
        ::socket(AF_INET, SOCK_STREAM | (connecting == Connecting::Begun ? SOCK_NONBLOCK : 0), 0))
{
    if (receiveBufferBytes > 0) {
        ::setsockopt(this->socket, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes,
                     sizeof(receiveBufferBytes));
    }
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int result
        = ::connect(this->socket, reinterpret_cast<sockaddr *>(&address), sizeof(address));
    if (result != 0 && !(connecting == Connecting::Begun && errno == EINPROGRESS)) {
        ::close(this->socket);
        this->socket = -1;
    }
}

RawConnection::~RawConnection()
{
    if (this->socket >= 0) {
        ::close(this->socket);
    }
}

bool RawConnection::connectedWithin(milliseconds patience) const
{
    pollfd waited {this->socket, POLLOUT, 0};
    const bool ready = ::poll(&waited, 1, static_cast<int>(patience.count())) > 0;
    return ready && (waited.revents & (POLLERR | POLLHUP)) == 0;
}

void RawConnection::send(const std::string &bytes) const
{
    ::send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

bool RawConnection::waitReadable(milliseconds patience) const
{
    pollfd waited {this->socket, POLLIN, 0};
    return ::poll(&waited, 1, static_cast<int>(patience.count())) > 0;
}

std::optional<std::string> RawConnection::readSome(milliseconds patience,
                                                   std::size_t mostBytes) const
{
    if (!this->waitReadable(patience)) {
        return std::nullopt;
    }
    std::string bytes(mostBytes, '\0');
    const ssize_t count = ::recv(this->socket, bytes.data(), bytes.size(), 0);
    bytes.resize(static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    return bytes;
}

std::string RawConnection::readUntil(const std::string &end, milliseconds patience) const
{
    std::string text;
    char buffer[65'536];
    while (this->waitReadable(patience)) {
        const ssize_t count = ::recv(this->socket, buffer, sizeof(buffer), 0);
        if (count <= 0) {
            break;
        }
        text.append(buffer, static_cast<std::size_t>(count));
        if (!end.empty() && text.find(end) != std::string::npos) {
            break;
        }
    }
    return text;
}

std::string RawConnection::readAll(milliseconds patience) const
{
    return this->readUntil("", patience);
}

bool RawConnection::closedWithin(milliseconds patience) const
{
    const Instant deadline = monotonicNow() + patience;
    char buffer[65'536];
    while (monotonicNow() < deadline) {
        if (!this->waitReadable(milliseconds(50))) {
            continue;
        }
        if (::recv(this->socket, buffer, sizeof(buffer), 0) <= 0) {
            return true;
        }
    }
    return false;
}

} // namespace azurespindle::tests
