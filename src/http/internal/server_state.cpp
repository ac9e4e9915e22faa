#include "http/internal/server_state.h"

#include "http/internal/posting_transport.h"

#include <future>
#include <utility>

namespace azurespindle::http::internal {

ServerState::ServerState(settings::CallerLimits limits, Handler handler, RefusalHandler onRefusal)
    : handler(std::move(handler)), onRefusal(std::move(onRefusal)), inputBudget(limits.inputBytes),
      currentLimits(limits)
{ }

void ServerState::setLimits(const settings::CallerLimits &limits)
{
    this->inputBudget.setLimit(limits.inputBytes);
    const std::lock_guard lock(this->mutex);
    this->currentLimits = limits;
}

settings::CallerLimits ServerState::limits() const
{
    const std::lock_guard lock(this->mutex);
    return this->currentLimits;
}

void ServerState::addTransport(const std::weak_ptr<PostingTransport> &transport)
{
    const std::lock_guard lock(this->mutex);
    this->registeredTransports.push_back(transport);
}

std::vector<std::shared_ptr<PostingTransport>> ServerState::transports()
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::shared_ptr<PostingTransport>> alive;
    for (const auto &each : this->registeredTransports) {
        if (auto transport = each.lock()) {
            alive.push_back(std::move(transport));
        }
    }
    return alive;
}

void ServerState::drain()
{
    this->draining = true;
    this->enforceTimeouts();
}

std::optional<std::size_t> ServerState::closeFinished(Instant deadline)
{
    std::vector<std::future<std::size_t>> counts;
    for (const auto &transport : this->transports()) {
        const auto count = std::make_shared<std::promise<std::size_t>>();
        counts.push_back(count->get_future());
        const std::weak_ptr<PostingTransport> weak = transport;
        transport->post([weak, count] {
            const auto alive = weak.lock();
            count->set_value(alive == nullptr ? 0 : alive->closeFinished());
        });
    }
    std::size_t sum = 0;
    for (std::future<std::size_t> &count : counts) {
        if (count.wait_for(deadline - monotonicNow()) != std::future_status::ready) {
            return std::nullopt;
        }
        sum += count.get();
    }
    return sum;
}

void ServerState::probe(const std::function<void()> &done)
{
    const auto alive = this->transports();
    const auto left = std::make_shared<std::atomic<std::size_t>>(alive.size());
    for (const auto &transport : alive) {
        transport->post([left, done] {
            if ((*left -= 1) == 0) {
                done();
            }
        });
    }
}

void ServerState::enforceTimeouts(bool memoryShort)
{
    const bool isDraining = this->draining;
    for (const auto &transport : this->transports()) {
        const std::weak_ptr<PostingTransport> weak = transport;
        transport->post([weak, isDraining, memoryShort] {
            if (const auto alive = weak.lock()) {
                alive->enforceTimeouts(isDraining, memoryShort);
            }
        });
    }
}

} // namespace azurespindle::http::internal
