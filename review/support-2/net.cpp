#include "net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <optional>
#include <stdexcept>
#include <utility>

namespace review {
namespace {

const auto startTime = std::chrono::steady_clock::now();
constexpr int backlog = 512;
constexpr int pollMs = 20;
constexpr std::size_t bufferBytes = 16'384;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int listenOn(std::uint16_t port, std::uint16_t &listeningPort)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = loopback(port);
    if (::bind(listener, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0
        || ::listen(listener, backlog) != 0) {
        ::close(listener);
        throw std::runtime_error("cannot listen on loopback");
    }
    socklen_t length = sizeof(address);
    ::getsockname(listener, reinterpret_cast<sockaddr *>(&address), &length);
    listeningPort = ntohs(address.sin_port);
    return listener;
}

int connectTo(std::uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(socket);
        return -1;
    }
    return socket;
}

bool readable(int socket, int timeoutMs)
{
    pollfd entry {socket, POLLIN, 0};
    return ::poll(&entry, 1, timeoutMs) > 0;
}

/// Makes the close of a socket a reset, as when a process dies with unread bytes.
void resetOnClose(int socket)
{
    const linger now {1, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

bool sendAll(int socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count
            = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

std::string percentDecoded(const std::string &text)
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
        } else {
            decoded += text[at];
        }
    }
    return decoded;
}

/// Reads from a socket what a message needs.
class Reader
{
public:
    Reader(int socket, milliseconds patience) : socket(socket), patience(patience) { }

    /// Reads one more piece. \return false if the other side closed or nothing came in time.
    bool more()
    {
        char bytes[bufferBytes];
        if (!readable(this->socket, static_cast<int>(this->patience.count()))) {
            return false;
        }
        const ssize_t count = ::recv(this->socket, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            this->endedCleanly = count == 0;
            return false;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    /// Returns the bytes up to \a end, and removes them with it; nothing if they don't come.
    std::optional<std::string> until(const std::string &end)
    {
        std::size_t found = this->buffer.find(end);
        while (found == std::string::npos) {
            if (!this->more()) {
                return std::nullopt;
            }
            found = this->buffer.find(end);
        }
        std::string text = this->buffer.substr(0, found);
        this->buffer.erase(0, found + end.size());
        return text;
    }

    bool exactly(std::size_t count, std::string &to)
    {
        while (this->buffer.size() < count) {
            if (!this->more()) {
                to += this->buffer;
                return false;
            }
        }
        to += this->buffer.substr(0, count);
        this->buffer.erase(0, count);
        return true;
    }

    std::string buffer;
    bool endedCleanly = false;

private:
    const int socket;
    const milliseconds patience;
};

std::string parseHead(const std::string &head, HttpMessage &message)
{
    const std::size_t firstEnd = std::min(head.find("\r\n"), head.size());
    std::size_t begin = firstEnd + 2;
    while (begin < head.size()) {
        const std::size_t end = std::min(head.find("\r\n", begin), head.size());
        const std::string line = head.substr(begin, end - begin);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.headers[lowerCase(line.substr(0, colon))]
                = value == std::string::npos ? "" : line.substr(value);
        }
        begin = end + 2;
    }
    return head.substr(0, firstEnd);
}

void readBody(Reader &reader, HttpMessage &message, bool isResponse)
{
    if (message.header("transfer-encoding") == "chunked") {
        while (const auto size = reader.until("\r\n")) {
            const std::size_t bytes = std::stoul(*size, nullptr, 16);
            std::string end;
            if (!reader.exactly(bytes, message.body) || !reader.exactly(2, end)) {
                return;
            }
            if (bytes == 0) {
                message.complete = true;
                return;
            }
        }
        return;
    }
    const auto length = message.headers.find("content-length");
    if (length != message.headers.end()) {
        message.complete = reader.exactly(std::stoul(length->second), message.body);
        return;
    }
    if (!isResponse) {
        message.complete = true;
        return;
    }
    while (reader.more()) { }
    message.body = reader.buffer;
    message.complete = reader.endedCleanly;
}

void parseTarget(HttpMessage &request)
{
    const std::size_t question = std::min(request.target.find('?'), request.target.size());
    request.path = request.target.substr(0, question);
    std::size_t begin = question + 1;
    while (begin < request.target.size()) {
        const std::size_t end = std::min(request.target.find('&', begin), request.target.size());
        const std::string field = request.target.substr(begin, end - begin);
        const std::size_t equals = std::min(field.find('='), field.size());
        const std::string value = equals < field.size() ? field.substr(equals + 1) : "";
        request.query[field.substr(0, equals)] = percentDecoded(value);
        begin = end + 1;
    }
}

} // namespace

double nowMs()
{
    const auto passed = std::chrono::steady_clock::now() - startTime;
    return std::chrono::duration<double, std::milli>(passed).count();
}

void sleepMs(double duration)
{
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(duration));
}

