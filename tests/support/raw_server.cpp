#include "support/raw_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace azurespindle::tests {
namespace {

constexpr int backlog = 256;
constexpr int pollMs = 20;
constexpr int sendBufferBytes = 65'536;
constexpr std::size_t endlessPieceBytes = 32'768;
constexpr milliseconds timeToRead {100};

bool ready(int socket, short events)
{
    pollfd waited {socket, events, 0};
    return ::poll(&waited, 1, pollMs) > 0;
}

std::size_t contentLength(const std::string &head)
{
    for (const char *name : {"Content-Length: ", "content-length: "}) {
        const std::size_t found = head.find(name);
        if (found != std::string::npos) {
            return std::stoull(head.substr(found + std::string(name).size()));
        }
    }
    return 0;
}

} // namespace

RawServer::RawServer(Script script, std::uint16_t port)
    : script(std::move(script)), listener(::socket(AF_INET, SOCK_STREAM, 0))
{
    const int on = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    if (::bind(this->listener, generic, size) != 0 || ::listen(this->listener, backlog) != 0
        || ::getsockname(this->listener, generic, &size) != 0) {
        ::close(this->listener);
        throw std::runtime_error("the raw server cannot listen");
    }
    this->listeningPort = ntohs(address.sin_port);
    this->acceptThread = std::thread([this] { this->acceptConnections(); });
}

RawServer::~RawServer()
{
    this->stopping = true;
    this->acceptThread.join();
    std::unique_lock lock(this->mutex);
    this->threadEnded.wait(lock, [this] { return this->threads == 0; });
    lock.unlock();
    ::close(this->listener);
}

void RawServer::acceptConnections()
{
    while (!this->stopping) {
        if (!ready(this->listener, POLLIN)) {
            continue;
        }
        const int connection = ::accept(this->listener, nullptr, nullptr);
        if (connection >= 0) {
            ::setsockopt(connection, SOL_SOCKET, SO_SNDBUF, &sendBufferBytes,
                         sizeof(sendBufferBytes));
            this->openCount += 1;
            {
                const std::lock_guard lock(this->mutex);
                this->threads += 1;
            }
            std::thread([this, connection] {
                this->serve(connection);
                const std::lock_guard lock(this->mutex);
                this->threads -= 1;
                this->threadEnded.notify_all();
            }).detach();
        }
    }
}

void RawServer::serve(int connection)
{
    std::string request;
    std::size_t headEnd = std::string::npos;
    char buffer[16'384];
    while (!this->stopping
           && (headEnd == std::string::npos
               || request.size() < headEnd + 4 + contentLength(request.substr(0, headEnd)))) {
        if (!ready(connection, POLLIN)) {
            continue;
        }
        const ssize_t count = ::recv(connection, buffer, sizeof(buffer), 0);
        if (count <= 0) {
            break;
        }
        request.append(buffer, static_cast<std::size_t>(count));
        headEnd = request.find("\r\n\r\n");
    }
    if (headEnd != std::string::npos) {
        this->requestCount += 1;
        const RawAnswer answer = this->script(request);
        const bool sent = answer.pieceBytes == 0 ? this->sendAll(connection, answer.bytes)
                                                 : this->sendInPieces(connection, answer);
        if (sent && answer.end == RawEnd::Endless) {
            this->repeat(connection, answer);
        } else if (sent && answer.end == RawEnd::Hold) {
            this->waitForClose(connection);
        } else if (answer.end == RawEnd::Reset) {
            std::this_thread::sleep_for(timeToRead);
            const linger abrupt {1, 0};
            ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &abrupt, sizeof(abrupt));
        }
    }
    this->openCount -= 1;
    ::close(connection);
}

void RawServer::repeat(int connection, const RawAnswer &answer)
{
    std::string piece;
    while (piece.size() < endlessPieceBytes) {
        piece += answer.repeated;
    }
    const std::size_t end = answer.repeatBytes > 0 ? answer.repeatBytes : maxEndlessBytes;
    for (std::size_t sent = 0; sent < end; sent += piece.size()) {
        if (!this->sendAll(connection, piece)) {
            return;
        }
        this->endlessByteCount += piece.size();
    }
    if (answer.repeatBytes == 0) {
        this->waitForClose(connection);
    }
}

void RawServer::waitForClose(int connection) const
{
    char buffer[1'024];
    while (!this->stopping) {
        if (ready(connection, POLLIN) && ::recv(connection, buffer, sizeof(buffer), 0) <= 0) {
            return;
        }
    }
}

bool RawServer::sendInPieces(int connection, const RawAnswer &answer) const
{
    for (std::size_t begin = 0; begin < answer.bytes.size(); begin += answer.pieceBytes) {
        if (!this->sendAll(connection, answer.bytes.substr(begin, answer.pieceBytes))) {
            return false;
        }
        std::this_thread::sleep_for(answer.piecePause);
    }
    return true;
}

bool RawServer::sendAll(int connection, const std::string &bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size() && !this->stopping) {
        if (!ready(connection, POLLOUT)) {
            continue;
        }
        const ssize_t count = ::send(connection, bytes.data() + sent, bytes.size() - sent,
                                     MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count < 0 && errno != EAGAIN) {
            return false;
        }
        sent += static_cast<std::size_t>(std::max<ssize_t>(count, 0));
    }
    return sent == bytes.size();
}

} // namespace azurespindle::tests
