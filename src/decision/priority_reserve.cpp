#include "decision/priority_reserve.h"

#include <algorithm>
#include <cmath>

namespace azurespindle::decision {
namespace {

/// Longest time ahead for which places are kept. Later arrivals find those that ended meanwhile.
constexpr double maxHorizonSeconds = 1.0;
/// Standard deviations of the number of arrivals that are added to their mean.
constexpr double deviations = 2.0;
/// Expected arrivals in the horizon below which nothing is kept.
constexpr double minArrivals = 0.05;
/// Share of all places that may be kept.
constexpr double maxKeptShare = 0.25;
/// Prefill time that an urgent request may find ahead of it at an engine and still be in time.
constexpr double maxPrefillAheadMs = 600.0;
/// A request is let in regardless if its memory times its stay is at most this share of that of an
/// urgent one.
constexpr double negligibleShare = 0.25;

/// Returns the number of urgent requests that an engine has room for.
double placesAt(const UpstreamCandidate &engine, const ResourceClaim &claimed,
                const UrgentNeed &need, const EngineCostWeights &weights)
{
    const double limit
        = engine.claimsDelayed ? weights.delayedClaimsMemoryLimit : weights.memoryLimit;
    const double freeMemory = limit * engine.memoryCapacity - claimed.memory;
    const double freeSlots = static_cast<double>(engine.slots) - claimed.attempts;
    const double freePrefill = maxPrefillAheadMs * weights.promptTokensPerMs - claimed.prefill;
    const double places = std::min({freeMemory / std::max<Tokens>(need.memory, 1), freeSlots,
                                    freePrefill / std::max<Tokens>(need.prefill, 1)});
    return std::max(0.0, std::floor(places));
}

bool isNegligible(const RequestDemand &demand, milliseconds stay, const UrgentNeed &need)
{
    const double own = static_cast<double>(demand.memory) * static_cast<double>(stay.count());
    const double urgent = static_cast<double>(need.memory) * static_cast<double>(need.stay.count());
    return stay.count() > 0 && own <= negligibleShare * urgent;
}

} // namespace

std::optional<UrgentNeed> urgentNeed(const std::string &service, std::uint32_t priority,
                                     const std::vector<ArrivalRate> &arrivals,
                                     const std::vector<WaitingCount> &waitingElsewhere)
{
    ArrivalRate urgent;
    double expected = 0.0;
    for (const ArrivalRate &each : arrivals) {
        if (each.service != service || each.priority >= priority || each.perSecond <= 0.0) {
            continue;
        }
        const double sum = urgent.perSecond + each.perSecond;
        const auto mean = [&](double before, double added) {
            return (before * urgent.perSecond + added * each.perSecond) / sum;
        };
        urgent.memory = static_cast<Tokens>(mean(urgent.memory, each.memory));
        urgent.prefill = static_cast<Tokens>(mean(urgent.prefill, each.prefill));
        urgent.stay = milliseconds(std::llround(mean(static_cast<double>(urgent.stay.count()),
                                                     static_cast<double>(each.stay.count()))));
        urgent.perSecond = sum;
        const double stay = each.stay.count() > 0 ? inSeconds(each.stay) : maxHorizonSeconds;
        expected += each.perSecond * std::min(maxHorizonSeconds, stay);
    }
    double waiting = 0.0;
    for (const WaitingCount &each : waitingElsewhere) {
        if (each.service == service && each.priority < priority) {
            waiting += each.requests;
            urgent.memory = std::max(urgent.memory, each.memory);
        }
    }
    const double arriving
        = expected < minArrivals ? 0.0 : expected + deviations * std::sqrt(expected);
    if (arriving + waiting <= 0.0) {
        return std::nullopt;
    }
    return UrgentNeed {arriving + waiting, urgent.memory, urgent.prefill, urgent.stay};
}

bool leavesRoomFor(const UrgentNeed &need, const std::vector<UpstreamCandidate> &candidates,
                   std::size_t chosen, const RequestDemand &demand, milliseconds stay,
                   const EngineCostWeights &weights)
{
    if (isNegligible(demand, stay, need)) {
        return true;
    }
    double left = 0.0;
    double all = 0.0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const UpstreamCandidate &engine = candidates[index];
        ResourceClaim claimed = engine.claimed;
        if (index == chosen) {
            claimed += {1, demand.memory, demand.promptTokens};
        }
        left += placesAt(engine, claimed, need, weights);
        all += placesAt(engine, {}, need, weights);
    }
    return left >= std::min(need.requests, maxKeptShare * all);
}

} // namespace azurespindle::decision
