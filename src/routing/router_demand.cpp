// The demand of the whole fleet's callers, the capacity that becomes free for it, and the room that
// is left to more urgent requests.

#include "decision/priority_reserve.h"
#include "decision/workspace_shares.h"
#include "routing/internal/journal_text.h"
#include "routing/router.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace azurespindle::routing {
namespace {

constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;
constexpr milliseconds minRetryAfter {100};
constexpr milliseconds maxRetryAfter {1'500};
/// Part of the time left up to which callers honour a Retry-After.
constexpr int honouredFraction = 3;
/// Callers that are rejected together are spread over this part of their delay.
constexpr int spreadFraction = 4;
constexpr std::uint64_t spreadSteps = 16;
/// Time after which a plain upstream that had no slot is asked again; processes differ in it.
constexpr milliseconds minSlotDelay {10};
constexpr milliseconds slotDelayStep {2};
/// Time for which estimates of the fleet's demand and load are used.
constexpr milliseconds estimateLifetime {50};
constexpr milliseconds fleetLoadLifetime {100};

std::uint32_t reportedPriority(std::uint32_t priority)
{
    return std::min(priority, decision::DemandReport::maxPriority);
}

/// Returns the mean time that requests stay at their engines, as \a rates tell; 0: unknown.
milliseconds stayOf(const std::vector<decision::ArrivalRate> &rates, const std::string &service,
                    std::uint32_t priority)
{
    for (const decision::ArrivalRate &each : rates) {
        if (each.service == service && each.priority == priority) {
            return each.stay;
        }
    }
    return milliseconds(0);
}

} // namespace

decision::DemandReport Router::ownDemand(bool all, Instant at) const
{
    decision::DemandReport requests;
    for (const decision::WaitingRequest &request : this->queue.inOrder()) {
        const auto age = std::chrono::duration_cast<milliseconds>(at - request.arrivedAt);
        requests.waiting.push_back(
            {request.service, reportedPriority(request.priority), 1, request.memory,
             std::clamp(age, milliseconds(0), decision::DemandReport::maxDuration)});
    }
    decision::DemandReport own = decision::sumOf({requests});
    if (!all) {
        return own;
    }
    own.arrivals = this->demand.meter.rates(decision::DemandMeter::shortWindow, at);
    std::map<std::string, std::uint64_t> tokens;
    for (const auto &[id, each] : this->activeRequests) {
        if (each.running && each.claim.memory > 0) {
            tokens[each.workspace] += each.claim.memory;
        }
    }
    decision::DemandReport uses;
    for (const auto &[workspace, used] : tokens) {
        uses.workspaces.push_back({workspace, used});
    }
    own.workspaces = decision::sumOf({uses}).workspaces;
    return own;
}

decision::DemandReport Router::zoneDemand(Instant at) const
{
    return this->demand.fleet.ownAndPeers(this->ownDemand(true, at), at);
}

decision::DemandReport Router::fleetDemand(Instant at) const
{
    return this->demand.fleet.heard(this->ownDemand(true, at), at);
}

void Router::measureArrival(const ActiveRequest &active)
{
    if (active.service != nullptr && active.service->engine) {
        this->demand.meter.recordArrival(active.serviceName, reportedPriority(active.priority),
                                         this->demandOf(active).memory,
                                         active.request->promptTokens, this->now);
    }
}

void Router::measureEnd(const ActiveRequest &active)
{
    if (!active.headReceived || active.head.status != statusOk) {
        return;
    }
    const microseconds stay = this->now - active.attemptStartedAt;
    const bool isEngine = active.service != nullptr && active.service->engine;
    this->demand.capacity.recordEnd(active.serviceName, isEngine ? active.claim.memory : 1.0, stay);
    this->demand.meter.recordStay(active.serviceName, reportedPriority(active.priority), stay);
}

void Router::updateDemandEstimate()
{
    internal::DemandEstimate &estimate = this->demand.estimate;
    if (this->now - estimate.madeAt < estimateLifetime) {
        return;
    }
    estimate.madeAt = this->now;
    const decision::DemandReport own = this->ownDemand(true, this->now);
    decision::DemandReport fleet = this->demand.fleet.ofFleet(own, this->now);
    estimate.arrivals = std::move(fleet.arrivals);
    estimate.waitingElsewhere = this->demand.fleet.waitingElsewhere(own, this->now);
    if (this->processCount > 1 && !this->demand.fleet.knowsOthers(this->now)) {
        // Nothing is known of the others: their callers are assumed to send what this one's do.
        estimate.arrivals = this->demand.meter.rates(decision::DemandMeter::longWindow, this->now);
        for (decision::ArrivalRate &each : estimate.arrivals) {
            each.perSecond *= static_cast<double>(this->processCount);
        }
    }
    estimate.largestWorkspaceShare = decision::largestShare(fleet.workspaces);
    this->queue.setWorkspacesBehind(decision::workspacesOverShare(fleet.workspaces));
}

bool Router::isHeldBack(ActiveRequest &active,
                        const std::vector<decision::UpstreamCandidate> &candidates,
                        std::size_t chosen)
{
    const bool isEngine = active.service != nullptr && active.service->engine;
    const bool mayHaveRun = active.relaying || !active.mayHaveRunOn.empty();
    const std::uint32_t priority = reportedPriority(active.priority);
    if (!isEngine || mayHaveRun || priority == 0) {
        return false;
    }
    this->updateDemandEstimate();
    const auto need
        = decision::urgentNeed(active.serviceName, priority, this->demand.estimate.arrivals,
                               this->demand.estimate.waitingElsewhere);
    const milliseconds told = stayOf(this->demand.estimate.arrivals, active.serviceName, priority);
    const milliseconds stay
        = told.count() > 0 ? told : this->demand.meter.stayOf(active.serviceName, priority);
    if (!need || decision::leavesRoomFor(*need, candidates, chosen, this->demandOf(active), stay)) {
        return false;
    }
    if (!std::exchange(active.heldBack, true)) {
        this->counters.requestsHeldBack += 1;
        this->journal(active, journal::EventId::RequestHeldBack,
                      {{"upstream", candidates[chosen].upstream},
                       {"priority", std::to_string(priority)},
                       {"urgentRequests", std::to_string(std::llround(need->requests))},
                       {"urgentMemory", std::to_string(need->memory)}});
    }
    return true;
}

void Router::updateFleetLoad()
{
    internal::FleetLoad &load = this->demand.load;
    if (this->now - load.summedAt < fleetLoadLifetime) {
        return;
    }
    load.summedAt = this->now;
    load.inUse.clear();
    for (const auto &[id, record] : this->state->upstreams) {
        const Service *service = this->state->routeTable->service(record.service);
        const decision::ResourceClaim claim = this->loads.totalClaim(id);
        const bool isEngine = service != nullptr && service->engine;
        load.inUse[record.service] += isEngine ? claim.memory : claim.attempts;
    }
}

std::optional<decision::ExpectedWait> Router::expectedWait(const ActiveRequest &active)
{
    if (active.service == nullptr) {
        return std::nullopt;
    }
    this->updateDemandEstimate();
    this->updateFleetLoad();
    const bool isEngine = active.service->engine.has_value();
    const auto sizeOf = [&](Tokens memory) { return isEngine ? memory : 1.0; };
    decision::ServiceLoad load;
    load.inUse = this->demand.load.inUse[active.serviceName];
    load.own = sizeOf(isEngine ? this->demandOf(active).memory : 0);
    for (const decision::WaitingRequest &each : this->queue.inOrder()) {
        if (each.id == active.id) {
            break;
        }
        load.ahead += each.service == active.serviceName ? sizeOf(each.memory) : 0.0;
    }
    const std::uint32_t priority = reportedPriority(active.priority);
    const microseconds waited = this->now - active.arrivedAt;
    for (const decision::WaitingCount &each : this->demand.estimate.waitingElsewhere) {
        const bool isAhead = each.priority < priority
            || (each.priority == priority && microseconds(each.oldest) > waited);
        if (each.service == active.serviceName && isAhead) {
            load.ahead += each.requests * sizeOf(each.memory);
        }
    }
    for (const decision::ArrivalRate &each : this->demand.estimate.arrivals) {
        if (each.service == active.serviceName && each.priority < priority) {
            load.arriving += each.perSecond * sizeOf(each.memory);
        }
    }
    return this->demand.capacity.expectedWait(active.serviceName, load);
}

bool Router::isHopeless(ActiveRequest &active, microseconds left)
{
    if (active.relaying || !active.mayHaveRunOn.empty()) {
        return false; // Its caller could not send it again.
    }
    // Each forecast goes through the whole queue: it is made when a request has been queued, and
    // again when the load of the fleet is summed up.
    const microseconds age = this->now - this->demand.load.summedAt;
    const bool isDue = !active.expectedStart || age == microseconds(0) || age >= fleetLoadLifetime;
    const bool hasForecast
        = this->demand.capacity.expectedWait(active.serviceName, {1.0, 0.0, 1.0, 0.0}).has_value();
    if (!isDue || !hasForecast) {
        return false;
    }
    const auto wait = this->expectedWait(active);
    if (!wait) {
        return false;
    }
    if (!active.expectedStart) {
        active.expectedStart = this->now + wait->expected;
    }
    const bool knowsFleet = this->processCount <= 1 || this->demand.fleet.knowsOthers(this->now);
    if (!knowsFleet || wait->atLeast <= left) {
        return false;
    }
    this->counters.requestsHopeless += 1;
    this->journal(active, journal::EventId::RequestHopeless,
                  {{"expectedMs", std::to_string(wait->expected.count() / 1'000)},
                   {"atLeastMs", std::to_string(wait->atLeast.count() / 1'000)},
                   {"leftMs", std::to_string(left.count() / 1'000)}});
    return true;
}

bool Router::noteFull(const ActiveRequest &active, AttemptEnd end)
{
    const bool isEngine = active.service != nullptr && active.service->engine;
    const bool isRefusal = end == AttemptEnd::Complete && active.head.notRun
        && active.head.status == statusUnavailable && !active.head.wrongInstance;
    // The claim of this attempt has been released already. Claims of others are up to 200 ms late:
    // of a full upstream they may show as little as half.
    const std::uint32_t claimed = this->loads.totalClaim(active.upstream.id).attempts + 1;
    if (isEngine || !isRefusal || 2 * std::uint64_t(claimed) < active.upstream.slots) {
        return false;
    }
    const auto spread = static_cast<std::int64_t>(this->nextTieBreaker() % spreadSteps);
    this->demand.fullUntil[active.upstream.id] = this->now + minSlotDelay + spread * slotDelayStep;
    this->counters.refusedForSlots += 1;
    this->journal(active, journal::EventId::RequestWithoutSlot,
                  {{"upstream", active.upstream.id}, {"claimed", std::to_string(claimed)}});
    return true;
}

bool Router::lacksSlots(const std::string &upstream) const
{
    const auto found = this->demand.fullUntil.find(upstream);
    return found != this->demand.fullUntil.end() && found->second > this->now;
}

milliseconds Router::retryAfter(const ActiveRequest &active)
{
    const auto left = std::chrono::duration_cast<milliseconds>(active.deadline - this->now);
    const auto wait = this->expectedWait(active);
    if (!wait) {
        // Capacity becomes available only as running generations end, so the delay grows with the
        // remaining time. The spread keeps callers that were rejected together from retrying
        // together.
        const auto spread = milliseconds(static_cast<std::int64_t>(active.id * 37 % 200));
        return std::clamp(left / 4, minRetryAfter, maxRetryAfter) + spread;
    }
    const auto expected = std::chrono::ceil<milliseconds>(wait->expected);
    const milliseconds delay = std::max(expected, std::min(maxRetryAfter, left / 4) / 2);
    const milliseconds spread = delay / spreadFraction
        * static_cast<std::int64_t>(active.id % spreadSteps) / static_cast<int>(spreadSteps);
    return std::max(minRetryAfter, std::min(delay + spread, left / honouredFraction));
}

} // namespace azurespindle::routing
