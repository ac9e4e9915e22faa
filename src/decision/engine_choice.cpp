#include "decision/engine_choice.h"

#include <algorithm>

namespace azurespindle::decision {
namespace {

/// Costs of a plain upstream for another zone and for recent failures, in the unit of its load:
/// attempts per slot.
constexpr double plainOtherZoneCost = 0.34;
constexpr double plainRecentFailureCost = 2.0;

double memoryUse(const UpstreamCandidate &candidate, const RequestDemand &demand)
{
    return static_cast<double>(candidate.claimed.memory + demand.memory)
        / static_cast<double>(std::max<Tokens>(candidate.memoryCapacity, 1));
}

/// Returns a pseudo-random number from 0 to 1 for an engine and a turn.
double pseudoRandom(std::size_t index, std::uint64_t turn)
{
    constexpr std::uint64_t mixer = 0xBF58476D1CE4E5B9ULL;
    constexpr unsigned topBits = 40;
    constexpr double scale = 1.0 / 16'777'216.0; // 2^-24, for the remaining 24 bits.
    std::uint64_t mixed = (turn + index * 0x9E3779B97F4A7C15ULL) * mixer;
    mixed = (mixed ^ (mixed >> 31U)) * mixer;
    return static_cast<double>(mixed >> topBits) * scale;
}

/// Returns the part of a stream's pause at an engine of a relative speed that is beyond the
/// objective, in ms, if each step reads a chunk of a prompt in a slow period.
double pauseExcess(const UpstreamCandidate &candidate, const RequestDemand &demand, double speed,
                   const EngineCostWeights &weights)
{
    const double stepMs = weights.stepMs + weights.promptChunkMs
        + weights.attemptStepMs * (candidate.claimed.attempts + 1);
    const double pauseMs = stepMs * demand.tokensPerEvent * weights.slowPeriodFactor / speed;
    return std::max(0.0, pauseMs - static_cast<double>(demand.eventGapObjective.count()));
}

/// Returns the cost of the pauses that a slow engine adds to those at the usual speed: in the
/// request's own stream, and, because of its prompt, in the streams that run there.
double pauseCost(const UpstreamCandidate &candidate, const RequestDemand &demand, Tokens toRead,
                 const EngineCostWeights &weights)
{
    if (demand.eventGapObjective.count() == 0 || candidate.speed >= 1.0) {
        return 0.0;
    }
    const double added = pauseExcess(candidate, demand, candidate.speed, weights)
        - pauseExcess(candidate, demand, 1.0, weights);
    const double streams = 1.0 + (toRead > 0 ? candidate.claimed.attempts : 0);
    return weights.pauseExcess * streams * added;
}

double engineCost(const UpstreamCandidate &candidate, const RequestDemand &demand,
                  const EngineCostWeights &weights)
{
    const Tokens cached = std::min(candidate.cachedTokens, demand.promptTokens);
    const Tokens toRead = demand.migrating ? 0 : demand.promptTokens - cached;
    const double memoryUsed = memoryUse(candidate, demand);
    double cost
        = static_cast<double>(candidate.claimed.prefill + toRead) / weights.promptTokensPerMs;
    cost += weights.attemptMs * candidate.claimed.attempts;
    cost /= candidate.speed;
    cost += pauseCost(candidate, demand, toRead, weights);
    cost += weights.memoryMs * memoryUsed * memoryUsed;
    const double zoneMs = demand.migrating ? weights.otherZoneMigrationMs : weights.otherZoneMs;
    cost += candidate.sameZone ? 0.0 : zoneMs;
    cost += candidate.recentlyFailing ? weights.recentFailureMs : 0.0;
    cost += candidate.claimsDelayed ? weights.delayedClaimsMs : 0.0;
    return cost;
}

bool hasCapacity(const UpstreamCandidate &candidate, const RequestDemand &demand,
                 const EngineCostWeights &weights)
{
    return candidate.claimed.attempts < candidate.slots
        && memoryUse(candidate, demand)
        <= (candidate.claimsDelayed ? weights.delayedClaimsMemoryLimit : weights.memoryLimit);
}

/// Returns the index of the lowest cost. The search begins at \a turn, which decides among equals.
template<typename Cost>
std::optional<std::size_t> cheapest(std::size_t count, std::uint64_t turn, const Cost &cost)
{
    std::optional<std::size_t> best;
    double bestCost = 0.0;
    for (std::size_t step = 0; step < count; ++step) {
        const std::size_t index = (step + turn) % count;
        const std::optional<double> candidateCost = cost(index);
        if (candidateCost && (!best || *candidateCost < bestCost)) {
            best = index;
            bestCost = *candidateCost;
        }
    }
    return best;
}

} // namespace

std::optional<std::size_t> chooseEngine(const std::vector<UpstreamCandidate> &candidates,
                                        const RequestDemand &demand, std::uint64_t turn,
                                        const EngineCostWeights &weights)
{
    return cheapest(candidates.size(), turn, [&](std::size_t index) -> std::optional<double> {
        if (!hasCapacity(candidates[index], demand, weights)) {
            return std::nullopt;
        }
        const double delayedSpreadMs
            = candidates[index].claimsDelayed ? weights.delayedClaimsSpreadMs : 0.0;
        const double spreadMs = std::max(
            delayedSpreadMs, demand.concurrentDecisions ? weights.concurrentSpreadMs : 0.0);
        return engineCost(candidates[index], demand, weights)
            + spreadMs * pseudoRandom(index, turn);
    });
}

std::optional<std::size_t> choosePlainUpstream(const std::vector<UpstreamCandidate> &candidates,
                                               std::uint64_t turn)
{
    return cheapest(candidates.size(), turn, [&](std::size_t index) -> std::optional<double> {
        const UpstreamCandidate &candidate = candidates[index];
        const auto slots = static_cast<double>(std::max<std::uint32_t>(candidate.slots, 1));
        double cost = static_cast<double>(candidate.claimed.attempts) / slots;
        cost += (candidate.claimed.attempts + 1) / slots * (1.0 / candidate.speed - 1.0);
        cost += candidate.sameZone ? 0.0 : plainOtherZoneCost;
        cost += candidate.recentlyFailing ? plainRecentFailureCost : 0.0;
        return cost;
    });
}

} // namespace azurespindle::decision
