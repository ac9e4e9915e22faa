#ifndef AZURESPINDLE_HTTP_INTERNAL_SERVER_STATE_H
#define AZURESPINDLE_HTTP_INTERNAL_SERVER_STATE_H

#include "http/server.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <vector>

namespace azurespindle::http::internal {

class PostingTransport;

/// State shared by all worker threads of one server.
class ServerState
{
public:
    ServerState(settings::CallerLimits limits, Handler handler);

    void addTransport(const std::weak_ptr<PostingTransport> &transport);
    void drain();
    void enforceTimeouts();
    void close();
    void setLimits(const settings::CallerLimits &limits);
    settings::CallerLimits limits() const;

    const Handler handler;
    std::atomic<std::size_t> openExchanges {0};
    std::atomic<std::size_t> openConnections {0};
    std::atomic<bool> draining {false};
    std::atomic<bool> closed {false};

private:
    std::vector<std::shared_ptr<PostingTransport>> transports();

    mutable std::mutex mutex; ///< Guards registeredTransports and currentLimits.
    std::vector<std::weak_ptr<PostingTransport>> registeredTransports;
    settings::CallerLimits currentLimits;
};

} // namespace azurespindle::http::internal

#endif
