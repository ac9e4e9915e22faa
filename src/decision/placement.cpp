#include "decision/placement.h"

#include <algorithm>
#include <limits>

namespace azurespindle::decision {
namespace {

constexpr double thousand = 1'000.0;

double cost(const Candidate &candidate, const PlacementWeights &weights)
{
    return weights.memory * candidate.peakFraction + weights.load * candidate.loadFraction
        + weights.prefill * candidate.uncachedTokens / thousand;
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
    return [weights](const std::vector<Candidate> &candidates, std::uint64_t turn,
                     bool patient) -> std::optional<std::size_t> {
        std::optional<std::size_t> best;
        double bestCost = std::numeric_limits<double>::max();
        double bestFullCost = std::numeric_limits<double>::max();
        for (std::size_t step = 0; step < candidates.size(); ++step) {
            // Starting elsewhere each time spreads ties, as between engines that are all idle.
            const std::size_t index = (turn + step) % candidates.size();
            const Candidate &candidate = candidates[index];
            const double itsCost = cost(candidate, weights);
            if (isFull(candidate)) {
                bestFullCost = std::min(bestFullCost, itsCost);
            } else if (candidate.obstacle == Obstacle::None && itsCost < bestCost) {
                best = index;
                bestCost = itsCost;
            }
        }
        // An engine that has most of the prompt cached is worth a short wait: computing it again
        // elsewhere costs everybody there, and most of all when all engines are full.
        const bool worthWaiting = patient && bestFullCost + weights.waitingGain < bestCost;
        return worthWaiting ? std::nullopt : best;
    };
}

PlacementPolicy roundRobinPlacement()
{
    return [](const std::vector<Candidate> &candidates, std::uint64_t turn,
              bool) -> std::optional<std::size_t> {
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
    return [](const std::vector<Candidate> &candidates, std::uint64_t turn,
              bool) -> std::optional<std::size_t> {
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
