#ifndef AZURESPINDLE_TESTS_SUPPORT_RAW_SERVER_H
#define AZURESPINDLE_TESTS_SUPPORT_RAW_SERVER_H

#include "base/time_types.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace azurespindle::tests {

/// How a RawServer ends the connection after the bytes of an answer.
enum class RawEnd {
    Close,   ///< Closes it cleanly.
    Reset,   ///< Resets it, once the caller has had time to read.
    Hold,    ///< Sends nothing more, until the caller closes.
    Endless, ///< Repeats some bytes until the caller closes.
};

/// The answer of a RawServer to one request.
struct RawAnswer
{
    std::string bytes;
    RawEnd end = RawEnd::Close;
    std::string repeated {};     ///< For RawEnd::Endless.
    std::size_t repeatBytes = 0; ///< If set, an endless answer ends after about so many bytes.
    std::size_t pieceBytes = 0;  ///< If set, the bytes are sent in pieces of this size,
    milliseconds piecePause {0}; ///< with this pause between them.
};

/// A TCP server on loopback that answers each connection's request with exactly the bytes, and the
/// end, that a test says.
class RawServer
{
public:
    /// Receives a request with its body. May be called by many threads at once.
    using Script = std::function<RawAnswer(const std::string &request)>;

    /// Bytes of an endless answer after which nothing more is sent, to spare the test's memory.
    static constexpr std::size_t maxEndlessBytes = 67'108'864;

    /// Listens on a free port, or on \a port.
    explicit RawServer(Script script, std::uint16_t port = 0);
    ~RawServer();
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    // Queries

    std::uint16_t port() const { return this->listeningPort; }
    std::string address() const { return "127.0.0.1:" + std::to_string(this->listeningPort); }
    std::size_t requests() const { return this->requestCount; }
    /// Returns the number of connections that neither side has closed.
    std::size_t openConnections() const { return this->openCount; }
    /// Returns the bytes sent beyond RawAnswer::bytes, over all connections.
    std::size_t endlessBytes() const { return this->endlessByteCount; }

private:
    void acceptConnections();
    void serve(int connection);
    void repeat(int connection, const RawAnswer &answer);
    /// Waits until the caller closes or this server stops.
    void waitForClose(int connection) const;
    bool sendAll(int connection, const std::string &bytes) const;
    bool sendInPieces(int connection, const RawAnswer &answer) const;

    const Script script;
    int listener = -1;
    std::uint16_t listeningPort = 0;
    std::atomic<bool> stopping {false};
    std::atomic<std::size_t> requestCount {0};
    std::atomic<std::size_t> openCount {0};
    std::atomic<std::size_t> endlessByteCount {0};
    std::mutex mutex; ///< Guards `threads`.
    std::condition_variable threadEnded;
    /// Threads of connections. None is kept after its end, as each would keep its stack.
    std::size_t threads = 0;
    std::thread acceptThread;
};

} // namespace azurespindle::tests

#endif
