#ifndef AZURESPINDLE_HTTP_INTERNAL_CONNECTION_H
#define AZURESPINDLE_HTTP_INTERNAL_CONNECTION_H

#include "base/time_types.h"
#include "http/internal/connection_writer.h"
#include "http/internal/request_reader.h"
#include "http/internal/server_state.h"

#include <pistache/peer.h>

#include <functional>
#include <memory>

namespace azurespindle::http::internal {

class ConnectionExchange;

/// State of one caller connection. Only the thread that owns the connection may access it.
struct Connection
{
    explicit Connection(const settings::CallerLimits &limits) : reader(limits) { }

    RequestReader reader;
    ConnectionWriter writer;
    bool awaitsWritable = false; ///< The poller tells when the socket takes bytes again.
    bool disconnected = false;   ///< The connection is closed and its exchange has been notified.
    bool closing = false;        ///< Close after the current response; ignore further input.
    std::uint64_t budgetNumber = 0; ///< Number of this connection in the InputBudget.
    Instant lastBodyByte;           ///< Time of the end of the header, or of the latest body bytes.
    Instant lastProgress;           ///< Time at which the request last made progress.
    bool inBody = false;            ///< The header of the request that is being read is complete.
    std::size_t bodyBytes = 0;      ///< Size of the body so far.
    std::size_t bodyBytesAtProgress = 0; ///< Size of the body at lastProgress.
    Instant lastActivity; ///< Time of connecting, of a request's first byte or of a response's end.
    std::shared_ptr<ConnectionExchange> exchange; ///< The response in progress, or nullptr.
    /// The last complete response, whose bytes may still be unsent.
    std::weak_ptr<ConnectionExchange> completed;
    bool used = false; ///< A request was read from it.
    /// Processes the next pipelined request after a response is complete.
    std::function<void()> onResponseComplete;
};

/// Attaches a new Connection to \a peer and returns it.
std::shared_ptr<Connection> attachConnection(const std::shared_ptr<Pistache::Tcp::Peer> &peer,
                                             const settings::CallerLimits &limits);

/// Returns the Connection attached to \a peer, or nullptr.
std::shared_ptr<Connection> connectionOf(const std::shared_ptr<Pistache::Tcp::Peer> &peer);

/// Returns true if a complete response is partly unsent.
bool hasUnsentResponse(const Connection &connection);

/// Returns true if bytes have arrived that onInput() has not got yet.
bool hasUnreadBytes(const Pistache::Tcp::Peer &peer);

/// Marks the connection as closed and notifies its exchange. Further calls have no effect.
void notifyDisconnected(ServerState &state, const std::shared_ptr<Pistache::Tcp::Peer> &peer);

} // namespace azurespindle::http::internal

#endif
