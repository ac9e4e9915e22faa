#include "http/internal/posting_transport.h"

#include "http/internal/connection.h"
#include "http/internal/connection_exchange.h"

#include <algorithm>
#include <utility>

namespace azurespindle::http::internal {
namespace {

using Pistache::Tcp::Peer;

/// Idle time after which a connection is closed while the server drains. It is not zero because a
/// caller that has just connected is about to send its first request.
constexpr milliseconds drainIdleTimeout {300};
/// Time in which the first request of a new connection is awaited when the server stops.
constexpr milliseconds firstRequestGrace {50};
/// Longest time a caller may read nothing while memory is short.
constexpr milliseconds writeTimeoutWhileShort {2'000};

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
    Pistache::Tcp::Transport::onReady(Pistache::Aio::FdSet(this->takeWritable(fds)));
    this->state->progress += 1;
    while (auto closure = this->postedClosures.popSafe()) {
        (*closure)();
        this->state->progress += 1;
    }
}

std::vector<Pistache::Polling::Event>
PostingTransport::takeWritable(const Pistache::Aio::FdSet &fds)
{
    std::vector<Pistache::Polling::Event> others;
    others.reserve(fds.size());
    for (const Pistache::Aio::FdSet::Entry &entry : fds) {
        Pistache::Polling::Event event(entry.getTag());
        if (entry.isReadable()) {
            event.flags.setFlag(Pistache::Polling::NotifyOn::Read);
        }
        if (entry.isHangup()) {
            event.flags.setFlag(Pistache::Polling::NotifyOn::Hangup);
        }
        if (entry.isWritable()) {
            const auto found = this->peers.find(static_cast<Pistache::Fd>(entry.getTag().value()));
            if (found != this->peers.end()) {
                const std::shared_ptr<Peer> peer = found->second;
                this->continueWriting(peer);
            }
        }
        others.push_back(event);
    }
    return others;
}

void PostingTransport::awaitWritable(const std::shared_ptr<Peer> &peer, bool awaits)
{
    const std::shared_ptr<Connection> connection = connectionOf(peer);
    if (std::exchange(connection->awaitsWritable, awaits) == awaits) {
        return;
    }
    using Pistache::Polling::NotifyOn;
    this->reactor()->modifyFd(this->key(), peer->fd(),
                              awaits ? NotifyOn::Read | NotifyOn::Write : NotifyOn::Read,
                              Pistache::Polling::Mode::Edge);
}

void PostingTransport::continueWriting(const std::shared_ptr<Peer> &peer)
{
    const std::shared_ptr<Connection> connection = connectionOf(peer);
    if (connection == nullptr || connection->disconnected) {
        return;
    }
    const WriteProgress progress = connection->writer.write(peer->fd());
    if (progress == WriteProgress::Failed) {
        this->post([self = this->shared_from_this(), peer] { self->disconnect(peer); });
        return;
    }
    // The interest is set anew each time, which tells at once if the socket is writable already.
    connection->awaitsWritable = connection->awaitsWritable && progress == WriteProgress::Finished;
    this->awaitWritable(peer, progress == WriteProgress::Blocked);
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

void PostingTransport::enforceTimeouts(bool draining, bool memoryShort)
{
    const Instant now = monotonicNow();
    const settings::CallerLimits limits = this->state->limits();
    const milliseconds writeTimeout
        = memoryShort ? std::min(limits.writeTimeout, writeTimeoutWhileShort) : limits.writeTimeout;
    std::vector<std::shared_ptr<Peer>> expired;
    for (const auto &[fd, peer] : this->peers) {
        const std::shared_ptr<Connection> connection = connectionOf(peer);
        if (connection == nullptr) {
            continue;
        }
        const microseconds age = now - connection->lastActivity;
        if (connection->exchange != nullptr) {
            const bool writeTimedOut = connection->exchange->stallDuration(now) > writeTimeout;
            if (writeTimedOut) {
                expired.push_back(peer);
            }
            continue;
        }
        if (hasUnsentResponse(*connection)) {
            const auto completed = connection->completed.lock();
            if (completed != nullptr && completed->stallDuration(now) > writeTimeout) {
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
