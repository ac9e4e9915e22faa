#include "http/internal/connection_handler.h"

#include "http/internal/connection_exchange.h"
#include "http/problem.h"

#include <utility>

namespace azurespindle::http::internal {
namespace {

using Pistache::Tcp::Peer;

/// Limit on buffered bytes of pipelined requests while an earlier request is being processed.
constexpr std::size_t maxPipelinedBytes = 262'144;
constexpr int statusUnavailable = 503;
constexpr milliseconds stoppingRetry {100};

} // namespace

ConnectionHandler::ConnectionHandler(std::shared_ptr<ServerState> state) : state(std::move(state))
{ }

std::shared_ptr<PostingTransport> ConnectionHandler::owningTransport()
{
    auto *own = static_cast<PostingTransport *>(this->transport());
    return own->shared_from_this();
}

void ConnectionHandler::onConnection(const std::shared_ptr<Peer> &peer)
{
    const settings::CallerLimits limits = this->state->limits();
    const std::shared_ptr<Connection> connection = attachConnection(peer, limits);
    const std::weak_ptr<Peer> weak = peer;
    connection->onResponseComplete = [this, weak] {
        if (const auto alive = weak.lock()) {
            this->processNextRequest(*connectionOf(alive), alive);
        }
    };
    const std::size_t open = this->state->openConnections += 1;
    if (open > limits.connections) {
        this->refuse(*connection, peer, statusUnavailable, "too many connections");
    }
}

void ConnectionHandler::onDisconnection(const std::shared_ptr<Peer> &peer)
{
    notifyDisconnected(*this->state, peer);
}

void ConnectionHandler::onInput(const char *buffer, std::size_t length,
                                const std::shared_ptr<Peer> &peer)
{
    this->state->progress += 1;
    const std::shared_ptr<Connection> connection = connectionOf(peer);
    if (connection == nullptr || connection->closing) {
        return;
    }
    if (!connection->reader.hasPendingInput()) {
        connection->lastActivity = monotonicNow();
    }
    connection->reader.append(buffer, length);
    if (connection->exchange == nullptr) {
        this->processNextRequest(*connection, peer);
    } else if (connection->reader.unreadBytes() > maxPipelinedBytes) {
        // The pipelined requests are not processed. Closing the connection after the current
        // response tells the caller to send them again on another connection.
        connection->closing = true;
    }
}

void ConnectionHandler::processNextRequest(Connection &connection,
                                           const std::shared_ptr<Peer> &peer)
{
    const ReadOutcome outcome = connection.reader.next();
    if (const auto *request = std::get_if<ServerRequest>(&outcome)) {
        this->dispatch(*request, connection, peer);
    } else if (const auto *rejection = std::get_if<RejectedRequest>(&outcome)) {
        this->refuse(connection, peer, rejection->status, rejection->detail);
    }
}

void ConnectionHandler::dispatch(const ServerRequest &request, Connection &connection,
                                 const std::shared_ptr<Peer> &peer)
{
    const bool close = !request.keepAlive || this->state->draining || this->state->refusing;
    auto exchange
        = std::make_shared<ConnectionExchange>(this->state, this->owningTransport(), peer, close);
    connection.exchange = exchange;
    connection.used = true;
    if (this->state->refusing) {
        const Problem problem {statusUnavailable,          0,         "stopping",
                               "this process is stopping", "not-run", stoppingRetry};
        exchange->respond(problem.status, problem.headers(), problem.body());
        return;
    }
    this->state->handler(request, exchange);
}

void ConnectionHandler::refuse(Connection &connection, const std::shared_ptr<Peer> &peer,
                               int status, const std::string &detail)
{
    auto exchange
        = std::make_shared<ConnectionExchange>(this->state, this->owningTransport(), peer, true);
    connection.exchange = exchange;
    connection.closing = true;
    const Problem problem {status, 0, "malformed-request", detail, "not-run", milliseconds(0)};
    exchange->respond(status, problem.headers(), problem.body());
}

} // namespace azurespindle::http::internal
