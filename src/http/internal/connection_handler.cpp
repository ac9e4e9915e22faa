#include "http/internal/connection_handler.h"

#include "http/internal/connection_exchange.h"
#include "http/problem.h"

#include <utility>

namespace azurespindle::http::internal {
namespace {

using Pistache::Tcp::Peer;

/// Bytes of further requests that may wait behind the one that is being answered.
constexpr std::size_t maxWaitingBytes = 262'144;
constexpr int statusUnavailable = 503;

} // namespace

ConnectionHandler::ConnectionHandler(std::shared_ptr<ServerState> state) : state(std::move(state))
{ }

std::shared_ptr<PostingTransport> ConnectionHandler::owner()
{
    auto *own = static_cast<PostingTransport *>(this->transport());
    return own->shared_from_this();
}

void ConnectionHandler::onConnection(const std::shared_ptr<Peer> &peer)
{
    const settings::CallerLimits limits = this->state->limits();
    const std::shared_ptr<Connection> connection = attachConnection(peer, limits);
    const std::weak_ptr<Peer> weak = peer;
    connection->onAnswered = [this, weak] {
        if (const auto alive = weak.lock()) {
            this->readOn(*connectionOf(alive), alive);
        }
    };
    const std::size_t open = this->state->openConnections += 1;
    if (open > limits.connections) {
        this->refuse(*connection, peer, statusUnavailable, "too many connections");
    }
}

void ConnectionHandler::onDisconnection(const std::shared_ptr<Peer> &peer)
{
    noteGone(*this->state, peer);
}

void ConnectionHandler::onInput(const char *buffer, std::size_t length,
                                const std::shared_ptr<Peer> &peer)
{
    const std::shared_ptr<Connection> connection = connectionOf(peer);
    if (connection == nullptr || connection->closing) {
        return;
    }
    if (!connection->reader.begun()) {
        connection->lastProgress = monotonicNow();
    }
    connection->reader.append(buffer, length);
    if (connection->exchange == nullptr) {
        this->readOn(*connection, peer);
    } else if (connection->reader.unread() > maxWaitingBytes) {
        // What waits is not read, and the connection is closed after the present answer, which
        // tells the caller to send it again elsewhere.
        connection->closing = true;
    }
}

void ConnectionHandler::readOn(Connection &connection, const std::shared_ptr<Peer> &peer)
{
    const ReadOutcome outcome = connection.reader.next();
    if (const auto *request = std::get_if<ServerRequest>(&outcome)) {
        this->dispatch(*request, connection, peer);
    } else if (const auto *fault = std::get_if<Unacceptable>(&outcome)) {
        this->refuse(connection, peer, fault->status, fault->detail);
    }
}

void ConnectionHandler::dispatch(const ServerRequest &request, Connection &connection,
                                 const std::shared_ptr<Peer> &peer)
{
    const bool close = !request.keepAlive || this->state->draining;
    auto exchange = std::make_shared<ConnectionExchange>(this->state, this->owner(), peer, close);
    connection.exchange = exchange;
    this->state->handler(request, exchange);
}

void ConnectionHandler::refuse(Connection &connection, const std::shared_ptr<Peer> &peer,
                               int status, const std::string &detail)
{
    auto exchange = std::make_shared<ConnectionExchange>(this->state, this->owner(), peer, true);
    connection.exchange = exchange;
    connection.closing = true;
    const Problem problem {status, 0, "malformed-request", detail, "not-run", milliseconds(0)};
    exchange->respond(status, problem.headers(), problem.body());
}

} // namespace azurespindle::http::internal
