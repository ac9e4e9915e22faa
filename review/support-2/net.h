#ifndef AZURESPINDLE_REVIEW_SUPPORT_2_NET_H
#define AZURESPINDLE_REVIEW_SUPPORT_2_NET_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using std::chrono::milliseconds;

/// Returns the milliseconds since the program started, on the steady clock.
double nowMs();
void sleepMs(double duration);

/// The record of what was sent, answered and run, one event a line, in the order of time.
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);

private:
    std::mutex mutex;
    std::ofstream file;
};

/// A request, or the response of a server, with lower-case header names.
struct HttpMessage
{
    std::string method; ///< Of a request.
    std::string target;
    std::string path;
    std::map<std::string, std::string> query;
    int status = 0; ///< Of a response; 0: none was received.
    std::map<std::string, std::string> headers;
    std::string body;
    bool complete = false; ///< The body ended as its framing says.

    std::string header(const std::string &name) const;
};

/// A connection as the handler of a server sees it.
class Connection
{
public:
    explicit Connection(int socket) : socket(socket) { }
    /// \return false if the other side is gone.
    bool send(const std::string &bytes) const;
    /// Sends a response with a length.
    bool respond(int status, const std::map<std::string, std::string> &headers,
                 const std::string &body) const;
    bool sendChunk(const std::string &bytes) const;
    /// Returns true if the other side has closed.
    bool closed() const;

    const int socket;
};

/// A server on loopback with a thread for each connection, which serves one request each.
class HttpServer
{
public:
    using Handler = std::function<void(const HttpMessage &request, const Connection &connection)>;

    /// Listens on \a port; 0: on a free port.
    explicit HttpServer(Handler handler, std::uint16_t port = 0);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Closes the listening socket and resets all connections. The handlers end on their own.
    void stop();

    std::uint16_t port() const { return this->listeningPort; }
    std::string address() const { return "127.0.0.1:" + std::to_string(this->listeningPort); }

private:
    void acceptConnections();
    void serve(int socket);

    const Handler handler;
    int listener = -1;
    std::uint16_t listeningPort = 0;
    std::atomic<bool> stopping {false};
    std::mutex mutex; ///< Guards the fields below.
    std::condition_variable ended;
    std::set<int> sockets;
    std::size_t threads = 0;
    std::thread acceptThread;
};

/// A proxy on loopback that can fall silent: connections stay open, and nothing crosses them.
class Proxy
{
public:
    explicit Proxy(std::uint16_t target);
    ~Proxy();
    Proxy(const Proxy &) = delete;
    Proxy &operator=(const Proxy &) = delete;

    void setSilent(bool silent) { this->silent = silent; }
    std::uint16_t port() const { return this->listeningPort; }

private:
    void acceptConnections();
    void pass(int client);

    const std::uint16_t target;
    int listener = -1;
    std::uint16_t listeningPort = 0;
    std::atomic<bool> silent {false};
    std::atomic<bool> stopping {false};
    std::atomic<std::size_t> threads {0};
    std::thread acceptThread;
};

/// Sends a request on a connection of its own and reads the response.
/// \param patience longest time to wait for the next bytes.
HttpMessage call(std::uint16_t port, const std::string &method, const std::string &target,
                 const std::vector<std::pair<std::string, std::string>> &headers,
                 const std::string &body, milliseconds patience);

/// A client's connection that is kept open for many requests.
class KeptConnection
{
public:
    explicit KeptConnection(std::uint16_t port);
    ~KeptConnection();
    KeptConnection(const KeptConnection &) = delete;
    KeptConnection &operator=(const KeptConnection &) = delete;

    bool open() const { return this->socket >= 0; }
    /// Sends a request and reads the response. Closes the connection if there is none.
    HttpMessage call(const std::string &method, const std::string &target,
                     const std::vector<std::pair<std::string, std::string>> &headers,
                     const std::string &body, milliseconds patience);

private:
    int socket;
};

/// Returns a free port on loopback.
std::uint16_t freePort();

} // namespace review

#endif
