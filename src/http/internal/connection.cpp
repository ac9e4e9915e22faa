#include "http/internal/connection.h"

#include "http/problem.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace azurespindle::http::internal {
namespace {

using Pistache::Tcp::Peer;
namespace Http = Pistache::Http;

constexpr const char *connectionData = "connection";
constexpr int statusBadRequest = 400;
constexpr int statusTooLarge = 413;
constexpr int statusUnavailable = 503;

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

std::string chunk(const std::string &bytes)
{
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

/// Returns false for a Content-Length that the library reads as 0 because it is no number.
bool hasGoodLength(const ServerRequest &request)
{
    const std::string length = request.header("content-length");
    return std::all_of(length.begin(), length.end(),
                       [](unsigned char letter) { return std::isdigit(letter) != 0; });
}

/// Tells a connection's exchange, once, that the connection is gone.
void noteGone(ServerState &state, const std::shared_ptr<Peer> &peer)
{
    const std::shared_ptr<Connection> connection = connectionOf(peer);
    if (connection == nullptr || std::exchange(connection->gone, true)) {
        return;
    }
    state.openConnections -= 1;
    const std::shared_ptr<ConnectionExchange> exchange = std::move(connection->exchange);
    if (exchange != nullptr) {
        exchange->connectionGone();
    }
}

ServerRequest toServerRequest(const Http::Request &request)
{
    ServerRequest converted;
    converted.method = Http::methodString(request.method());
    converted.path = request.resource();
    for (auto field = request.query().parameters_begin(); field != request.query().parameters_end();
         ++field) {
        converted.query[field->first] = field->second;
    }
    for (const auto &[name, raw] : request.headers().rawList()) {
        converted.headers[lowerCase(name)] = raw.value();
    }
    converted.body = request.body();
    return converted;
}

} // namespace

std::shared_ptr<Connection> connectionOf(const std::shared_ptr<Peer> &peer)
{
    return std::static_pointer_cast<Connection>(peer->tryGetData(connectionData));
}

// ServerState -------------------------------------------------------------------------------

ServerState::ServerState(settings::CallerLimits limits, Handler handler)
    : limits(limits), handler(std::move(handler))
{ }

void ServerState::addTransport(const std::weak_ptr<PostingTransport> &transport)
{
    const std::lock_guard lock(this->mutex);
    this->all.push_back(transport);
}

std::vector<std::shared_ptr<PostingTransport>> ServerState::transports()
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::shared_ptr<PostingTransport>> alive;
    for (const auto &each : this->all) {
        if (auto transport = each.lock()) {
            alive.push_back(std::move(transport));
        }
    }
    return alive;
}

void ServerState::drain()
{
    this->draining = true;
    this->sweep();
}

void ServerState::close()
{
    this->closed = true;
}

void ServerState::sweep()
{
    const bool now = this->draining;
    for (const auto &transport : this->transports()) {
        const std::weak_ptr<PostingTransport> weak = transport;
        transport->post([weak, now] {
            if (const auto alive = weak.lock()) {
                alive->sweep(now);
            }
        });
    }
}

// PostingTransport --------------------------------------------------------------------------

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

void PostingTransport::sweep(bool draining)
{
    const Instant now = monotonicNow();
    const settings::CallerLimits &limits = this->state->limits;
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
            = connection->requestBegun ? limits.requestTimeout : limits.idleTimeout;
        if (age > allowed || (draining && !connection->requestBegun)) {
            expired.push_back(peer);
        }
    }
    for (const std::shared_ptr<Peer> &peer : expired) {
        this->disconnect(peer);
    }
}

// ConnectionExchange ------------------------------------------------------------------------

ConnectionExchange::ConnectionExchange(std::shared_ptr<ServerState> state,
                                       std::weak_ptr<PostingTransport> transport,
                                       std::shared_ptr<Peer> peer, bool closeAfter)
    : state(std::move(state)), transport(std::move(transport)), peer(std::move(peer)),
      closeAfter(closeAfter), lastMoved(monotonicNow())
{
    this->state->openExchanges += 1;
}

ConnectionExchange::~ConnectionExchange()
{
    this->end();
}

void ConnectionExchange::end()
{
    if (!std::exchange(this->ended, true)) {
        this->state->openExchanges -= 1;
    }
}

std::string ConnectionExchange::head(int status, const Headers &headers,
                                     const std::string &framing) const
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reasonPhrase(status) + "\r\n";
    for (const auto &[name, value] : headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    text += framing + "\r\n";
    text += this->closeAfter ? "connection: close\r\n\r\n" : "\r\n";
    return text;
}

void ConnectionExchange::respond(int status, const Headers &headers, const std::string &body)
{
    const std::string framing = "content-length: " + std::to_string(body.size());
    this->append(this->head(status, headers, framing) + body, true);
}

void ConnectionExchange::beginStream(int status, const Headers &headers)
{
    this->append(this->head(status, headers, "transfer-encoding: chunked"), false);
}

void ConnectionExchange::send(const std::string &part)
{
    if (!part.empty()) {
        this->append(chunk(part), false);
    }
}

void ConnectionExchange::finish()
{
    this->append("0\r\n\r\n", true);
}

void ConnectionExchange::abort()
{
    {
        const std::lock_guard lock(this->mutex);
        this->aborted = true;
    }
    this->append({}, true);
}

void ConnectionExchange::append(const std::string &bytes, bool last)
{
    const std::lock_guard lock(this->mutex);
    if (this->gone || this->complete) {
        return;
    }
    if (this->pending.empty() && this->inLibrary == 0) {
        this->lastMoved = monotonicNow();
    }
    this->pending += bytes;
    this->complete = last;
    if (this->pending.size() + this->inLibrary >= this->state->limits.unsentBytes) {
        this->wasCongested = true;
    }
    if (this->flushPosted) {
        return;
    }
    const auto owner = this->transport.lock();
    if (owner == nullptr) {
        return;
    }
    this->flushPosted = true;
    owner->post([self = this->shared_from_this()] { self->flush(); });
}

