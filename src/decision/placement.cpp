#include "decision/placement.h"

#include <algorithm>

namespace azurespindle::decision {
namespace {

/// Weight of the share of slots in use, beside a weight of 1 for memory.
constexpr double loadWeight = 0.6;
/// Gain of a wholly cached prompt. Small enough that affinity never fills one engine's memory
/// while another's is empty.
constexpr double prefixGain = 0.25;

double cost(const Candidate &candidate)
{
    return candidate.peakFraction + loadWeight * candidate.loadFraction
        - prefixGain * candidate.cachedFraction;
}

bool serves(const Candidate &candidate)
{
    return candidate.obstacle != Obstacle::NotServing
        && candidate.obstacle != Obstacle::FailedBefore;
}

} // namespace

PlacementPolicy expectedMemoryPlacement()
{
    return [](const std::vector<Candidate> &candidates,
              std::uint64_t turn) -> std::optional<std::size_t> {
        std::optional<std::size_t> best;
        double bestCost = 0.0;
        for (std::size_t step = 0; step < candidates.size(); ++step) {
            // Starting elsewhere each time spreads ties, as between engines that are all idle.
            const std::size_t index = (turn + step) % candidates.size();
            if (candidates[index].obstacle != Obstacle::None) {
                continue;
            }
            const double itsCost = cost(candidates[index]);
            if (!best || itsCost < bestCost) {
                best = index;
                bestCost = itsCost;
            }
        }
        return best;
    };
}

PlacementPolicy roundRobinPlacement()
{
    return [](const std::vector<Candidate> &candidates,
              std::uint64_t turn) -> std::optional<std::size_t> {
        for (std::size_t step = 0; step < candidates.size(); ++step) {
            const std::size_t index = (turn + step) % candidates.size();
            if (serves(candidates[index])) {
                return index;
            }
        }
        return std::nullopt;
    };
}

PlacementPolicy leastOutstandingPlacement()
{
    return [](const std::vector<Candidate> &candidates,
              std::uint64_t turn) -> std::optional<std::size_t> {
        std::optional<std::size_t> best;
        for (std::size_t step = 0; step < candidates.size(); ++step) {
            const std::size_t index = (turn + step) % candidates.size();
            const bool fewer = !best
                || candidates[index].upstream->outstanding
                    < candidates[*best].upstream->outstanding;
            if (serves(candidates[index]) && fewer) {
                best = index;
            }
        }
        return best;
    };
}

} // namespace azurespindle::decision
