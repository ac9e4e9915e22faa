#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <stdexcept>

namespace review {
namespace {

constexpr int backlog = 512;
constexpr std::size_t receiveBytes = 65'536;
constexpr int hexadecimal = 16;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int listenOn(std::uint16_t port, std::uint16_t &bound)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = loopback(port);
    socklen_t size = sizeof(address);
    if (::bind(descriptor, reinterpret_cast<sockaddr *>(&address), size) != 0
        || ::listen(descriptor, backlog) != 0) {
        ::close(descriptor);
        throw std::runtime_error("port " + std::to_string(port) + " is in use");
    }
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    bound = ntohs(address.sin_port);
    return descriptor;
}

std::string word(const std::string &line, std::size_t index)
{
    std::size_t begin = 0;
    for (std::size_t skipped = 0; skipped < index; ++skipped) {
        begin = std::min(line.find(' ', begin), line.size());
        begin += begin < line.size() ? 1 : 0;
    }
    return line.substr(begin, std::min(line.find(' ', begin), line.size()) - begin);
}

} // namespace

Socket::Socket(Socket &&other) noexcept : descriptor(std::exchange(other.descriptor, -1))
{ }

Socket &Socket::operator=(Socket &&other) noexcept
{
    if (this != &other) {
        this->close();
        this->descriptor = std::exchange(other.descriptor, -1);
    }
    return *this;
}

Socket::~Socket()
{
    this->close();
}

void Socket::close()
{
    if (this->descriptor >= 0) {
        ::close(std::exchange(this->descriptor, -1));
    }
}

Socket Socket::connect(std::uint16_t port)
{
    Socket made(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    ::setsockopt(made.descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    sockaddr_in address = loopback(port);
    if (::connect(made.descriptor, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
        made.close();
    }
    return made;
}

bool Socket::send(const std::string &bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count
            = ::send(this->descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::optional<std::string> Socket::receive(milliseconds patience) const
{
    pollfd waited {this->descriptor, POLLIN, 0};
    if (::poll(&waited, 1, static_cast<int>(std::max<long>(0, patience.count()))) <= 0) {
        return std::nullopt;
    }
    std::string bytes(receiveBytes, '\0');
    const ssize_t count = ::recv(this->descriptor, bytes.data(), bytes.size(), 0);
    bytes.resize(static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    return bytes;
}

std::string Message::field(const std::string &name) const
{
    for (const auto &[known, value] : this->fields) {
        if (::strcasecmp(known.c_str(), name.c_str()) == 0) {
            return value;
        }
    }
    return "";
}

std::string Message::method() const
{
    return word(this->start, 0);
}

std::string Message::target() const
{
    return word(this->start, 1);
}

int Message::status() const
{
    return std::atoi(word(this->start, 1).c_str());
}

bool MessageReader::fill(Clock::time_point until, ReadEnd &end)
{
    const auto left = std::chrono::ceil<milliseconds>(until - Clock::now());
    const auto bytes = this->socket->receive(left);
    if (!bytes || bytes->empty()) {
        end = bytes ? ReadEnd::Closed : ReadEnd::TimedOut;
        return false;
    }
    this->buffer += *bytes;
    return true;
}

ReadEnd MessageReader::readLine(std::string &line, Clock::time_point until)
{
    ReadEnd end = ReadEnd::Whole;
    std::size_t found = this->buffer.find("\r\n");
    while (found == std::string::npos) {
        if (!this->fill(until, end)) {
            return end;
        }
        found = this->buffer.find("\r\n");
    }
    line = this->buffer.substr(0, found);
    this->buffer.erase(0, found + 2);
    return end;
}

ReadEnd MessageReader::readBytes(std::string &body, std::size_t count, Clock::time_point until)
{
    ReadEnd end = ReadEnd::Whole;
    while (count > 0) {
        if (this->buffer.empty() && !this->fill(until, end)) {
            return end;
        }
        const std::size_t taken = std::min(count, this->buffer.size());
        body.append(this->buffer, 0, taken);
        this->buffer.erase(0, taken);
        count -= taken;
    }
    return end;
}

ReadEnd MessageReader::read(Message &message, Clock::time_point until, bool isResponse)
{
    message = {};
    ReadEnd end = this->readLine(message.start, until);
    std::string line;
    while (end == ReadEnd::Whole) {
        end = this->readLine(line, until);
        if (line.empty()) {
            break;
        }
        const std::size_t colon = std::min(line.find(':'), line.size());
        const std::size_t value = std::min(line.find_first_not_of(" \t", colon + 1), line.size());
        message.fields.emplace_back(line.substr(0, colon), line.substr(value));
    }
    if (end != ReadEnd::Whole) {
        return end;
    }
    if (::strcasecmp(message.field("Transfer-Encoding").c_str(), "chunked") == 0) {
        while (end == ReadEnd::Whole) {
            end = this->readLine(line, until);
            const std::size_t size = std::strtoul(line.c_str(), nullptr, hexadecimal);
            if (end == ReadEnd::Whole) {
                end = this->readBytes(message.body, size, until);
            }
            if (end == ReadEnd::Whole) {
                end = this->readLine(line, until);
            }
            if (size == 0) {
                return end;
            }
        }
        return end;
    }
    const std::string length = message.field("Content-Length");
    if (!length.empty()) {
        return this->readBytes(message.body, std::strtoul(length.c_str(), nullptr, 10), until);
    }
    if (!isResponse) {
        return end;
    }
    while (this->fill(until, end)) {
        message.body += std::exchange(this->buffer, {});
    }
    return end == ReadEnd::Closed ? ReadEnd::Whole : end;
}

std::string responseText(int status, const std::vector<std::pair<std::string, std::string>> &fields,
                         const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto &[name, value] : fields) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

HttpServer::HttpServer(std::uint16_t port, Handler handler) : handler(std::move(handler))
{
    this->listener = listenOn(port, this->listenPort);
    this->acceptThread = std::thread([this] { this->accept(); });
}

HttpServer::~HttpServer()
{
    this->crash();
}

void HttpServer::crash()
{
    if (this->stopping.exchange(true)) {
        return;
    }
    ::shutdown(this->listener, SHUT_RDWR);
    this->acceptThread.join();
    ::close(this->listener);
    std::vector<std::thread> ending;
    {
        const std::lock_guard lock(this->mutex);
        for (const Socket &each : this->connections) {
            ::shutdown(each.number(), SHUT_RDWR);
        }
        ending.swap(this->threads);
    }
    for (std::thread &each : ending) {
        each.join();
    }
}

void HttpServer::accept()
{
    while (!this->stopping) {
        const int descriptor = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            continue;
        }
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        const std::lock_guard lock(this->mutex);
        const Socket &connection = this->connections.emplace_back(descriptor);
        this->threads.emplace_back([this, &connection] { this->serve(connection); });
    }
}

void HttpServer::serve(const Socket &connection)
{
    MessageReader reader(connection);
    Message request;
    const auto patience = std::chrono::minutes(5);
    while (!this->stopping
           && reader.read(request, Clock::now() + patience, false) == ReadEnd::Whole) {
        if (!this->handler(request, connection)) {
            break;
        }
    }
    const std::lock_guard lock(this->mutex);
    this->connections.remove_if([&](const Socket &each) { return &each == &connection; });
}

std::uint16_t freePort()
{
    std::uint16_t port = 0;
    ::close(listenOn(0, port));
    return port;
}

} // namespace review
