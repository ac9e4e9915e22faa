#ifndef AZURESPINDLE_HTTP_INTERNAL_CONNECTION_EXCHANGE_H
#define AZURESPINDLE_HTTP_INTERNAL_CONNECTION_EXCHANGE_H

#include "http/internal/posting_transport.h"
#include "http/server.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

namespace azurespindle::http::internal {

/// The answer to one request of one connection.
class ConnectionExchange : public Exchange, public std::enable_shared_from_this<ConnectionExchange>
{
public:
    ConnectionExchange(std::shared_ptr<ServerState> state,
                       std::weak_ptr<PostingTransport> transport,
                       std::shared_ptr<Pistache::Tcp::Peer> peer, bool closeAfter);
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

    /// Tells the exchange that its connection is gone. Owning thread only.
    void connectionGone();
    /// Returns how long unsent bytes have not moved. Owning thread only.
    microseconds stalledFor(Instant now) const;

private:
    void append(const std::string &bytes, bool last);
    void flush();
    void noteSent(std::size_t bytes);
    void end();
    std::string head(int status, const HeaderFields &fields, const std::string &framing);

    const std::shared_ptr<ServerState> state;
    const std::weak_ptr<PostingTransport> transport;
    std::shared_ptr<Pistache::Tcp::Peer> peer;
    const std::size_t unsentLimit;
    std::atomic<bool> closeAfter;

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

} // namespace azurespindle::http::internal

#endif
