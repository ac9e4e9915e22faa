#ifndef AZURESPINDLE_REVIEW_SUPPORT_HTTP_H
#define AZURESPINDLE_REVIEW_SUPPORT_HTTP_H

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// A TCP connection on loopback. Closes when it is destroyed.
class Socket
{
public:
    Socket() = default;
    explicit Socket(int descriptor) : descriptor(descriptor) { }
    Socket(Socket &&other) noexcept;
    Socket &operator=(Socket &&other) noexcept;
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;
    ~Socket();

    /// Connects to a port on loopback. The result is not open if that fails.
    static Socket connect(std::uint16_t port);

    bool isOpen() const { return this->descriptor >= 0; }
    int number() const { return this->descriptor; }
    /// Sends all bytes. \return false if the connection ended.
    bool send(const std::string &bytes) const;
    /// Waits for bytes. \return nothing if none came in time, empty text if the connection ended.
    std::optional<std::string> receive(milliseconds patience) const;
    void close();

private:
    int descriptor = -1;
};

/// A request or a response.
struct Message
{
    std::string start; ///< The first line.
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    /// Returns the value of a header field, or an empty text.
    std::string field(const std::string &name) const;
    std::string method() const;
    std::string target() const;
    int status() const;
};

/// How the reading of a message ended.
enum class ReadEnd {
    Whole,    ///< The message is complete.
    Closed,   ///< The connection ended before that.
    TimedOut, ///< The time ran out before that.
};

/// Reads messages from a connection, with a length or in chunks.
class MessageReader
{
public:
    explicit MessageReader(const Socket &socket) : socket(&socket) { }

    /// Reads the next message. What came of it is in \a message, also if it is not whole.
    ReadEnd read(Message &message, Clock::time_point until, bool isResponse);

private:
    bool fill(Clock::time_point until, ReadEnd &end);
    ReadEnd readLine(std::string &line, Clock::time_point until);
    ReadEnd readBytes(std::string &body, std::size_t count, Clock::time_point until);

    const Socket *socket;
    std::string buffer;
};

/// Returns an HTTP response with a length.
std::string responseText(int status, const std::vector<std::pair<std::string, std::string>> &fields,
                         const std::string &body);

/// A server on loopback with a thread for each connection.
class HttpServer
{
public:
    /// Answers one request on its connection. \return false to close the connection.
    using Handler = std::function<bool(const Message &request, const Socket &connection)>;

    HttpServer(std::uint16_t port, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    std::uint16_t port() const { return this->listenPort; }
    /// Closes the listening socket and all connections, as the end of the process would.
    void crash();

private:
    void accept();
    void serve(const Socket &connection);

    Handler handler;
    std::uint16_t listenPort = 0;
    std::atomic<bool> stopping {false};
    int listener = -1;
    std::mutex mutex; ///< Guards the lists below.
    std::list<Socket> connections;
    std::vector<std::thread> threads;
    std::thread acceptThread;
};

/// Returns a port on loopback that was free a moment ago.
std::uint16_t freePort();

} // namespace review

#endif
