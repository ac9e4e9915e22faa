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
        const milliseconds timeout
            = connection->reader.hasPendingInput() ? limits.requestTimeout : limits.idleTimeout;
        const bool idle = !connection->reader.hasPendingInput() && age > drainIdleTimeout;
        if (age > timeout || (draining && idle)) {
            expired.push_back(peer);
        }
    }
    for (const std::shared_ptr<Peer> &peer : expired) {
        this->disconnect(peer);
    }
}

} // namespace azurespindle::http::internal
