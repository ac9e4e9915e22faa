#include "decision/placement.h"

#include <algorithm>

namespace azurespindle::decision {
namespace {

constexpr double thousand = 1'000.0;

double cost(const Candidate &candidate, const PlacementWeights &weights)
{
    return weights.memory * candidate.peakFraction + weights.load * candidate.loadFraction
        + weights.prefill * candidate.uncachedTokens / thousand;
}

bool serves(const Candidate &candidate)
{
    return candidate.obstacle != Obstacle::NotServing
        && candidate.obstacle != Obstacle::FailedBefore;
}

} // namespace

PlacementPolicy expectedMemoryPlacement(const PlacementWeights &weights)
{
    return [weights](const std::vector<Candidate> &candidates,
              std::uint64_t turn) -> std::optional<std::size_t> {
        std::optional<std::size_t> best;
        double bestCost = 0.0;
        for (std::size_t step = 0; step < candidates.size(); ++step) {
            // Starting elsewhere each time spreads ties, as between engines that are all idle.
            const std::size_t index = (turn + step) % candidates.size();
            if (candidates[index].obstacle != Obstacle::None) {
                continue;
            }
            const double itsCost = cost(candidates[index], weights);
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
