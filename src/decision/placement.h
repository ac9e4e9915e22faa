#ifndef AZURESPINDLE_DECISION_PLACEMENT_H
#define AZURESPINDLE_DECISION_PLACEMENT_H

#include "decision/upstream_table.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace azurespindle::decision {

/// Chooses one of the candidates for a request. \a rotation is the number of placements so far, and
/// \a mayWait tells whether the request may stay queued although a candidate could take it.
/// \return the candidate's index, or nothing if the request should stay queued.
using PlacementPolicy = std::function<std::optional<std::size_t>(
    const std::vector<Candidate> &candidates, std::uint64_t rotation, bool mayWait)>;

/// Weights of the terms of a candidate's cost.
struct PlacementWeights
{
    double memory = 1.0; ///< Cost of an engine whose memory is expected to fill up.
    double load = 1.2;   ///< Cost of an engine at its maximum concurrency.
    /// Cost of computing 1,000 prompt tokens: each step of it delays the other requests there.
    double prefill = 1.0;
    /// A request that may wait does so if a full engine's cost is lower by at least this amount.
    double minWaitingGain = 0.3;
};

/// Returns the policy that minimizes the weighted cost of expected peak memory, load and uncached
/// prompt tokens. It never chooses a candidate with an obstacle.
PlacementPolicy expectedMemoryPlacement(PlacementWeights weights = {});

/// Returns the baseline policy that uses the serving upstreams in turn.
PlacementPolicy roundRobinPlacement();

/// Returns the baseline policy that uses the serving upstream with the fewest outstanding attempts.
PlacementPolicy leastOutstandingPlacement();

} // namespace azurespindle::decision

#endif
