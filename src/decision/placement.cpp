#include "decision/placement.h"

#include <algorithm>
#include <limits>

namespace azurespindle::decision {
namespace {

constexpr double tokensPerPrefillUnit = 1'000.0;

double cost(const Candidate &candidate, const PlacementWeights &weights)
{
    return weights.memory * candidate.peakFraction + weights.load * candidate.loadFraction
        + weights.prefill * candidate.uncachedTokens / tokensPerPrefillUnit;
}

bool isFull(const Candidate &candidate)
{
    return candidate.obstacle == Obstacle::NoSlot || candidate.obstacle == Obstacle::NoMemory;
}

bool serves(const Candidate &candidate)
{
    return candidate.obstacle != Obstacle::NotServing
        && candidate.obstacle != Obstacle::FailedBefore;
}

} // namespace

PlacementPolicy expectedMemoryPlacement(PlacementWeights weights)
{
    return [weights](const std::vector<Candidate> &candidates, std::uint64_t rotation,
                     bool mayWait) -> std::optional<std::size_t> {
        std::optional<std::size_t> best;
        double bestCost = std::numeric_limits<double>::max();
        double bestFullCost = std::numeric_limits<double>::max();
        for (std::size_t offset = 0; offset < candidates.size(); ++offset) {
            // The starting point rotates, so that ties, such as between idle engines, are spread.
            const std::size_t index = (rotation + offset) % candidates.size();
            const Candidate &candidate = candidates[index];
            const double candidateCost = cost(candidate, weights);
            if (isFull(candidate)) {
                bestFullCost = std::min(bestFullCost, candidateCost);
            } else if (candidate.obstacle == Obstacle::None && candidateCost < bestCost) {
                best = index;
                bestCost = candidateCost;
            }
        }
        // Waiting briefly for an engine that has most of the prompt cached is better than computing
        // the prompt again elsewhere, which delays all requests there, most of all when all engines
        // are full.
        const bool shouldWait = mayWait && bestFullCost + weights.minWaitingGain < bestCost;
        return shouldWait ? std::nullopt : best;
    };
}

PlacementPolicy roundRobinPlacement()
{
    return [](const std::vector<Candidate> &candidates, std::uint64_t rotation,
              bool) -> std::optional<std::size_t> {
        for (std::size_t offset = 0; offset < candidates.size(); ++offset) {
            const std::size_t index = (rotation + offset) % candidates.size();
            if (serves(candidates[index])) {
                return index;
            }
        }
        return std::nullopt;
    };
}

PlacementPolicy leastOutstandingPlacement()
{
    return [](const std::vector<Candidate> &candidates, std::uint64_t rotation,
              bool) -> std::optional<std::size_t> {
        std::optional<std::size_t> best;
        for (std::size_t offset = 0; offset < candidates.size(); ++offset) {
            const std::size_t index = (rotation + offset) % candidates.size();
            const bool hasFewer = !best
                || candidates[index].upstream->outstanding
                    < candidates[*best].upstream->outstanding;
            if (serves(candidates[index]) && hasFewer) {
                best = index;
            }
        }
        return best;
    };
}

} // namespace azurespindle::decision
