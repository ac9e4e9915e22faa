#include "decision/rollout_permits.h"

#include <algorithm>

namespace azurespindle::decision {
namespace {

constexpr double secondsPerMinute = 60.0;

bool wantsOrder(OrderPhase phase)
{
    return phase == OrderPhase::Waiting;
}

bool worksOnOrder(OrderPhase phase)
{
    return phase == OrderPhase::Draining || phase == OrderPhase::Ordered
        || phase == OrderPhase::Loading;
}

} // namespace

bool RolloutPermits::recent(const Standing &standing, Instant now)
{
    return now - standing.heardAt <= standingMemory;
}

bool RolloutPermits::holdsPermit(const Standing &standing, Instant now)
{
    return !standing.permitHolder.empty() && now < standing.permitExpires;
}

bool RolloutPermits::isAway(const Standing &standing, Instant now)
{
    const bool recovering
        = standing.loaded && !standing.last.warm && now - standing.loadedAt < recovery;
    const bool working = recent(standing, now) && worksOnOrder(standing.last.phase);
    return holdsPermit(standing, now) || working || recovering;
}

std::size_t RolloutPermits::unavailableCount(Instant now) const
{
    const auto counted = std::count_if(this->standings.begin(), this->standings.end(),
                                       [&](const auto &each) { return isAway(each.second, now); });
    return static_cast<std::size_t>(counted);
}

std::size_t RolloutPermits::reportingCount(Instant now) const
{
    const auto counted = std::count_if(this->standings.begin(), this->standings.end(),
                                       [&](const auto &each) { return recent(each.second, now); });
    return static_cast<std::size_t>(counted);
}

bool RolloutPermits::rolling(Instant now) const
{
    return std::any_of(this->standings.begin(), this->standings.end(), [&](const auto &each) {
        const OrderPhase phase = each.second.last.phase;
        return recent(each.second, now) && (wantsOrder(phase) || worksOnOrder(phase));
    });
}

void RolloutPermits::take(const PermitRequest &request, Instant now)
{
    Standing &standing = this->standings[request.upstream];
    const bool fresh = request.phase == OrderPhase::Settled && worksOnOrder(standing.last.phase);
    if (fresh) {
        standing.loaded = true;
        standing.loadedAt = now;
    }
    const bool holder = standing.permitHolder == request.requester;
    if (holder && !worksOnOrder(request.phase)) {
        standing.permitHolder.clear();
    }
    standing.last = request;
    standing.heardAt = now;
    this->highestRevision = std::max(this->highestRevision, request.revision);
}

void RolloutPermits::refill(const RolloutLimits &limits, Instant now)
{
    // Only the engines that are heard of count: two members that are responsible at once, in a
    // partition, together stay within the rate.
    const double share = static_cast<double>(this->reportingCount(now))
        / static_cast<double>(std::max<std::size_t>(limits.fleetEngines, 1));
    const double perSecond = limits.loadsPerMinute / secondsPerMinute * std::min(share, 1.0);
    this->loads = std::min(1.0, this->loads + perSecond * inSeconds(now - this->refilled));
    this->refilled = now;
}

std::string RolloutPermits::obstacle(const Standing &standing, const RolloutLimits &limits,
                                     Instant now) const
{
    if (standing.last.revision < this->highestRevision) {
        return "the configuration of its steward is old";
    }
    if (now < this->openFrom) {
        return "permits of a predecessor may still hold";
    }
    if (holdsPermit(standing, now)) {
        return "another steward has the permit";
    }
    std::size_t otherReady = 0;
    std::size_t otherWarm = 0;
    for (const auto &[name, other] : this->standings) {
        const bool counts = name != standing.last.upstream && recent(other, now) && other.last.ready
            && !isAway(other, now);
        otherReady += counts ? 1 : 0;
        otherWarm += counts && other.last.warm ? 1 : 0;
    }
    if (standing.last.ready && otherReady == 0) {
        return "it is the last copy that serves";
    }
    if (standing.last.warm && otherWarm == 0) {
        return "it is the last warm copy";
    }
    const double allowed = limits.maxLoadingShare * static_cast<double>(this->reportingCount(now));
    if (this->unavailableCount(now)
        >= std::max<std::size_t>(1, static_cast<std::size_t>(allowed))) {
        return "other engines of the pool are away or not warm again";
    }
    return this->loads < 1.0 ? "the weight store's rate" : "";
}

PermitAnswer RolloutPermits::handle(const PermitRequest &request, const RolloutLimits &limits,
                                    Instant now)
{
    PermitAnswer answer;
    answer.upstream = request.upstream;
    answer.revision = request.revision;
    const bool known = this->standings.count(request.upstream) > 0;
    if (!known && this->standings.size() >= maxEngines) {
        answer.reason = "too many engines";
        return answer;
    }
    this->refill(limits, now);
    this->take(request, now);
    answer.rolloutActive = this->rolling(now);
    Standing &standing = this->standings.at(request.upstream);
    const bool own = standing.permitHolder == request.requester && holdsPermit(standing, now);
    if (own && request.revision >= this->highestRevision) {
        standing.permitExpires = now + permitDuration + margin;
        answer.granted = true;
        answer.duration = permitDuration;
        return answer;
    }
    if (!wantsOrder(request.phase)) {
        return answer;
    }
    answer.reason = this->obstacle(standing, limits, now);
    if (answer.reason.empty()) {
        this->loads -= 1.0;
        standing.permitHolder = request.requester;
        standing.permitExpires = now + permitDuration + margin;
        answer.granted = true;
        answer.duration = permitDuration;
    }
    return answer;
}

} // namespace azurespindle::decision
