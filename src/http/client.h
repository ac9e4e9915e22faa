#ifndef AZURESPINDLE_HTTP_CLIENT_H
#define AZURESPINDLE_HTTP_CLIENT_H

#include "base/time_types.h"
#include "http/server.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace azurespindle::http {

using TransferId = std::uint64_t;

/// A request to be sent.
struct ClientRequest
{
    std::string method = "GET";
    std::string url;
    Headers headers;
    std::string body;
    milliseconds connectTimeout {1'000};
    milliseconds totalTimeout {0}; ///< 0: none.
    /// Never sent on a connection that was used before. The library sends a request again by
    /// itself when a reused connection turns out dead, which an unrepeatable call must not risk.
    bool freshConnection = false;
    HeaderFields fields {}; ///< Sent after the headers, as they are.
    std::string target {};  ///< Path and query to send as they are; empty: those of the URL.
};

/// How a transfer ended.
enum class TransferEnd {
    Complete,          ///< The whole answer arrived.
    NotSent,           ///< No connection came about in time; no byte left.
    ConnectionRefused, ///< Nothing listens there; no byte left.
    ConnectionLost,    ///< The connection broke after bytes may have left.
    TimedOut,          ///< The time ran out after bytes may have left.
};

struct TransferResult
{
    TransferEnd end = TransferEnd::Complete;
    int status = 0; ///< 0 if no status line arrived.
    std::string detail;
};

/// Called on the client's thread, in this order; onDone exactly once unless cancelled.
struct TransferCallbacks
{
    std::function<void(int status, const Headers &headers)> onStatus;
    /// As onStatus, with the header fields as they stood on the wire.
    std::function<void(int status, const HeaderFields &fields)> onHeaderFields;
    /// Returns false to pause the transfer until Client::resume().
    std::function<bool(std::string_view bytes)> onData;
    std::function<void(const TransferResult &result)> onDone;
};

/// Many HTTP transfers on one thread, by libcurl's multi interface.
///
///     Client client;
///     client.start({"GET", "http://127.0.0.1:8080/"}, {nullptr, onData, onDone});
class Client
{
public:
    Client();
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    // Commands (from any thread)

    /// Starts a transfer. \return its number, unique in this client.
    TransferId start(ClientRequest request, TransferCallbacks callbacks);
    /// Ends a transfer; its callbacks are not called after the client's thread has seen this.
    void cancel(TransferId id);
    /// Goes on with a transfer whose onData returned false.
    void resume(TransferId id);
    /// Ends every transfer without a word and the thread with them: once this returns, no callback
    /// runs any more. What is started later is never sent.
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

/// Sends one request and waits for its answer; for the command line and the slow paths.
/// \param[out] body receives the answer's body.
TransferResult fetch(const ClientRequest &request, std::string &body);

} // namespace azurespindle::http

#endif
