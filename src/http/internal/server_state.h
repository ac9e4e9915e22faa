#ifndef AZURESPINDLE_HTTP_INTERNAL_SERVER_STATE_H
#define AZURESPINDLE_HTTP_INTERNAL_SERVER_STATE_H

#include "http/internal/input_budget.h"
#include "http/server.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace azurespindle::http::internal {

class PostingTransport;

/// State shared by all worker threads of one server.
class ServerState
{
public:
    ServerState(settings::CallerLimits limits, Handler handler, RefusalHandler onRefusal);

    void addTransport(const std::weak_ptr<PostingTransport> &transport);
    void drain();
    /// \param memoryShort true to disconnect callers that hold unsent bytes and read nothing early.
    void enforceTimeouts(bool memoryShort = false);
    /// Runs \a done on the last worker thread that comes to it.
    void probe(const std::function<void()> &done);
    /// Lets every further request be answered with 503 instead of being passed to the handler.
    void refuseRequests() { this->refusing = true; }
    /// Closes the connections that wait for nothing, once every request that has arrived was read.
    /// \return the number of connections that still have a request or response under way, or
    /// nothing if the worker threads did not come to it before \a deadline.
    std::optional<std::size_t> closeFinished(Instant deadline);
    void setLimits(const settings::CallerLimits &limits);
    settings::CallerLimits limits() const;

    const Handler handler;
    const RefusalHandler onRefusal;
    InputBudget inputBudget;
    std::atomic<std::size_t> openExchanges {0};
    std::atomic<std::size_t> openConnections {0};
    /// Memory of the responses that are not written to their sockets yet, in bytes.
    const std::shared_ptr<std::atomic<std::size_t>> unsentBytes
        = std::make_shared<std::atomic<std::size_t>>(0);
    std::atomic<std::uint64_t> progress {0}; ///< Pieces of work that worker threads completed.
    std::atomic<bool> draining {false};
    std::atomic<bool> refusing {false};

private:
    std::vector<std::shared_ptr<PostingTransport>> transports();

    mutable std::mutex mutex; ///< Guards registeredTransports and currentLimits.
    std::vector<std::weak_ptr<PostingTransport>> registeredTransports;
    settings::CallerLimits currentLimits;
};

} // namespace azurespindle::http::internal

#endif
