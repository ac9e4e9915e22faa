#include "http/internal/posting_transport.h"

#include "http/internal/connection.h"
#include "http/internal/connection_exchange.h"

#include <utility>

namespace azurespindle::http::internal {
namespace {

using Pistache::Tcp::Peer;

/// Idle time after which a connection is closed while the server drains. It is not zero because a
/// caller that has just connected is about to send its first request.
constexpr milliseconds drainIdleTimeout {300};
/// Time in which the first request of a new connection is awaited when the server stops.
constexpr milliseconds firstRequestGrace {50};

} // namespace

std::shared_ptr<PostingTransport>
PostingTransport::create(const std::shared_ptr<Pistache::Tcp::Handler> &handler,
                         const std::shared_ptr<ServerState> &state)
{
    auto transport = std::make_shared<PostingTransport>(handler, state);
    state->addTransport(transport);
    return transport;
}

PostingTransport::PostingTransport(const std::shared_ptr<Pistache::Tcp::Handler> &handler,
                                   std::shared_ptr<ServerState> state)
    : Pistache::Tcp::Transport(handler), handlerPrototype(handler), state(std::move(state))
{ }

void PostingTransport::registerPoller(Pistache::Polling::Epoll &poller)
{
    Pistache::Tcp::Transport::registerPoller(poller);
    this->postedClosures.bind(poller);
}

void PostingTransport::onReady(const Pistache::Aio::FdSet &fds)
{
    Pistache::Tcp::Transport::onReady(fds);
    while (auto closure = this->postedClosures.popSafe()) {
        (*closure)();
    }
}

std::shared_ptr<Pistache::Aio::Handler> PostingTransport::clone() const
{
    return create(this->handlerPrototype->clone(), this->state);
}

void PostingTransport::post(std::function<void()> closure)
{
    this->postedClosures.push(std::move(closure));
}

bool PostingTransport::owns(const std::shared_ptr<Peer> &peer) const
{
    const auto found = this->peers.find(peer->fd());
    return found != this->peers.end() && found->second == peer;
}

void PostingTransport::disconnect(const std::shared_ptr<Peer> &peer)
{
    if (!this->owns(peer)) {
        return;
    }
    notifyDisconnected(*this->state, peer);
    this->removePeer(peer);
}

void PostingTransport::enforceTimeouts(bool draining)
{
    const Instant now = monotonicNow();
    const settings::CallerLimits limits = this->state->limits();
    std::vector<std::shared_ptr<Peer>> expired;
    for (const auto &[fd, peer] : this->peers) {
        const std::shared_ptr<Connection> connection = connectionOf(peer);
        if (connection == nullptr) {
            continue;
        }
        const microseconds age = now - connection->lastActivity;
        if (connection->exchange != nullptr) {
            const bool writeTimedOut
                = connection->exchange->stallDuration(now) > limits.writeTimeout;
            if (writeTimedOut) {
                expired.push_back(peer);
            }
            continue;
        }
        if (hasUnsentResponse(*connection)) {
            const auto completed = connection->completed.lock();
            if (completed != nullptr && completed->stallDuration(now) > limits.writeTimeout) {
                expired.push_back(peer);
            }
            continue;
        }
        const milliseconds timeout
            = connection->reader.hasPendingInput() ? limits.requestTimeout : limits.idleTimeout;
        const bool idle = !connection->reader.hasPendingInput() && age > drainIdleTimeout;
        const bool isDue = age > timeout || (draining && idle);
        // A request may have arrived that this thread has not read yet.
        if (isDue && (connection->reader.hasPendingInput() || !hasUnreadBytes(*peer))) {
            expired.push_back(peer);
        }
    }
    for (const std::shared_ptr<Peer> &peer : expired) {
        this->disconnect(peer);
    }
}

std::size_t PostingTransport::closeFinished()
{
    const Instant now = monotonicNow();
    std::size_t underWay = 0;
    std::vector<std::shared_ptr<Peer>> finished;
    for (const auto &[fd, peer] : this->peers) {
        const std::shared_ptr<Connection> connection = connectionOf(peer);
        if (connection == nullptr || connection->exchange != nullptr) {
            const bool answered = connection != nullptr && connection->exchange->isComplete();
            underWay += answered ? 1 : 0;
            continue;
        }
        const bool aboutToSend
            = !connection->used && now - connection->lastActivity < firstRequestGrace;
        const bool reading = !connection->closing
            && (connection->reader.hasPendingInput() || aboutToSend || hasUnreadBytes(*peer));
        if (reading || hasUnsentResponse(*connection)) {
            underWay += 1;
        } else {
            finished.push_back(peer);
        }
    }
    for (const std::shared_ptr<Peer> &peer : finished) {
        this->disconnect(peer);
    }
    return underWay;
}

} // namespace azurespindle::http::internal
