#ifndef AZURESPINDLE_HTTP_SERVER_H
#define AZURESPINDLE_HTTP_SERVER_H

#include "base/error.h"
#include "base/time_types.h"
#include "settings/settings.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace azurespindle::http {

/// Header fields by lower-case name.
using Headers = std::map<std::string, std::string>;

/// Header fields as they stood on the wire: in order, spelled as sent, repeated ones kept.
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/// A whole request as it arrived.
struct ServerRequest
{
    std::string method;
    std::string target; ///< Path and query as they were sent.
    std::string path;   ///< Without the query.
    std::map<std::string, std::string> query;
    Headers headers;
    HeaderFields fields;
    std::string body;
    bool keepAlive = true; ///< The caller will keep its connection open.

    /// Returns the header \a name (lower case), or an empty text.
    std::string header(const std::string &name) const;
    /// Returns the query field \a name, or an empty text.
    std::string queryField(const std::string &name) const;
};

/// The answer to one request. Every function may be called from any thread.
///
/// The library keys writes by file descriptor and reuses the number as soon as a caller is gone,
/// so a write from another thread can reach a stranger. Therefore nothing here writes: chunks
/// are collected, and the thread that owns the connection sends them after it has seen that this
/// very connection still lives.
class Exchange
{
public:
    virtual ~Exchange() = default;

    // Commands

    /// Sends a whole answer.
    virtual void respond(int status, const Headers &headers, const std::string &body) = 0;
    /// Sends a whole answer whose header fields go out as they are.
    virtual void respondWithFields(int status, const HeaderFields &fields, const std::string &body)
        = 0;
    /// Begins an answer whose length is not known.
    virtual void beginStream(int status, const Headers &headers) = 0;
    virtual void beginStreamWithFields(int status, const HeaderFields &fields) = 0;
    /// Sends a part of a streamed answer.
    virtual void send(const std::string &part) = 0;
    /// Ends a streamed answer.
    virtual void finish() = 0;
    /// Closes the connection without ending the answer, so that the caller sees it is not whole.
    virtual void abort() = 0;
    /// Sets what is called once, on the connection's thread, if the caller hangs up or stops
    /// reading before the end. Called soon if it already has.
    virtual void onDisconnected(std::function<void()> callback) = 0;
    /// Sets what is called, on the connection's thread, when the unsent bytes fall below half of
    /// the limit.
    virtual void onDrained(std::function<void()> callback) = 0;

    // Queries

    /// Returns the bytes that the caller has not taken yet.
    virtual std::size_t unsentBytes() const = 0;
    /// Returns true if the unsent bytes reach the limit of the settings.
    virtual bool congested() const = 0;
};

using ExchangePtr = std::shared_ptr<Exchange>;
using Handler = std::function<void(const ServerRequest &, const ExchangePtr &)>;

/// HTTP/1.1 server on Pistache's transport, with limits on size, time and number.
///
///     Server server({"127.0.0.1", 8080}, limits, 2, [](const auto &request, auto exchange) {
///         exchange->respond(200, {}, "hello");
///     });
///     std::error_code error = server.start();
class Server
{
public:
    Server(settings::Address address, settings::CallerLimits limits, std::size_t threads,
           Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    // Commands

    /// Listens and serves on threads of its own. \return BindFailed if it cannot.
    std::error_code start();
    /// Stops listening and closes every connection.
    void stop();
    /// Closes idle connections and answers each further request with `Connection: close`.
    void drain();
    /// Enforces the time limits; to be called about once a second.
    void enforceTimeouts();
    /// Takes over limits for connections that are made from now on, and for idle times.
    void setLimits(const settings::CallerLimits &limits);

    // Queries

    /// Returns the port listened on, also when the settings asked for any.
    std::uint16_t port() const;
    /// Returns the number of requests whose answer has not been sent to its end.
    std::size_t openExchanges() const;
    std::size_t openConnections() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

/// Returns the standard reason phrase of a status.
const char *reasonPhrase(int status);

} // namespace azurespindle::http

#endif
