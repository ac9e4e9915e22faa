#include "http/internal/connection_handler.h"

#include "http/internal/connection_exchange.h"
#include "http/internal/refusal.h"
#include "http/problem.h"

#include <utility>

namespace azurespindle::http::internal {
namespace {

using Pistache::Tcp::Peer;

/// Limit on buffered bytes of pipelined requests while an earlier request is being processed.
constexpr std::size_t maxPipelinedBytes = 262'144;
constexpr int statusUnavailable = 503;
constexpr milliseconds stoppingRetry {100};
/// Bytes of a body that count as progress.
constexpr std::size_t progressBytes = 1'024;
/// Copies of a request that are held until it is closed: of the router and of the attempt.
constexpr std::size_t copiesOfRequest = 2;
/// Memory of one header field beside its text.
constexpr std::size_t bytesPerField = 2 * sizeof(std::string);

/// Returns the memory that a request occupies until it is closed, in bytes.
std::size_t requestBytes(const ServerRequest &request)
{
    std::size_t bytes = request.body.size() + 2 * request.target.size();
    for (const auto &[name, value] : request.fields) {
        bytes += name.size() + value.size() + bytesPerField;
    }
    return copiesOfRequest * bytes;
}

/// Notes whether the request that is being read has made progress, and what the connection holds.
void noteInput(ServerState &state, Connection &connection)
{
    const Instant now = monotonicNow();
    const std::size_t bodyBytes = connection.reader.inBody() ? connection.reader.bodyBytes() : 0;
    if (bodyBytes != connection.bodyBytes || connection.reader.inBody() != connection.inBody) {
        connection.lastBodyByte = now;
    }
    const bool begins = connection.reader.inBody() != connection.inBody
        || bodyBytes < connection.bodyBytesAtProgress;
    if (begins || bodyBytes >= connection.bodyBytesAtProgress + progressBytes) {
        connection.lastProgress = now;
        connection.bodyBytesAtProgress = bodyBytes;
    }
    connection.bodyBytes = bodyBytes;
    connection.inBody = connection.reader.inBody();
    state.inputBudget.update(connection.budgetNumber, connection.reader.heldBytes(),
                             connection.lastProgress);
}

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
    const std::weak_ptr<PostingTransport> transport = this->owningTransport();
    connection->budgetNumber = this->state->inputBudget.addConnection([transport, weak] {
        if (const auto owner = transport.lock()) {
            owner->postRefusal(weak);
        }
    });
    const std::size_t open = this->state->openConnections += 1;
    if (open > limits.connections) {
        this->refuse(
            peer, {statusUnavailable, "too many connections", RefusalReason::TooManyConnections});
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
        connection->lastProgress = connection->lastActivity;
    }
    connection->reader.append(buffer, length);
    if (connection->exchange == nullptr) {
        this->processNextRequest(*connection, peer);
        return;
    }
    if (connection->reader.unreadBytes() > maxPipelinedBytes) {
        // The pipelined requests are not processed. Closing the connection after the current
        // response tells the caller to send them again on another connection.
        connection->closing = true;
        connection->exchange->closeAfterwards();
        connection->reader.clear();
    }
    noteInput(*this->state, *connection);
}

void ConnectionHandler::processNextRequest(Connection &connection,
                                           const std::shared_ptr<Peer> &peer)
{
    connection.reader.setLimits(this->state->limits());
    const ReadOutcome outcome = connection.reader.next();
    noteInput(*this->state, connection);
    if (const auto *request = std::get_if<ServerRequest>(&outcome)) {
        this->dispatch(*request, connection, peer);
    } else if (const auto *rejection = std::get_if<RejectedRequest>(&outcome)) {
        this->refuse(peer, *rejection);
    }
}

void ConnectionHandler::dispatch(const ServerRequest &request, Connection &connection,
                                 const std::shared_ptr<Peer> &peer)
{
    const bool isHead = request.method == headMethod;
    const std::size_t bytes = requestBytes(request);
    if (!this->state->inputBudget.admitRequest(bytes)) {
        RejectedRequest rejection = memoryShortRejection();
        rejection.isHead = isHead;
        this->refuse(peer, rejection);
        return;
    }
    const bool closes = !request.keepAlive || this->state->draining || this->state->refusing;
    const ResponseForm form {closes, isHead};
    auto exchange
        = std::make_shared<ConnectionExchange>(this->state, this->owningTransport(), peer, form);
    exchange->holdRequest(bytes);
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

void ConnectionHandler::refuse(const std::shared_ptr<Peer> &peer, const RejectedRequest &rejection)
{
    refuseConnection(this->state, this->owningTransport(), peer, rejection);
}

} // namespace azurespindle::http::internal
