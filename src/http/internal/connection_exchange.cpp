#include "http/internal/connection_exchange.h"

#include "http/internal/connection.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace azurespindle::http::internal {
namespace {

using Pistache::Tcp::Peer;

constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;

bool permitsBody(int status)
{
    return status != statusNoContent && status != statusNotModified;
}

std::string chunk(const std::string &bytes)
{
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

} // namespace

ConnectionExchange::ConnectionExchange(std::shared_ptr<ServerState> state,
                                       std::weak_ptr<PostingTransport> transport,
                                       std::shared_ptr<Peer> peer, ResponseForm form)
    : state(std::move(state)), transport(std::move(transport)), peer(std::move(peer)),
      unsentLimit(this->state->limits().unsentBytes), omitsBody(form.omitsBody),
      closeAfterResponse(form.closesConnection), pendingCounted(this->state->unsentBytes),
      lastWriteProgress(monotonicNow())
{
    this->state->openExchanges += 1;
}

ConnectionExchange::~ConnectionExchange()
{
    this->markEnded();
    this->state->inputBudget.releaseRequest(this->requestBytes);
}

void ConnectionExchange::markEnded()
{
    if (!std::exchange(this->ended, true)) {
        this->state->openExchanges -= 1;
    }
}

std::string ConnectionExchange::head(int status, const HeaderFields &fields,
                                     const std::string &framing)
{
    if (this->state->draining) {
        this->closeAfterResponse = true;
    }
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reasonPhrase(status) + "\r\n";
    for (const auto &[name, value] : fields) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    if (!framing.empty()) {
        text.append(framing).append("\r\n");
    }
    text += this->closeAfterResponse ? "connection: close\r\n\r\n" : "\r\n";
    return text;
}

void ConnectionExchange::respond(int status, const Headers &headers, const std::string &body)
{
    this->respondWithFields(status, HeaderFields(headers.begin(), headers.end()), body);
}

void ConnectionExchange::respondWithFields(int status, const HeaderFields &fields,
                                           const std::string &body)
{
    // What is forwarded to a HEAD request has no body here, and its length is not known.
    const bool lengthUnknown = this->omitsBody && body.empty();
    const bool statesLength = permitsBody(status) && !lengthUnknown;
    const std::string framing
        = statesLength ? "content-length: " + std::to_string(body.size()) : "";
    const std::string head = this->head(status, fields, framing);
    this->append(this->omitsBody || !permitsBody(status) ? head : head + body, true);
}

void ConnectionExchange::beginStream(int status, const Headers &headers)
{
    this->beginStreamWithFields(status, HeaderFields(headers.begin(), headers.end()));
}

void ConnectionExchange::beginStreamWithFields(int status, const HeaderFields &fields)
{
    this->append(this->head(status, fields, this->omitsBody ? "" : "transfer-encoding: chunked"),
                 false);
}

void ConnectionExchange::send(const std::string &part)
{
    if (!part.empty() && !this->omitsBody) {
        this->append(chunk(part), false);
    }
}

void ConnectionExchange::finish()
{
    this->append(this->omitsBody ? "" : "0\r\n\r\n", true);
}

void ConnectionExchange::abort()
{
    this->closeAfterwards();
    this->append({}, true);
}

void ConnectionExchange::append(std::string bytes, bool last)
{
    const std::lock_guard lock(this->mutex);
    if (this->disconnected || this->complete) {
        return;
    }
    if (this->pending.empty() && this->bytesInTransport == 0) {
        this->lastWriteProgress = monotonicNow();
    }
    if (this->pending.empty()) {
        this->pending = std::move(bytes);
    } else {
        this->pending += bytes;
    }
    this->pendingCounted.set(this->pending.capacity());
    this->complete = last;
    if (this->pending.size() + this->bytesInTransport >= this->unsentLimit) {
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

/// Hands the buffered bytes to the connection. Runs on the owning thread.
void ConnectionExchange::flush()
{
    const auto owner = this->transport.lock();
    std::string bytes;
    CountedBytes counted(this->state->unsentBytes);
    bool last = false;
    {
        const std::lock_guard lock(this->mutex);
        this->flushPosted = false;
        if (owner == nullptr || this->disconnected) {
            return;
        }
        bytes = std::exchange(this->pending, {});
        counted.set(bytes.capacity());
        this->pendingCounted.set(0);
        this->bytesInTransport += bytes.size();
        last = this->complete;
    }
    if (!owner->owns(this->peer)) {
        return;
    }
    const std::shared_ptr<Connection> connection = connectionOf(this->peer);
    auto self = this->shared_from_this();
    if (last) {
        connection->completed = self;
        connection->exchange.reset();
        connection->lastActivity = monotonicNow();
        connection->closing = connection->closing || this->closeAfterResponse;
    }
    const auto onSent = [self, last](std::size_t sent, bool partSent) {
        self->onBytesSent(sent);
        if (last && partSent) {
            self->onResponseSent();
        }
    };
    connection->writer.push(std::move(bytes), onSent, std::move(counted));
    owner->continueWriting(this->peer);
    if (last && !connection->closing) {
        connection->onResponseComplete();
    }
}

void ConnectionExchange::onResponseSent()
{
    {
        const std::lock_guard lock(this->mutex);
        this->markEnded();
    }
    const auto alive = this->transport.lock();
    if (this->closeAfterResponse && alive != nullptr) {
        alive->post([self = this->shared_from_this(), alive] { alive->disconnect(self->peer); });
    }
}

void ConnectionExchange::onBytesSent(std::size_t bytes)
{
    std::function<void()> drained;
    {
        const std::lock_guard lock(this->mutex);
        this->bytesInTransport -= std::min(bytes, this->bytesInTransport);
        this->lastWriteProgress = monotonicNow();
        const std::size_t unsent = this->pending.size() + this->bytesInTransport;
        if (this->wasCongested && unsent < this->unsentLimit / 2) {
            this->wasCongested = false;
            drained = this->drainedCallback;
        }
    }
    if (drained) {
        drained();
    }
}

void ConnectionExchange::onDisconnected(std::function<void()> callback)
{
    {
        const std::lock_guard lock(this->mutex);
        if (!this->disconnected) {
            this->disconnectedCallback = std::move(callback);
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
    return this->pending.size() + this->bytesInTransport;
}

bool ConnectionExchange::congested() const
{
    return this->unsentBytes() >= this->unsentLimit;
}

void ConnectionExchange::handleDisconnect()
{
    std::function<void()> callback;
    {
        const std::lock_guard lock(this->mutex);
        this->disconnected = true;
        this->discardPending();
        this->drainedCallback = nullptr;
        callback = std::exchange(this->disconnectedCallback, nullptr);
        this->markEnded();
    }
    if (callback) {
        callback();
    }
}

void ConnectionExchange::discardPending()
{
    this->pending = std::string();
    this->pendingCounted.set(0);
}

void ConnectionExchange::discardUnsent()
{
    const std::lock_guard lock(this->mutex);
    this->disconnected = true;
    this->discardPending();
    this->bytesInTransport = 0;
    this->markEnded();
}

bool ConnectionExchange::isComplete() const
{
    const std::lock_guard lock(this->mutex);
    return this->complete;
}

microseconds ConnectionExchange::stallDuration(Instant now) const
{
    const std::lock_guard lock(this->mutex);
    const bool waiting = this->pending.size() + this->bytesInTransport > 0;
    return waiting ? now - this->lastWriteProgress : microseconds(0);
}

} // namespace azurespindle::http::internal
