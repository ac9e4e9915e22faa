// The queue of requests that wait for an upstream, and their rejection.

#include "routing/router.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace azurespindle::routing {
namespace {

constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr milliseconds minRetryAfter {100};
constexpr milliseconds maxRetryAfter {1'500};
/// Fraction of the latency objective for which a request may be queued.
constexpr double maxQueueTimeFraction = 0.6;

void append(std::string &text, const std::vector<std::string> &names)
{
    for (const std::string &name : names) {
        text += name + ',';
    }
    text += ';';
}

} // namespace

std::uint64_t Router::constraintsOf(const ActiveRequest &active)
{
    std::string text;
    append(text, active.route->regions);
    append(text, active.workspaceRegions);
    append(text, active.excluded);
    append(text, active.mayHaveRunOn);
    return XXH3_64bits(text.data(), text.size());
}

void Router::enqueue(ActiveRequest &active)
{
    active.queued = true;
    active.queuedAt = this->now;
    const bool isEngine = active.service != nullptr && active.service->engine;
    this->queue.add({active.id, active.serviceName, active.priority, active.arrivedAt,
                     isEngine ? this->demandOf(active).memory : 0, constraintsOf(active), 0});
}

void Router::dequeue(ActiveRequest &active)
{
    if (std::exchange(active.queued, false)) {
        this->queue.remove(active.id);
    }
}

void Router::placeQueued()
{
    decision::QueuePass pass(this->queue);
    const std::vector<decision::WaitingRequest> waiting = this->queue.inOrder();
    for (const decision::WaitingRequest &each : waiting) {
        this->advanceQueued(each, pass);
    }
}

void Router::advanceQueued(const decision::WaitingRequest &waiting, decision::QueuePass &pass)
{
    ActiveRequest *found = this->findRequest(waiting.id);
    if (found == nullptr || !found->queued) {
        return;
    }
    ActiveRequest &active = *found;
    // One that may have run is retried here, as its caller may not be able to send it again.
    if (this->outlastsStop(active) && !active.relaying && active.mayHaveRunOn.empty()) {
        this->sendReply(active, this->stoppingReply(active));
        return;
    }
    if (!pass.mayTry(waiting) || this->rejectIfCrashing(active)) {
        return;
    }
    if (!this->tryPlace(active)) {
        pass.recordMiss(waiting);
        return;
    }
    pass.recordPlacement(active.serviceName, [&](RequestId passedOver) {
        return this->canServe(*this->findRequest(passedOver), active.upstream);
    });
}

void Router::placeArrived(ActiveRequest &arrived)
{
    // An arrival frees nothing for those that wait, and each try considers all upstreams.
    if (this->queue.mustWaitBehindOthers(arrived.id)) {
        return;
    }
    const std::vector<RequestId> passedOver = this->queue.idsBefore(arrived.id);
    if (!this->tryPlace(arrived)) {
        return;
    }
    for (const RequestId id : passedOver) {
        if (this->canServe(*this->findRequest(id), arrived.upstream)) {
            this->queue.recordOvertake(id);
        }
    }
}

milliseconds Router::retryAfter(const ActiveRequest &active) const
{
    // Capacity becomes available only as running generations end, so the delay grows with the
    // remaining time. The spread keeps callers that were rejected together from retrying together.
    const auto left = std::chrono::duration_cast<milliseconds>(active.deadline - this->now);
    const milliseconds quarter = left / 4;
    const auto spread = milliseconds(static_cast<std::int64_t>(active.id * 37 % 200));
    const milliseconds delay = std::min(maxRetryAfter, std::max(minRetryAfter, quarter));
    return delay + spread;
}

microseconds Router::maxQueueTime(const ActiveRequest &active)
{
    return std::chrono::duration_cast<microseconds>(active.route->latencyObjective
                                                    * maxQueueTimeFraction);
}

void Router::rejectUnplaceable()
{
    this->rejectBeyondLimits();
    for (const RequestId id : this->queue.ids()) {
        ActiveRequest *each = this->findRequest(id);
        const bool inService = std::any_of(
            this->state->upstreams.begin(), this->state->upstreams.end(), [&](const auto &entry) {
                return entry.second.service == each->serviceName && !entry.second.draining;
            });
        if (inService && this->now - each->queuedAt < maxQueueTime(*each)) {
            continue;
        }
        const char *reason
            = inService ? "no upstream had room in time" : "no upstream is in service";
        const bool mayHaveRun = !each->mayHaveRunOn.empty();
        this->sendReply(
            *each,
            {mayHaveRun ? statusBadGateway : statusUnavailable, this->retryAfter(*each), reason});
    }
}

} // namespace azurespindle::routing
