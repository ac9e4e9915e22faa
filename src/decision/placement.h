#ifndef AZURESPINDLE_DECISION_PLACEMENT_H
#define AZURESPINDLE_DECISION_PLACEMENT_H

#include "decision/upstream_table.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace azurespindle::decision {

/// Chooses the position of a candidate, or nothing if the request should wait.
/// \a turn counts the choices made so far; \a patient is true while the request may yet wait for
/// a better candidate than those that have room.
using PlacementPolicy = std::function<std::optional<std::size_t>(
    const std::vector<Candidate> &candidates, std::uint64_t turn, bool patient)>;

/// What one unit of each consideration costs, beside the others.
struct PlacementWeights
{
    double memory = 1.0;  ///< An engine whose memory is expected to be just full.
    double load = 1.2;    ///< An engine with as many attempts as it is ever given.
    double prefill = 1.0; ///< 1,000 prompt tokens to compute: each of its steps delays the others.
    /// A patient request waits for a full engine that would cost so much less.
    double waitingGain = 0.3;
};

/// Returns the policy that weighs memory at the time it will be needed, load and the prompt that is
/// still to be computed, and never chooses a candidate with an obstacle.
PlacementPolicy expectedMemoryPlacement(PlacementWeights weights = {});

/// Returns the baseline that takes serving upstreams in turn.
PlacementPolicy roundRobinPlacement();

/// Returns the baseline that takes the serving upstream with the fewest attempts.
PlacementPolicy leastOutstandingPlacement();

} // namespace azurespindle::decision

#endif
