#include "http/internal/posting_transport.h"

#include "http/internal/connection.h"
#include "http/internal/connection_exchange.h"
#include "http/internal/refusal.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace azurespindle::http::internal {
namespace {

using Pistache::Tcp::Peer;

/// Idle time after which a connection is closed while the server drains. It is not zero because a
/// caller that has just connected is about to send its first request.
constexpr milliseconds drainIdleTimeout {300};
/// Largest number of bytes read from one connection before the others take their turn.
constexpr std::size_t maxBytesPerRead = 65'536;
constexpr std::size_t readBufferBytes = 16'384;
constexpr int statusTimeout = 408;
/// Time in which the first request of a new connection is awaited when the server stops.
constexpr milliseconds firstRequestGrace {50};
/// Longest time a caller may read nothing while memory is short.
constexpr milliseconds writeTimeoutWhileShort {2'000};

/// Returns the refusal of a request that is not received in time, or nothing. A body is late if no
/// byte arrives for the request timeout, or if it makes no progress for the longer idle timeout.
std::optional<RejectedRequest> timeoutOf(const Connection &connection,
                                         const settings::CallerLimits &limits, Instant now)
{
    if (!connection.reader.inBody()) {
        if (now - connection.lastActivity <= limits.requestTimeout) {
            return std::nullopt;
        }
        return RejectedRequest {statusTimeout, "the header did not arrive in time",
                                RefusalReason::HeaderTimedOut};
    }
    const milliseconds progressTimeout = std::max(limits.requestTimeout, limits.idleTimeout);
    if (now - connection.lastBodyByte <= limits.requestTimeout
        && now - connection.lastProgress <= progressTimeout) {
        return std::nullopt;
    }
    return RejectedRequest {statusTimeout, "the body makes no progress",
                            RefusalReason::BodyTimedOut};
}

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
    Pistache::Tcp::Transport::onReady(Pistache::Aio::FdSet(this->takePeerEvents(fds)));
    this->state->progress += 1;
    this->runPosted();
}

void PostingTransport::runPosted()
{
    while (auto closure = this->postedClosures.popSafe()) {
        (*closure)();
        this->state->progress += 1;
    }
}

std::vector<Pistache::Polling::Event>
PostingTransport::takePeerEvents(const Pistache::Aio::FdSet &fds)
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
        const auto found = this->peers.find(static_cast<Pistache::Fd>(entry.getTag().value()));
        if (found == this->peers.end()) {
            others.push_back(event);
            continue;
        }
        const std::shared_ptr<Peer> peer = found->second;
        if (entry.isWritable()) {
            this->continueWriting(peer);
        }
        if (entry.isReadable() || entry.isHangup()) {
            this->continueReading(peer);
        }
        // What the input led to, such as closing a refused connection, is done before more is read.
        this->runPosted();
    }
    return others;
}

void PostingTransport::continueReading(const std::shared_ptr<Peer> &peer)
{
    std::size_t left = maxBytesPerRead;
    while (left > 0 && this->owns(peer)) {
        char bytes[readBufferBytes];
        const ssize_t count
            = ::recv(peer->fd(), bytes, std::min(left, sizeof(bytes)), MSG_DONTWAIT);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            return;
        }
        if (count <= 0) {
            this->disconnect(peer);
            return;
        }
        left -= static_cast<std::size_t>(count);
        this->handlerPrototype->onInput(bytes, static_cast<std::size_t>(count), peer);
    }
    if (this->owns(peer)) {
        // The interest is set anew, which tells at once that bytes are left.
        this->setInterest(peer, connectionOf(peer)->awaitsWritable);
    }
}

void PostingTransport::setInterest(const std::shared_ptr<Peer> &peer, bool writable)
{
    using Pistache::Polling::NotifyOn;
    this->reactor()->modifyFd(this->key(), peer->fd(),
                              writable ? NotifyOn::Read | NotifyOn::Write : NotifyOn::Read,
                              Pistache::Polling::Mode::Edge);
}

void PostingTransport::awaitWritable(const std::shared_ptr<Peer> &peer, bool awaits)
{
    const std::shared_ptr<Connection> connection = connectionOf(peer);
    if (std::exchange(connection->awaitsWritable, awaits) == awaits) {
        return;
    }
    this->setInterest(peer, awaits);
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

void PostingTransport::postRefusal(const std::weak_ptr<Peer> &peer)
{
    const std::weak_ptr<PostingTransport> weak = this->weak_from_this();
    this->post([weak, peer] {
        const auto self = weak.lock();
        const auto alive = peer.lock();
        if (self != nullptr && alive != nullptr && self->owns(alive)) {
            refuseConnection(self->state, self, alive, memoryShortRejection());
        }
    });
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
    std::vector<std::pair<std::shared_ptr<Peer>, RejectedRequest>> late;
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
        if (connection->reader.hasPendingInput()) {
            if (const auto rejection = timeoutOf(*connection, limits, now)) {
                late.emplace_back(peer, *rejection);
            }
            continue;
        }
        const bool isDue = age > limits.idleTimeout || (draining && age > drainIdleTimeout);
        // A request may have arrived that this thread has not read yet.
        if (isDue && !hasUnreadBytes(*peer)) {
            expired.push_back(peer);
        }
    }
    for (const auto &[peer, rejection] : late) {
        refuseConnection(this->state, this->shared_from_this(), peer, rejection);
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
