#ifndef AZURESPINDLE_HTTP_INTERNAL_CONNECTION_EXCHANGE_H
#define AZURESPINDLE_HTTP_INTERNAL_CONNECTION_EXCHANGE_H

#include "http/internal/counted_bytes.h"
#include "http/internal/posting_transport.h"
#include "http/server.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

namespace azurespindle::http::internal {

/// How the response to a request is sent.
struct ResponseForm
{
    bool closesConnection = false; ///< The connection is closed after the response.
    bool omitsBody = false;        ///< The request's method is HEAD.
    bool operator==(const ResponseForm &other) const = default;
};

/// Exchange that sends its response over one caller connection.
class ConnectionExchange : public Exchange, public std::enable_shared_from_this<ConnectionExchange>
{
public:
    ConnectionExchange(std::shared_ptr<ServerState> state,
                       std::weak_ptr<PostingTransport> transport,
                       std::shared_ptr<Pistache::Tcp::Peer> peer, ResponseForm form);
    ~ConnectionExchange() override;

    void respond(int status, const Headers &headers, const std::string &body) override;
    void respondWithFields(int status, const HeaderFields &fields,
                           const std::string &body) override;
    void beginStream(int status, const Headers &headers) override;
    void beginStreamWithFields(int status, const HeaderFields &fields) override;
    void send(const std::string &part) override;
    void finish() override;
    void abort() override;
    void onDisconnected(std::function<void()> callback) override;
    void onDrained(std::function<void()> callback) override;
    std::size_t unsentBytes() const override;
    bool congested() const override;

    /// Keeps the memory of an admitted request charged as long as this object exists. To be called
    /// once, before the request is handled.
    void holdRequest(std::size_t bytes) { this->requestBytes = bytes; }
    /// Closes the connection after the response, and says so if its head is yet to be given.
    void closeAfterwards() { this->closeAfterResponse = true; }
    /// Discards unsent bytes and calls the onDisconnected callback. Call on the owning thread only.
    void handleDisconnect();
    /// Discards the unsent bytes of a complete response. Call on the owning thread only.
    void discardUnsent();
    /// Returns true if the whole response was given, though it may be unsent.
    bool isComplete() const;
    /// Returns the time since unsent bytes last made progress, or 0 if there are none. Call on the
    /// owning thread only.
    microseconds stallDuration(Instant now) const;

private:
    void append(std::string bytes, bool last);
    void flush();
    /// Frees the bytes that were not handed to the connection. Requires the lock.
    void discardPending();
    void onBytesSent(std::size_t bytes);
    /// Ends the exchange once its last byte is sent.
    void onResponseSent();
    void markEnded();
    /// Returns the bytes of a response's head.
    /// \param framing the field that tells where the body ends, or an empty string.
    std::string head(int status, const HeaderFields &fields, const std::string &framing);

    const std::shared_ptr<ServerState> state;
    const std::weak_ptr<PostingTransport> transport;
    std::shared_ptr<Pistache::Tcp::Peer> peer;
    const std::size_t unsentLimit;
    std::size_t requestBytes = 0; ///< Charged to ServerState::inputBudget.
    const bool omitsBody;
    std::atomic<bool> closeAfterResponse;

    mutable std::mutex mutex; ///< Guards all members declared after it.
    std::string pending;
    CountedBytes pendingCounted;
    bool flushPosted = false;
    bool complete = false;
    bool disconnected = false;
    bool ended = false; ///< No longer counted in ServerState::openExchanges.
    bool wasCongested = false;
    std::size_t bytesInTransport = 0; ///< Handed to the connection, not yet written.
    Instant lastWriteProgress;
    std::function<void()> disconnectedCallback;
    std::function<void()> drainedCallback;
};

} // namespace azurespindle::http::internal

#endif
