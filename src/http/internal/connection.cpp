#include "http/internal/connection.h"

#include "http/internal/connection_exchange.h"

#include <sys/socket.h>
#include <utility>

namespace azurespindle::http::internal {
namespace {

using Pistache::Tcp::Peer;

constexpr const char *connectionData = "connection";

} // namespace

std::shared_ptr<Connection> attachConnection(const std::shared_ptr<Peer> &peer,
                                             const settings::CallerLimits &limits)
{
    auto connection = std::make_shared<Connection>(limits);
    connection->lastActivity = monotonicNow();
    peer->putData(connectionData, connection);
    return connection;
}

std::shared_ptr<Connection> connectionOf(const std::shared_ptr<Peer> &peer)
{
    return std::static_pointer_cast<Connection>(peer->tryGetData(connectionData));
}

bool hasUnsentResponse(const Connection &connection)
{
    const auto completed = connection.completed.lock();
    return completed != nullptr && completed->unsentBytes() > 0;
}

bool hasUnreadBytes(const Peer &peer)
{
    char byte = 0;
    return ::recv(peer.fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void notifyDisconnected(ServerState &state, const std::shared_ptr<Peer> &peer)
{
    const std::shared_ptr<Connection> connection = connectionOf(peer);
    if (connection == nullptr || std::exchange(connection->disconnected, true)) {
        return;
    }
    state.openConnections -= 1;
    state.inputBudget.removeConnection(connection->budgetNumber);
    if (const auto completed = connection->completed.lock()) {
        completed->discardUnsent();
    }
    const std::shared_ptr<ConnectionExchange> exchange = std::move(connection->exchange);
    if (exchange != nullptr) {
        exchange->handleDisconnect();
    }
    // The parts refer to their exchange, and through it to this connection, which would never be
    // freed.
    connection->writer.clear();
}

} // namespace azurespindle::http::internal
