#ifndef AZURESPINDLE_HTTP_CLIENT_H
#define AZURESPINDLE_HTTP_CLIENT_H

#include "base/time_types.h"
#include "http/server.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace azurespindle::http {

using TransferId = std::uint64_t;

constexpr std::size_t defaultMaxResponseBytes = 16'777'216;

/// An HTTP request to be sent by Client or fetch().
struct ClientRequest
{
    std::string method = "GET";
    std::string url;
    Headers headers;
    std::string body;
    milliseconds connectTimeout {1'000};
    milliseconds totalTimeout {0}; ///< Limit for the whole transfer; 0 means no limit.
    milliseconds headTimeout {0};  ///< Limit for the time to the response's head; 0: no limit.
    /// Limit for the time between two pieces of the response's body; 0: no limit. Suits a large
    /// body on a narrow link, which takes long without anything being wrong.
    milliseconds silenceTimeout {0};
    /// Whether to open a new connection for this request and close it afterwards. libcurl retries
    /// a request by itself if a reused connection turns out to be closed, which must not happen to
    /// a request that is not idempotent.
    bool freshConnection = false;
    HeaderFields fields {}; ///< Sent after `headers`, with order and spelling unchanged.
    std::string target {};  ///< Path and query sent unchanged; if empty, those of the URL.
    /// Largest body of the response, in bytes; 0 means no limit, which suits streams only. A longer
    /// one ends the transfer as TransferEnd::ConnectionLost.
    std::size_t maxResponseBytes = defaultMaxResponseBytes;
};

/// How a transfer ended, which tells whether the upstream may have received the request.
enum class TransferEnd {
    Complete,          ///< The complete response was received.
    NotSent,           ///< No connection was established; no byte was sent.
    ConnectionRefused, ///< Nothing listens on the port; no byte was sent.
    ConnectionLost,    ///< The connection failed; bytes may have been sent.
    TimedOut,          ///< A timeout expired after connecting; bytes may have been sent.
};

/// The result of a finished transfer.
struct TransferResult
{
    TransferEnd end = TransferEnd::Complete;
    int status = 0;     ///< HTTP status code; 0 if no valid status line was received.
    std::string detail; ///< libcurl's error message; empty if the transfer is complete.
};

/// Callbacks of one transfer. They run on the client's thread in the order in which they are
/// declared. onDone is called exactly once, unless the transfer is cancelled or the client stops.
struct TransferCallbacks
{
    std::function<void(int status, const Headers &headers)> onStatus;
    /// Like onStatus, but with the header fields as on the wire.
    std::function<void(int status, const HeaderFields &fields)> onHeaderFields;
    /// Receives the next bytes of the body. If it returns false, the transfer pauses, and
    /// Client::resume() delivers the same bytes again.
    std::function<bool(std::string_view bytes)> onData;
    std::function<void(const TransferResult &result)> onDone;
};

/// HTTP client that runs many transfers on one thread with libcurl's multi interface.
///
///     Client client;
///     client.start({"GET", "http://127.0.0.1:8080/"}, {nullptr, onData, onDone});
class Client
{
public:
    /// Largest head of a response, in bytes, with its interim heads and trailers.
    static constexpr std::size_t maxHeadBytes = 65'536;

    Client();
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    // Commands (from any thread)

    /// Starts a transfer. \return its ID, which is unique in this client.
    TransferId start(ClientRequest request, TransferCallbacks callbacks);
    /// Cancels a transfer. Its callbacks may still run until the client's thread has processed the
    /// cancellation, but not afterwards.
    void cancel(TransferId id);
    /// Resumes a transfer that was paused because its onData returned false.
    void resume(TransferId id);
    /// Runs \a command on the client's thread. Commands are dropped once the client stops.
    void post(std::function<void()> command);
    /// Cancels all transfers without calling onDone, and ends the client's thread. No callback runs
    /// after this returns, and requests started later are never sent.
    void stop();

    // Queries

    /// Returns a number that changes with every piece of work that the client's thread completes.
    std::uint64_t progress() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

/// Sends one request and blocks until the response is complete. Intended for the command line and
/// for code where blocking is acceptable.
/// \param[out] body receives the body of the response.
TransferResult fetch(const ClientRequest &request, std::string &body);

} // namespace azurespindle::http

#endif
