#ifndef AZURESPINDLE_HTTP_INTERNAL_POSTING_TRANSPORT_H
#define AZURESPINDLE_HTTP_INTERNAL_POSTING_TRANSPORT_H

#include "http/internal/server_state.h"

#include <pistache/peer.h>
#include <pistache/transport.h>

#include <functional>
#include <memory>

namespace azurespindle::http::internal {

/// A transport that runs closures on the thread that owns its connections.
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

    /// Runs \a closure soon on the owning thread.
    void post(std::function<void()> closure);
    /// Returns true while \a peer is a connection of this transport. Owning thread only.
    bool owns(const std::shared_ptr<Pistache::Tcp::Peer> &peer) const;
    /// Closes a connection. Owning thread only.
    void disconnect(const std::shared_ptr<Pistache::Tcp::Peer> &peer);
    /// Enforces the time limits on each connection. Owning thread only.
    void enforceTimeouts(bool draining);

private:
    std::shared_ptr<Pistache::Tcp::Handler> handlerPrototype;
    std::shared_ptr<ServerState> state;
    Pistache::PollableQueue<std::function<void()>> posted;
};

} // namespace azurespindle::http::internal

#endif
