#include "decision/rollout_permits.h"

#include <algorithm>

namespace azurespindle::decision {
namespace {

constexpr double secondsPerMinute = 60.0;

bool needsOrder(OrderPhase phase)
{
    return phase == OrderPhase::Waiting;
}

bool isOrderInProgress(OrderPhase phase)
{
    return phase == OrderPhase::Draining || phase == OrderPhase::Ordered
        || phase == OrderPhase::Loading;
}

} // namespace

bool RolloutPermits::isRecent(const EngineState &engine, Instant now)
{
    return now - engine.lastHeard <= statusTimeout;
}

bool RolloutPermits::holdsPermit(const EngineState &engine, Instant now)
{
    return !engine.permitHolder.empty() && now < engine.permitExpires;
}

bool RolloutPermits::isUnavailable(const EngineState &engine, Instant now)
{
    const bool recovering
        = engine.loaded && !engine.lastRequest.warm && now - engine.loadedAt < warmUpDuration;
    const bool inProgress = isRecent(engine, now) && isOrderInProgress(engine.lastRequest.phase);
    return holdsPermit(engine, now) || inProgress || recovering;
}

std::size_t RolloutPermits::unavailableCount(Instant now) const
{
    const auto counted
        = std::count_if(this->engineStates.begin(), this->engineStates.end(),
                        [&](const auto &each) { return isUnavailable(each.second, now); });
    return static_cast<std::size_t>(counted);
}

std::size_t RolloutPermits::reportingCount(Instant now) const
{
    const auto counted
        = std::count_if(this->engineStates.begin(), this->engineStates.end(),
                        [&](const auto &each) { return isRecent(each.second, now); });
    return static_cast<std::size_t>(counted);
}

bool RolloutPermits::isRolloutActive(Instant now) const
{
    return std::any_of(this->engineStates.begin(), this->engineStates.end(), [&](const auto &each) {
        const OrderPhase phase = each.second.lastRequest.phase;
        return isRecent(each.second, now) && (needsOrder(phase) || isOrderInProgress(phase));
    });
}

void RolloutPermits::recordRequest(const PermitRequest &request, Instant now)
{
    EngineState &engine = this->engineStates[request.upstream];
    const bool finished
        = request.phase == OrderPhase::Settled && isOrderInProgress(engine.lastRequest.phase);
    if (finished) {
        engine.loaded = true;
        engine.loadedAt = now;
    }
    const bool holder = engine.permitHolder == request.requester;
    if (holder && !isOrderInProgress(request.phase)) {
        engine.permitHolder.clear();
    }
    engine.lastRequest = request;
    engine.lastHeard = now;
    this->highestRevision = std::max(this->highestRevision, request.revision);
}

void RolloutPermits::refillAvailableLoads(const RolloutLimits &limits, Instant now)
{
    // The rate is divided by the engines that report here, so that two members that grant permits
    // at the same time, on both sides of a partition, stay within it together.
    const double share = static_cast<double>(this->reportingCount(now))
        / static_cast<double>(std::max<std::size_t>(limits.fleetEngines, 1));
    const double perSecond = limits.loadsPerMinute / secondsPerMinute * std::min(share, 1.0);
    this->availableLoads
        = std::min(1.0, this->availableLoads + perSecond * inSeconds(now - this->lastRefill));
    this->lastRefill = now;
}

std::string RolloutPermits::denialReason(const EngineState &engine, const RolloutLimits &limits,
                                         Instant now) const
{
    if (engine.lastRequest.revision < this->highestRevision) {
        return "the configuration of its steward is old";
    }
    if (now < this->grantsFrom) {
        return "permits of a predecessor may still hold";
    }
    if (holdsPermit(engine, now)) {
        return "another steward has the permit";
    }
    std::size_t otherReady = 0;
    std::size_t otherWarm = 0;
    for (const auto &[name, other] : this->engineStates) {
        const bool available = name != engine.lastRequest.upstream && isRecent(other, now)
            && other.lastRequest.ready && !isUnavailable(other, now);
        otherReady += available ? 1 : 0;
        otherWarm += available && other.lastRequest.warm ? 1 : 0;
    }
    if (engine.lastRequest.ready && otherReady == 0) {
        return "it is the last copy that serves";
    }
    if (engine.lastRequest.warm && otherWarm == 0) {
        return "it is the last warm copy";
    }
    const double maxUnavailable
        = limits.maxLoadingShare * static_cast<double>(this->reportingCount(now));
    if (this->unavailableCount(now)
        >= std::max<std::size_t>(1, static_cast<std::size_t>(maxUnavailable))) {
        return "other engines of the pool are away or not warm again";
    }
    return this->availableLoads < 1.0 ? "the weight store's rate" : "";
}

PermitAnswer RolloutPermits::handle(const PermitRequest &request, const RolloutLimits &limits,
                                    Instant now)
{
    PermitAnswer answer;
    answer.upstream = request.upstream;
    answer.revision = request.revision;
    const bool known = this->engineStates.count(request.upstream) > 0;
    if (!known && this->engineStates.size() >= maxEngines) {
        answer.reason = "too many engines";
        return answer;
    }
    this->refillAvailableLoads(limits, now);
    this->recordRequest(request, now);
    answer.rolloutActive = this->isRolloutActive(now);
    EngineState &engine = this->engineStates.at(request.upstream);
    const bool own = engine.permitHolder == request.requester && holdsPermit(engine, now);
    if (own && request.revision >= this->highestRevision) {
        engine.permitExpires = now + permitDuration + margin;
        answer.granted = true;
        answer.duration = permitDuration;
        return answer;
    }
    if (!needsOrder(request.phase)) {
        return answer;
    }
    answer.reason = this->denialReason(engine, limits, now);
    if (answer.reason.empty()) {
        this->availableLoads -= 1.0;
        engine.permitHolder = request.requester;
        engine.permitExpires = now + permitDuration + margin;
        answer.granted = true;
        answer.duration = permitDuration;
    }
    return answer;
}

} // namespace azurespindle::decision
