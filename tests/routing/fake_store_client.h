#ifndef AZURESPINDLE_TESTS_ROUTING_FAKE_STORE_CLIENT_H
#define AZURESPINDLE_TESTS_ROUTING_FAKE_STORE_CLIENT_H

#include "routing/store_watcher.h"

#include <deque>
#include <mutex>
#include <string>

namespace azurespindle::tests {

/// A publishing store of which each answer is given by hand.
class FakeStoreClient
{
public:
    /// One call that waits for its answer.
    struct Call
    {
        bool isListing = false;
        std::string after;          ///< Of a listing.
        std::uint64_t revision = 0; ///< Of a watch.
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

    /// Takes the call that waits, once there is one; \return an empty one after \a patience.
    Call takeCall(milliseconds patience = milliseconds(3'000))
    {
        const Instant until = monotonicNow() + patience;
        while (monotonicNow() < until) {
            {
                const std::lock_guard lock(this->mutex);
                if (!this->waiting.empty()) {
                    Call call = this->waiting.front();
                    this->waiting.pop_front();
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
        return this->made;
    }

private:
    void add(Call call)
    {
        const std::lock_guard lock(this->mutex);
        this->waiting.push_back(std::move(call));
        this->made += 1;
    }

    mutable std::mutex mutex; ///< Guards the members below.
    std::deque<Call> waiting;
    std::size_t made = 0;
};

inline routing::StoreResponse
storeResponse(std::uint64_t at, std::vector<routing::PublishedItem> items, bool more = false)
{
    routing::StoreResponse answer;
    answer.status = routing::StoreCallStatus::Ok;
    answer.revision = at;
    answer.items = std::move(items);
    answer.hasMore = more;
    return answer;
}

inline routing::StoreResponse failedResponse(routing::StoreCallStatus status)
{
    routing::StoreResponse answer;
    answer.status = status;
    return answer;
}

} // namespace azurespindle::tests

#endif