Record::Record(const std::string &path) : file(path, std::ios::trunc)
{
    if (!this->file) {
        throw std::runtime_error("cannot write " + path);
    }
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(this->mutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%10.1f ", nowMs());
    this->file << time << text << std::endl;
}

std::string HttpMessage::header(const std::string &name) const
{
    const auto found = this->headers.find(name);
    return found == this->headers.end() ? "" : found->second;
}

bool Connection::send(const std::string &bytes) const
{
    return sendAll(this->socket, bytes);
}

bool Connection::respond(int status, const std::map<std::string, std::string> &headers,
                         const std::string &body) const
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
    for (const auto &[name, value] : headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n";
    return this->send(text + body);
}

bool Connection::sendChunk(const std::string &bytes) const
{
    char size[24];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return this->send(size + bytes + "\r\n");
}

bool Connection::closed() const
{
    char byte = 0;
    const ssize_t count = ::recv(this->socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

HttpServer::HttpServer(Handler handler, std::uint16_t port) : handler(std::move(handler))
{
    this->listener = listenOn(port, this->listeningPort);
    this->acceptThread = std::thread([this] { this->acceptConnections(); });
}

HttpServer::~HttpServer()
{
    this->stop();
    std::unique_lock lock(this->mutex);
    this->ended.wait(lock, [this] { return this->threads == 0; });
}

void HttpServer::stop()
{
    if (!this->stopping.exchange(true)) {
        this->acceptThread.join();
        ::close(this->listener);
    }
    const std::lock_guard lock(this->mutex);
    for (const int socket : this->sockets) {
        resetOnClose(socket);
        ::shutdown(socket, SHUT_RD);
    }
}

void HttpServer::acceptConnections()
{
    while (!this->stopping) {
        if (!readable(this->listener, pollMs)) {
            continue;
        }
        const int socket = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            continue;
        }
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        const std::lock_guard lock(this->mutex);
        this->sockets.insert(socket);
        this->threads += 1;
        std::thread([this, socket] { this->serve(socket); }).detach();
    }
}

void HttpServer::serve(int socket)
{
    Reader reader(socket, milliseconds(10'000));
    if (const auto head = reader.until("\r\n\r\n")) {
        HttpMessage request;
        const std::string line = parseHead(*head, request);
        const std::size_t first = std::min(line.find(' '), line.size());
        const std::size_t second = std::min(line.find(' ', first + 1), line.size());
        request.method = line.substr(0, first);
        request.target = line.substr(std::min(first + 1, line.size()), second - first - 1);
        parseTarget(request);
        readBody(reader, request, false);
        if (request.complete && !this->stopping) {
            this->handler(request, Connection(socket));
        }
    }
    const std::lock_guard lock(this->mutex);
    this->sockets.erase(socket);
    ::close(socket);
    this->threads -= 1;
    this->ended.notify_all();
}

Proxy::Proxy(std::uint16_t target) : target(target)
{
    this->listener = listenOn(0, this->listeningPort);
    this->acceptThread = std::thread([this] { this->acceptConnections(); });
}

Proxy::~Proxy()
{
    this->stopping = true;
    this->acceptThread.join();
    ::close(this->listener);
    while (this->threads > 0) {
        sleepMs(1);
    }
}

void Proxy::acceptConnections()
{
    while (!this->stopping) {
        // While it is silent, connections wait in the backlog: they are not answered.
        if (this->silent || !readable(this->listener, pollMs)) {
            sleepMs(1);
            continue;
        }
        const int client = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (client >= 0) {
            this->threads += 1;
            std::thread([this, client] { this->pass(client); }).detach();
        }
    }
}

void Proxy::pass(int client)
{
    const int server = connectTo(this->target);
    bool open = server >= 0;
    while (open && !this->stopping) {
        if (this->silent) {
            sleepMs(1);
            continue;
        }
        pollfd entries[2] {{client, POLLIN, 0}, {server, POLLIN, 0}};
        ::poll(entries, 2, pollMs);
        for (int side = 0; side < 2 && open && !this->silent; ++side) {
            if (entries[side].revents == 0) {
                continue;
            }
            char bytes[bufferBytes];
            const ssize_t count = ::recv(entries[side].fd, bytes, sizeof(bytes), 0);
            open = count > 0
                && sendAll(entries[1 - side].fd,
                           std::string(bytes, static_cast<std::size_t>(count)));
        }
    }
    ::close(client);
    if (server >= 0) {
        ::close(server);
    }
    this->threads -= 1;
}

KeptConnection::KeptConnection(std::uint16_t port) : socket(connectTo(port))
{ }

KeptConnection::~KeptConnection()
{
    if (this->socket >= 0) {
        ::close(this->socket);
    }
}

HttpMessage KeptConnection::call(const std::string &method, const std::string &target,
                                 const std::vector<std::pair<std::string, std::string>> &headers,
                                 const std::string &body, milliseconds patience)
{
    HttpMessage response;
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    if (!body.empty() || method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    Reader reader(this->socket, patience);
    if (this->open() && sendAll(this->socket, text + "\r\n" + body)) {
        if (const auto head = reader.until("\r\n\r\n")) {
            const std::string line = parseHead(*head, response);
            response.status = line.size() > 12 ? std::stoi(line.substr(9, 3)) : 0;
            readBody(reader, response, true);
        }
    }
    if (this->open() && (!response.complete || response.header("connection") == "close")) {
        ::close(std::exchange(this->socket, -1));
    }
    return response;
}

HttpMessage call(std::uint16_t port, const std::string &method, const std::string &target,
                 const std::vector<std::pair<std::string, std::string>> &headers,
                 const std::string &body, milliseconds patience)
{
    return KeptConnection(port).call(method, target, headers, body, patience);
}

std::uint16_t freePort()
{
    // Below the ports that the system gives to connections, which could take it meanwhile.
    constexpr int lowest = 12'000;
    constexpr int count = 18'000;
    static int next = ::getpid() * 61 % count;
    for (int tries = 0; tries < count; ++tries) {
        next = (next + 1) % count;
        const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(static_cast<std::uint16_t>(lowest + next));
        const bool free
            = ::bind(probe, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
        ::close(probe);
        if (free) {
            return static_cast<std::uint16_t>(lowest + next);
        }
    }
    throw std::runtime_error("no port is free on loopback");
}

} // namespace review
