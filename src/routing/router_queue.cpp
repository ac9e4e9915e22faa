// The queue of requests that wait for an upstream, and their rejection.

#include "routing/router.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace azurespindle::routing {
namespace {

constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
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
                     isEngine ? this->demandOf(active).memory : 0, constraintsOf(active), 0,
                     active.workspace, false});
    if (this->queue.find(active.id)->isBehind) {
        this->journal(active, journal::EventId::RequestBehindOthers,
                      {{"workspace", active.workspace}});
    }
}

void Router::dequeue(ActiveRequest &active)
{
    if (std::exchange(active.queued, false)) {
        this->queue.remove(active.id);
        active.heldBack = false;
    }
}

void Router::placeQueued()
{
    std::erase_if(this->demand.fullUntil,
                  [this](const auto &entry) { return entry.second <= this->now; });
    if (this->queue.size() == 0) {
        return;
    }
    this->updateDemandEstimate();
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
    for (const RequestId passedOver : pass.passedOver(active.serviceName)) {
        this->recordOvertake(passedOver, active);
    }
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
        this->recordOvertake(id, arrived);
    }
}

void Router::recordOvertake(RequestId overtaken, const ActiveRequest &by)
{
    const ActiveRequest &waiting = *this->findRequest(overtaken);
    if (this->canServe(waiting, by.upstream)) {
        this->queue.recordOvertake(overtaken);
        this->counters.requestsOvertaken += 1;
        this->journal(waiting, journal::EventId::RequestOvertaken,
                      {{"by", by.request->callerRequestId}, {"upstream", by.upstream.id}});
    }
}

microseconds Router::maxQueueTime(const ActiveRequest &active)
{
    return std::chrono::duration_cast<microseconds>(active.route->latencyObjective
                                                    * maxQueueTimeFraction);
}

void Router::rejectUnplaceable()
{
    this->rejectBeyondLimits();
    struct Rejection
    {
        RequestId id = 0;
        const char *reason = nullptr;
        milliseconds retryAfter {0};
    };
    // What waits ahead of a request is counted before the first one is rejected, so that those that
    // are rejected together are told different times, the first ones the earliest.
    std::vector<Rejection> rejections;
    for (const RequestId id : this->queue.ids()) {
        ActiveRequest &each = *this->findRequest(id);
        if (const char *reason = this->rejectionReason(each)) {
            rejections.push_back({id, reason, this->retryAfter(each)});
        }
    }
    for (const Rejection &rejection : rejections) {
        ActiveRequest &each = *this->findRequest(rejection.id);
        const bool mayHaveRun = !each.mayHaveRunOn.empty();
        this->sendReply(each,
                        {mayHaveRun ? statusBadGateway : statusUnavailable, rejection.retryAfter,
                         rejection.reason});
    }
}

const char *Router::rejectionReason(ActiveRequest &active)
{
    const bool inService = std::any_of(
        this->state->upstreams.begin(), this->state->upstreams.end(), [&](const auto &entry) {
            return entry.second.service == active.serviceName && !entry.second.draining;
        });
    if (!inService) {
        return "no upstream is in service";
    }
    const microseconds waited = this->now - active.queuedAt;
    if (waited >= maxQueueTime(active)) {
        return "no upstream had room in time";
    }
    return this->isHopeless(active, maxQueueTime(active) - waited)
        ? "no upstream will have room in time"
        : nullptr;
}

void Router::describeQueue(RouterStatus &status) const
{
    status.queuedRequests = this->queue.size();
    for (const decision::WaitingRequest &each : this->queue.inOrder()) {
        status.queuedByPriority[std::min(each.priority, decision::DemandReport::maxPriority)] += 1;
    }
    status.largestWorkspaceShare = this->demand.estimate.largestWorkspaceShare;
    status.waitForecastError = this->demand.capacity.meanError();
}

} // namespace azurespindle::routing
