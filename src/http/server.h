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

/// Header field values keyed by lower-case field name; of repeated fields the last one counts.
using Headers = std::map<std::string, std::string>;

/// Header fields as on the wire: original order and spelling, repeated fields kept.
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/// A completely received HTTP request.
struct ServerRequest
{
    std::string method;
    std::string target;                       ///< Path and query as sent, not decoded.
    std::string path;                         ///< Path as sent, without the query.
    std::map<std::string, std::string> query; ///< Percent-decoded query fields.
    Headers headers;
    HeaderFields fields; ///< The same header fields as on the wire.
    std::string body;
    bool keepAlive = true; ///< Whether the caller keeps the connection open for further requests.

    /// Returns the value of header \a name (lower case), or an empty string if it is absent.
    std::string header(const std::string &name) const;
    /// Returns the value of query field \a name, or an empty string if it is absent.
    std::string queryField(const std::string &name) const;
};

/// Why the server itself refused a request, or a connection.
enum class RefusalReason {
    Malformed,
    HeaderTooLarge,
    TrailersTooLarge, ///< The trailers or a chunk extension exceed CallerLimits::headerBytes.
    BodyTooLarge,
    HeaderTimedOut,
    BodyTimedOut,
    MemoryShort, ///< All callers together hold CallerLimits::inputBytes.
    TooManyConnections,
};
constexpr std::size_t refusalReasonCount = 8;

/// Returns the name of a reason, such as "header-too-large".
const char *refusalReasonName(RefusalReason reason);

/// A request that the server refused without calling the handler. It has not run.
struct CallerRefusal
{
    RefusalReason reason = RefusalReason::Malformed;
    int status = 0;            ///< 0 if the connection was closed without a response.
    std::size_t heldBytes = 0; ///< Memory that its connection held, in bytes.
};

/// Called on the thread of the connection for each refusal; it must not block.
using RefusalHandler = std::function<void(const CallerRefusal &refusal)>;

/// The response to one request. All functions are thread-safe.
///
/// Pistache queues writes by file descriptor, and the operating system reuses a descriptor as soon
/// as its connection is closed, so a write from another thread could reach a different caller.
/// The functions therefore only buffer bytes. The thread that owns the connection sends them after
/// it has checked that the same connection is still open.
class Exchange
{
public:
    virtual ~Exchange() = default;

    // Commands

    /// Sends a complete response with a Content-Length.
    virtual void respond(int status, const Headers &headers, const std::string &body) = 0;
    /// Sends a complete response, with the order and spelling of \a fields unchanged.
    virtual void respondWithFields(int status, const HeaderFields &fields, const std::string &body)
        = 0;
    /// Starts a chunked response, whose length is not known in advance.
    virtual void beginStream(int status, const Headers &headers) = 0;
    /// Starts a chunked response, with the order and spelling of \a fields unchanged.
    virtual void beginStreamWithFields(int status, const HeaderFields &fields) = 0;
    /// Sends the next part of a chunked response.
    virtual void send(const std::string &part) = 0;
    /// Ends a chunked response.
    virtual void finish() = 0;
    /// Closes the connection without ending the response, so that the caller detects truncation.
    /// What was sent before is written first: a caller that got no byte may send its request again.
    virtual void abort() = 0;
    /// Sets the callback for a connection that closes before the response was finished or aborted,
    /// because the caller disconnected or did not read within the write timeout. It runs once, on
    /// the connection's thread; if the connection is already closed, it is posted there.
    virtual void onDisconnected(std::function<void()> callback) = 0;
    /// Sets the callback for the end of congestion. It is called on the connection's thread when
    /// the unsent bytes, having reached the limit, fall below half of it.
    virtual void onDrained(std::function<void()> callback) = 0;

    // Queries

    /// Returns the number of buffered bytes that have not been written to the socket yet.
    virtual std::size_t unsentBytes() const = 0;
    /// Returns true if unsentBytes() has reached the configured limit.
    virtual bool congested() const = 0;
};

using ExchangePtr = std::shared_ptr<Exchange>;
using Handler = std::function<void(const ServerRequest &, const ExchangePtr &)>;

/// HTTP/1.1 server on Pistache's transport. It enforces timeouts and limits on request sizes and
/// on the number of connections.
///
///     Server server({"127.0.0.1", 8080}, limits, 2, [](const auto &request, auto exchange) {
///         exchange->respond(200, {}, "hello");
///     });
///     std::error_code error = server.start();
class Server
{
public:
    /// \param onRefusal called for each request that the server refuses; may be empty.
    Server(settings::Address address, settings::CallerLimits limits, std::size_t threads,
           Handler handler, RefusalHandler onRefusal = {});
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    // Commands

    /// Listens and serves on its own threads. \return BindFailed if the address cannot be bound.
    std::error_code start();
    /// Answers requests that have arrived but not reached the handler with 503, sends what is
    /// unsent of complete responses for at most 250 ms, stops listening and closes every
    /// connection. A response that is not complete is cut.
    void stop();
    /// Answers every further request with 503 (not run) without calling the handler. Call this
    /// before anything that the handler uses is stopped.
    void refuseRequests();
    /// Closes idle connections and sends `Connection: close` with every further response.
    void drain();
    /// Refuses requests that exceeded a timeout and closes idle connections. Call this about once a
    /// second.
    /// \param memoryShort true to close those earlier whose callers hold unsent bytes and read
    /// nothing.
    void enforceTimeouts(bool memoryShort = false);
    /// Runs \a done on the worker thread, or on the last of several to come to it. Returns at once.
    void probe(const std::function<void()> &done);
    /// Replaces the limits. Timeouts and the connection limit apply at once, the unsent bytes limit
    /// to further responses, and the header and body limits to requests that begin after this call,
    /// also on connections that are open already.
    void setLimits(const settings::CallerLimits &limits);

    // Queries

    /// Returns the actual listening port, also if the configured port is 0 (any).
    std::uint16_t port() const;
    /// Returns the number of requests whose response has not been sent completely.
    std::size_t openExchanges() const;
    std::size_t openConnections() const;
    /// Returns a number that changes with every piece of work that a worker thread completes.
    std::uint64_t progress() const;
    /// Returns the memory, in bytes, of responses that are not written to their sockets yet.
    std::size_t unsentBytes() const;
    /// Returns the memory that callers occupy with what they have sent, in bytes.
    std::size_t inputBytes() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

/// Returns the standard reason phrase of an HTTP status code.
const char *reasonPhrase(int status);

} // namespace azurespindle::http

#endif
