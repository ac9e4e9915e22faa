#include "decision/engine_choice.h"

#include <algorithm>

namespace azurespindle::decision {
namespace {

/// Load of a plain upstream, in its slots, that is as bad as being in another zone, or troubled.
constexpr double plainOtherZone = 0.34;
constexpr double plainTroubled = 2.0;

double memoryPart(const UpstreamCandidate &candidate, const RequestDemand &need)
{
    return static_cast<double>(candidate.claimed.memory + need.memory)
        / static_cast<double>(std::max<Tokens>(candidate.memoryCapacity, 1));
}

/// Returns a number from 0 to 1 that differs from engine to engine and from turn to turn.
double spread(std::size_t index, std::uint64_t turn)
{
    constexpr std::uint64_t mixer = 0xBF58476D1CE4E5B9ULL;
    constexpr unsigned topBits = 40;
    constexpr double scale = 1.0 / 16'777'216.0; // From 24 bits.
    std::uint64_t mixed = (turn + index * 0x9E3779B97F4A7C15ULL) * mixer;
    mixed = (mixed ^ (mixed >> 31U)) * mixer;
    return static_cast<double>(mixed >> topBits) * scale;
}

double engineCost(const UpstreamCandidate &candidate, const RequestDemand &need,
                  const EngineCostWeights &weights)
{
    const Tokens cached = std::min(candidate.cachedTokens, need.promptTokens);
    const Tokens toRead = need.migrating ? 0 : need.promptTokens - cached;
    const double full = memoryPart(candidate, need);
    double cost
        = static_cast<double>(candidate.claimed.prefill + toRead) / weights.promptTokensPerMs;
    cost += weights.attemptMs * candidate.claimed.attempts;
    cost += weights.memoryMs * full * full;
    const double farMs = need.migrating ? weights.otherZoneMigrationMs : weights.otherZoneMs;
    cost += candidate.sameZone ? 0.0 : farMs;
    cost += candidate.recentlyFailing ? weights.recentFailureMs : 0.0;
    cost += candidate.claimsDelayed ? weights.delayedClaimsMs : 0.0;
    return cost;
}

bool hasRoom(const UpstreamCandidate &candidate, const RequestDemand &need,
             const EngineCostWeights &weights)
{
    return candidate.claimed.attempts < candidate.slots
        && memoryPart(candidate, need)
        <= (candidate.claimsDelayed ? weights.delayedClaimsMemoryLimit : weights.memoryLimit);
}

/// Returns the position of the lowest cost, beginning the search at \a turn.
template<typename Cost>
std::optional<std::size_t> cheapest(std::size_t count, std::uint64_t turn, const Cost &cost)
{
    std::optional<std::size_t> best;
    double bestCost = 0.0;
    for (std::size_t step = 0; step < count; ++step) {
        const std::size_t index = (step + turn) % count;
        const std::optional<double> each = cost(index);
        if (each && (!best || *each < bestCost)) {
            best = index;
            bestCost = *each;
        }
    }
    return best;
}

} // namespace

std::optional<std::size_t> chooseEngine(const std::vector<UpstreamCandidate> &candidates,
                                        const RequestDemand &need, std::uint64_t turn,
                                        const EngineCostWeights &weights)
{
    return cheapest(candidates.size(), turn, [&](std::size_t index) -> std::optional<double> {
        if (!hasRoom(candidates[index], need, weights)) {
            return std::nullopt;
        }
        const double delayedClaimsMs
            = candidates[index].claimsDelayed ? weights.delayedClaimsSpreadMs : 0.0;
        const double spreadMs = std::max(
            delayedClaimsMs, need.concurrentDecisions ? weights.concurrentSpreadMs : 0.0);
        return engineCost(candidates[index], need, weights) + spreadMs * spread(index, turn);
    });
}

std::optional<std::size_t> choosePlain(const std::vector<UpstreamCandidate> &candidates,
                                       std::uint64_t turn)
{
    return cheapest(candidates.size(), turn, [&](std::size_t index) -> std::optional<double> {
        const UpstreamCandidate &each = candidates[index];
        double cost = static_cast<double>(each.claimed.attempts)
            / static_cast<double>(std::max<std::uint32_t>(each.slots, 1));
        cost += each.sameZone ? 0.0 : plainOtherZone;
        cost += each.recentlyFailing ? plainTroubled : 0.0;
        return cost;
    });
}

} // namespace azurespindle::decision
