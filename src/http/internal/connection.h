#ifndef AZURESPINDLE_HTTP_INTERNAL_CONNECTION_H
#define AZURESPINDLE_HTTP_INTERNAL_CONNECTION_H

#include "http/server.h"

#include <pistache/http.h>
#include <pistache/listener.h>
#include <pistache/peer.h>
#include <pistache/transport.h>

#include <atomic>
#include <mutex>
#include <vector>

namespace azurespindle::http::internal {

class PostingTransport;

/// What all worker threads of one server share.
class ServerState
{
public:
    ServerState(settings::CallerLimits limits, Handler handler);

    void addTransport(const std::weak_ptr<PostingTransport> &transport);
    void drain();
    void sweep();
    void close();

    const settings::CallerLimits limits;
    const Handler handler;
    std::atomic<std::size_t> openExchanges {0};
    std::atomic<std::size_t> openConnections {0};
    std::atomic<bool> draining {false};
    std::atomic<bool> closed {false};

private:
    std::vector<std::shared_ptr<PostingTransport>> transports();

    std::mutex mutex;
    std::vector<std::weak_ptr<PostingTransport>> all;
};

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
    void sweep(bool draining);

private:
    std::shared_ptr<Pistache::Tcp::Handler> handlerPrototype;
    std::shared_ptr<ServerState> state;
    Pistache::PollableQueue<std::function<void()>> posted;
};

class ConnectionExchange;

/// State of one caller connection. Touched on the owning thread only.
struct Connection
{
    explicit Connection(std::size_t maxBytes) : parser(maxBytes) { }

    Pistache::Http::RequestParser parser;
    bool requestBegun = false;                    ///< Bytes of a request arrived, but not all.
    bool gone = false;                            ///< Closed; nothing more is done with it.
    bool closing = false;                         ///< Closed after the present answer.
    Instant lastProgress;                         ///< First byte of a request, or last answer.
    std::shared_ptr<ConnectionExchange> exchange; ///< The answer that is under way.
};

/// The answer to one request of one connection.
class ConnectionExchange : public Exchange, public std::enable_shared_from_this<ConnectionExchange>
{
public:
    ConnectionExchange(std::shared_ptr<ServerState> state,
                       std::weak_ptr<PostingTransport> transport,
                       std::shared_ptr<Pistache::Tcp::Peer> peer, bool closeAfter);
    ~ConnectionExchange() override;

    void respond(int status, const Headers &headers, const std::string &body) override;
    void beginStream(int status, const Headers &headers) override;
    void send(const std::string &part) override;
    void finish() override;
    void abort() override;
    void onGone(std::function<void()> callback) override;
    void onDrained(std::function<void()> callback) override;
    std::size_t unsentBytes() const override;
    bool congested() const override;

    /// Tells the exchange that its connection is gone. Owning thread only.
    void connectionGone();
    /// Returns how long unsent bytes have not moved. Owning thread only.
    microseconds stalledFor(Instant now) const;

private:
    void append(const std::string &bytes, bool last);
    void flush();
    void noteSent(std::size_t bytes);
    void end();
    std::string head(int status, const Headers &headers, const std::string &framing) const;

    const std::shared_ptr<ServerState> state;
    const std::weak_ptr<PostingTransport> transport;
    std::shared_ptr<Pistache::Tcp::Peer> peer;
    const bool closeAfter;

    mutable std::mutex mutex; ///< Guards the members below.
    std::string pending;
    bool flushPosted = false;
    bool complete = false;
    bool aborted = false;
    bool gone = false;
    bool ended = false;
    bool wasCongested = false;
    std::size_t inLibrary = 0; ///< Bytes handed to the library and not yet taken.
    Instant lastMoved;
    std::function<void()> goneCallback;
    std::function<void()> drainedCallback;
};

/// Parses requests and hands them to the server's handler.
class ConnectionHandler : public Pistache::Tcp::Handler
{
public:
    PROTOTYPE_OF(Pistache::Tcp::Handler, ConnectionHandler)

    explicit ConnectionHandler(std::shared_ptr<ServerState> state);

    void onConnection(const std::shared_ptr<Pistache::Tcp::Peer> &peer) override;
    void onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer> &peer) override;
    void onInput(const char *buffer, std::size_t length,
                 const std::shared_ptr<Pistache::Tcp::Peer> &peer) override;

private:
    std::shared_ptr<PostingTransport> owner();
    void dispatch(Connection &connection, const std::shared_ptr<Pistache::Tcp::Peer> &peer);
    void refuse(Connection &connection, const std::shared_ptr<Pistache::Tcp::Peer> &peer,
                int status, const std::string &detail);

    std::shared_ptr<ServerState> state;
};

/// Returns the state that was attached to the connection.
std::shared_ptr<Connection> connectionOf(const std::shared_ptr<Pistache::Tcp::Peer> &peer);

} // namespace azurespindle::http::internal

#endif
