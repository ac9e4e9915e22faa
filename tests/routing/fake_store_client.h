#ifndef AZURESPINDLE_TESTS_ROUTING_FAKE_STORE_CLIENT_H
#define AZURESPINDLE_TESTS_ROUTING_FAKE_STORE_CLIENT_H

#include "routing/store_watcher.h"

#include <deque>
#include <mutex>
#include <string>

namespace azurespindle::tests {

/// A fake of the publishing store that records calls and leaves the responses to the test.
class FakeStoreClient
{
public:
    /// A call that waits for its response.
    struct Call
    {
        bool isListing = false;     ///< True for a listing, false for a watch.
        std::string after;          ///< Key after which a listing starts.
        std::uint64_t revision = 0; ///< Revision after which a watch starts.
        routing::StoreResponseHandler handler;
    };

    routing::StoreCalls calls()
    {
        return {[this](const std::string &after, const routing::StoreResponseHandler &handler) {
                    this->add({true, after, 0, handler});
                },
                [this](std::uint64_t revision, milliseconds,
                       const routing::StoreResponseHandler &handler) {
                    this->add({false, {}, revision, handler});
                }};
    }

    /// Waits for a call and removes it. \return an empty call if none was made within \a timeout.
    Call takeCall(milliseconds timeout = milliseconds(3'000))
    {
        const Instant until = monotonicNow() + timeout;
        while (monotonicNow() < until) {
            {
                const std::lock_guard lock(this->mutex);
                if (!this->pending.empty()) {
                    Call call = this->pending.front();
                    this->pending.pop_front();
                    return call;
                }
            }
            std::this_thread::sleep_for(milliseconds(2));
        }
        return {};
    }

    std::size_t callCount() const
    {
        const std::lock_guard lock(this->mutex);
        return this->totalCalls;
    }

private:
    void add(Call call)
    {
        const std::lock_guard lock(this->mutex);
        this->pending.push_back(std::move(call));
        this->totalCalls += 1;
    }

    mutable std::mutex mutex; ///< Guards the members below.
    std::deque<Call> pending;
    std::size_t totalCalls = 0; ///< Calls made so far, answered or not.
};

/// Returns a successful response.
inline routing::StoreResponse storeResponse(std::uint64_t revision,
                                            std::vector<routing::PublishedItem> items,
                                            bool hasMore = false)
{
    routing::StoreResponse response;
    response.status = routing::StoreCallStatus::Ok;
    response.revision = revision;
    response.items = std::move(items);
    response.hasMore = hasMore;
    return response;
}

/// Returns the response of a call that failed with \a status.
inline routing::StoreResponse failedResponse(routing::StoreCallStatus status)
{
    routing::StoreResponse response;
    response.status = status;
    return response;
}

} // namespace azurespindle::tests

#endif