/// Runs on the owning thread.
void ConnectionExchange::flush()
{
    const auto owner = this->transport.lock();
    std::string bytes;
    bool last = false;
    bool abandon = false;
    {
        const std::lock_guard lock(this->mutex);
        this->flushPosted = false;
        if (owner == nullptr || this->gone) {
            return;
        }
        bytes = std::exchange(this->pending, {});
        this->inLibrary += bytes.size();
        last = this->complete;
        abandon = this->aborted;
    }
    if (!owner->owns(this->peer)) {
        return;
    }
    if (abandon) {
        owner->disconnect(this->peer);
        return;
    }
    const std::shared_ptr<Connection> connection = connectionOf(this->peer);
    if (last) {
        connection->exchange.reset();
        connection->lastProgress = monotonicNow();
        connection->closing = connection->closing || this->closeAfter;
    }
    const std::size_t size = bytes.size();
    auto self = this->shared_from_this();
    this->peer->send(Pistache::RawBuffer(std::move(bytes), size))
        .then(
            [self, size, last](ssize_t) {
                self->noteSent(size);
                if (last) {
                    const std::lock_guard lock(self->mutex);
                    self->end();
                }
                const auto alive = self->transport.lock();
                const bool close = last && self->closeAfter && alive != nullptr;
                if (close) {
                    alive->post([self, alive] { alive->disconnect(self->peer); });
                }
            },
            [](const std::exception_ptr &) {});
    // Not Transport::flush(): it spins until the socket takes the bytes, so that one caller who
    // reads nothing would hold up every other caller of this thread.
}

void ConnectionExchange::noteSent(std::size_t bytes)
{
    std::function<void()> drained;
    {
        const std::lock_guard lock(this->mutex);
        this->inLibrary -= std::min(bytes, this->inLibrary);
        this->lastMoved = monotonicNow();
        const std::size_t unsent = this->pending.size() + this->inLibrary;
        if (this->wasCongested && unsent < this->state->limits.unsentBytes / 2) {
            this->wasCongested = false;
            drained = this->drainedCallback;
        }
    }
    if (drained) {
        drained();
    }
}

void ConnectionExchange::onGone(std::function<void()> callback)
{
    {
        const std::lock_guard lock(this->mutex);
        if (!this->gone) {
            this->goneCallback = std::move(callback);
            return;
        }
    }
    if (const auto owner = this->transport.lock()) {
        owner->post(std::move(callback));
    }
}

void ConnectionExchange::onDrained(std::function<void()> callback)
{
    const std::lock_guard lock(this->mutex);
    this->drainedCallback = std::move(callback);
}

std::size_t ConnectionExchange::unsentBytes() const
{
    const std::lock_guard lock(this->mutex);
    return this->pending.size() + this->inLibrary;
}

bool ConnectionExchange::congested() const
{
    return this->unsentBytes() >= this->state->limits.unsentBytes;
}

void ConnectionExchange::connectionGone()
{
    std::function<void()> callback;
    {
        const std::lock_guard lock(this->mutex);
        this->gone = true;
        this->pending.clear();
        this->drainedCallback = nullptr;
        callback = std::exchange(this->goneCallback, nullptr);
        this->end();
    }
    if (callback) {
        callback();
    }
}

microseconds ConnectionExchange::stalledFor(Instant now) const
{
    const std::lock_guard lock(this->mutex);
    const bool waiting = this->pending.size() + this->inLibrary > 0;
    return waiting ? now - this->lastMoved : microseconds(0);
}

// ConnectionHandler -------------------------------------------------------------------------

ConnectionHandler::ConnectionHandler(std::shared_ptr<ServerState> state) : state(std::move(state))
{ }

std::shared_ptr<PostingTransport> ConnectionHandler::owner()
{
    auto *own = static_cast<PostingTransport *>(this->transport());
    return own->shared_from_this();
}

void ConnectionHandler::onConnection(const std::shared_ptr<Peer> &peer)
{
    auto connection = std::make_shared<Connection>(this->state->limits.headerAndBodyBytes);
    connection->lastProgress = monotonicNow();
    peer->putData(connectionData, connection);
    const std::size_t open = this->state->openConnections += 1;
    if (open > this->state->limits.connections) {
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
    if (connection->exchange != nullptr) {
        // A second request before the first answer ended: it is not read, and the connection is
        // closed after the present answer, which tells the caller to send it again elsewhere.
        connection->closing = true;
        return;
    }
    if (!connection->requestBegun) {
        connection->requestBegun = true;
        connection->lastProgress = monotonicNow();
    }
    try {
        if (!connection->parser.feed(buffer, length)) {
            this->refuse(*connection, peer, statusTooLarge, "the request is too large");
            return;
        }
        if (connection->parser.parse() == Http::Private::State::Done) {
            this->dispatch(*connection, peer);
        }
    } catch (const Http::HttpError &error) {
        this->refuse(*connection, peer, error.code(), error.reason());
    } catch (const std::exception &error) {
        this->refuse(*connection, peer, statusBadRequest, error.what());
    }
}

void ConnectionHandler::dispatch(Connection &connection, const std::shared_ptr<Peer> &peer)
{
    const ServerRequest request = toServerRequest(connection.parser.request);
    if (!hasGoodLength(request)) {
        this->refuse(connection, peer, statusBadRequest, "content-length is not a number");
        return;
    }
    connection.parser.reset();
    connection.requestBegun = false;
    const bool close = lowerCase(request.header("connection")) == "close" || this->state->draining;
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
