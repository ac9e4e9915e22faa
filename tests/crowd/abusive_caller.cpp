#include "crowd/abusive_caller.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace azurespindle::tests {

AbusiveCaller::AbusiveCaller(std::uint16_t port) : socket(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(this->socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(this->socket);
        this->socket = -1;
    }
}

AbusiveCaller::~AbusiveCaller()
{
    if (this->socket >= 0) {
        ::close(this->socket);
    }
}

std::size_t AbusiveCaller::sendText(const std::string &text) const
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t count
            = ::send(this->socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            break;
        }
        sent += static_cast<std::size_t>(count);
    }
    return sent;
}

std::size_t AbusiveCaller::send(const AbusiveInput &input, milliseconds patience) const
{
    const auto secondsPart = std::chrono::duration_cast<seconds>(patience);
    const auto rest = std::chrono::duration_cast<microseconds>(patience - secondsPart);
    const timeval timeout {secondsPart.count(), rest.count()};
    ::setsockopt(this->socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    std::size_t sent = this->sendText(input.beginning);
    while (sent >= input.beginning.size() && sent + input.repeated.size() <= input.totalBytes) {
        const std::size_t count = this->sendText(input.repeated);
        sent += count;
        if (count < input.repeated.size()) {
            break;
        }
    }
    return sent;
}

} // namespace azurespindle::tests
