#ifndef AZURESPINDLE_HTTP_INTERNAL_POSTING_TRANSPORT_H
#define AZURESPINDLE_HTTP_INTERNAL_POSTING_TRANSPORT_H

#include "http/internal/server_state.h"

#include <pistache/peer.h>
#include <pistache/transport.h>

#include <functional>
#include <memory>
#include <vector>

namespace azurespindle::http::internal {

/// Pistache transport that runs posted closures on the thread that owns its connections.
class PostingTransport : public Pistache::Tcp::Transport,
                         public std::enable_shared_from_this<PostingTransport>
{
public:
    static std::shared_ptr<PostingTransport>
    create(const std::shared_ptr<Pistache::Tcp::Handler> &handler,
           const std::shared_ptr<ServerState> &state);
    PostingTransport(const std::shared_ptr<Pistache::Tcp::Handler> &handler,
                     std::shared_ptr<ServerState> state);

    void registerPoller(Pistache::Polling::Epoll &poller) override;
    void onReady(const Pistache::Aio::FdSet &fds) override;
    std::shared_ptr<Pistache::Aio::Handler> clone() const override;

    /// Queues \a closure to run on the owning thread. May be called from any thread.
    void post(std::function<void()> closure);
    /// Refuses what a connection is sending, because memory is short. May be called from any
    /// thread.
    void postRefusal(const std::weak_ptr<Pistache::Tcp::Peer> &peer);
    /// Returns true if \a peer is an open connection of this transport. Call on the owning thread
    /// only.
    bool owns(const std::shared_ptr<Pistache::Tcp::Peer> &peer) const;
    /// Writes what a connection has yet to send, as far as its socket takes it; the rest follows
    /// when the socket is writable again. Call on the owning thread only.
    void continueWriting(const std::shared_ptr<Pistache::Tcp::Peer> &peer);
    /// Closes a connection. Call on the owning thread only.
    void disconnect(const std::shared_ptr<Pistache::Tcp::Peer> &peer);
    /// Closes connections that exceeded a timeout and, if \a draining, idle ones. If
    /// \a memoryShort, a caller that reads nothing is closed earlier. Call on the owning thread
    /// only.
    void enforceTimeouts(bool draining, bool memoryShort);
    /// Closes the connections that wait for nothing. Call on the owning thread only.
    /// \return the number of connections that still have a request or response under way.
    std::size_t closeFinished();

private:
    /// Handles the events of connections. \return the other events, for Pistache.
    std::vector<Pistache::Polling::Event> takePeerEvents(const Pistache::Aio::FdSet &fds);
    /// Passes on what a connection has received, up to a limit; the rest follows after the other
    /// connections have had their turn, so that a caller that sends fast does not keep the thread.
    void continueReading(const std::shared_ptr<Pistache::Tcp::Peer> &peer);
    void runPosted();
    /// Sets what the poller tells of a connection, which is told at once if it is so already.
    void setInterest(const std::shared_ptr<Pistache::Tcp::Peer> &peer, bool writable);
    /// Sets whether the poller tells when a socket is writable.
    void awaitWritable(const std::shared_ptr<Pistache::Tcp::Peer> &peer, bool awaits);

    std::shared_ptr<Pistache::Tcp::Handler> handlerPrototype;
    std::shared_ptr<ServerState> state;
    Pistache::PollableQueue<std::function<void()>> postedClosures;
};

} // namespace azurespindle::http::internal

#endif
