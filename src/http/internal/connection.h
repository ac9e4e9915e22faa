#ifndef AZURESPINDLE_HTTP_INTERNAL_CONNECTION_H
#define AZURESPINDLE_HTTP_INTERNAL_CONNECTION_H

#include "base/time_types.h"
#include "http/internal/request_reader.h"
#include "http/internal/server_state.h"

#include <pistache/peer.h>

#include <functional>
#include <memory>

namespace azurespindle::http::internal {

class ConnectionExchange;

/// State of one caller connection. Touched on the owning thread only.
struct Connection
{
    explicit Connection(const settings::CallerLimits &limits) : reader(limits) { }

    RequestReader reader;
    bool gone = false;                            ///< Closed; nothing more is done with it.
    bool closing = false;                         ///< Closed after the present answer.
    Instant lastProgress;                         ///< First byte of a request, or last answer.
    std::shared_ptr<ConnectionExchange> exchange; ///< The answer that is under way.
    /// Reads on, once the answer that was under way is complete.
    std::function<void()> onAnswered;
};

/// Attaches a new state to a connection and returns it.
std::shared_ptr<Connection> attachConnection(const std::shared_ptr<Pistache::Tcp::Peer> &peer,
                                             const settings::CallerLimits &limits);

/// Returns the state that was attached to the connection, or nullptr.
std::shared_ptr<Connection> connectionOf(const std::shared_ptr<Pistache::Tcp::Peer> &peer);

/// Tells a connection's exchange, once, that the connection is gone.
void noteGone(ServerState &state, const std::shared_ptr<Pistache::Tcp::Peer> &peer);

} // namespace azurespindle::http::internal

#endif
