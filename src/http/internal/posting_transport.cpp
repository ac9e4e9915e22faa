#include "http/internal/posting_transport.h"

#include "http/internal/connection.h"
#include "http/internal/connection_exchange.h"

#include <utility>

namespace azurespindle::http::internal {
namespace {

using Pistache::Tcp::Peer;

/// While draining, a connection without a request is closed after so long: one that was just made
/// is about to bring its first.
constexpr milliseconds drainIdleTime {300};

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
    this->posted.bind(poller);
}

void PostingTransport::onReady(const Pistache::Aio::FdSet &fds)
{
    Pistache::Tcp::Transport::onReady(fds);
    while (auto closure = this->posted.popSafe()) {
        (*closure)();
    }
}

std::shared_ptr<Pistache::Aio::Handler> PostingTransport::clone() const
{
    return create(this->handlerPrototype->clone(), this->state);
}

void PostingTransport::post(std::function<void()> closure)
{
    this->posted.push(std::move(closure));
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
    noteGone(*this->state, peer);
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
        const microseconds age = now - connection->lastProgress;
        if (connection->exchange != nullptr) {
            const bool stuck = connection->exchange->stalledFor(now) > limits.writeTimeout;
            if (stuck) {
                expired.push_back(peer);
            }
            continue;
        }
        const milliseconds allowed
            = connection->reader.begun() ? limits.requestTimeout : limits.idleTimeout;
        const bool idle = !connection->reader.begun() && age > drainIdleTime;
        if (age > allowed || (draining && idle)) {
            expired.push_back(peer);
        }
    }
    for (const std::shared_ptr<Peer> &peer : expired) {
        this->disconnect(peer);
    }
}

} // namespace azurespindle::http::internal
