#ifndef AZURESPINDLE_DECISION_PRIORITY_RESERVE_H
#define AZURESPINDLE_DECISION_PRIORITY_RESERVE_H

#include "base/time_types.h"
#include "decision/demand_report.h"
#include "decision/engine_choice.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace azurespindle::decision {

/// What requests that are more urgent than another one are about to need of the engines.
struct UrgentNeed
{
    double requests = 0.0; ///< Number that may need a place before earlier ones have left theirs.
    Tokens memory = 0;     ///< KV memory that each needs on average.
    Tokens prefill = 0;    ///< Prompt tokens that each has on average.
    milliseconds stay {0}; ///< Time that each stays on average; 0: unknown.
    bool operator==(const UrgentNeed &other) const = default;
};

/// Forecasts what more urgent requests for the same service are about to need: those that arrive
/// while the ones before them stay, and those that wait at other processes.
/// \param arrivals rates of the whole fleet.
/// \param waitingElsewhere what waits at other processes.
/// \return nothing if there is no such request.
std::optional<UrgentNeed> urgentNeed(const std::string &service, std::uint32_t priority,
                                     const std::vector<ArrivalRate> &arrivals,
                                     const std::vector<WaitingCount> &waitingElsewhere);

/// Returns true if a request may take the engine \a chosen: enough places for \a need are left at
/// all engines together, or it is so small and short in comparison that it makes no difference.
///
/// A place is memory, a slot and prefill time for one of the urgent requests at one engine: memory
/// that is free in parts at many engines is of no use to them.
/// \param stay time that the request is expected to stay; 0: unknown.
bool leavesRoomFor(const UrgentNeed &need, const std::vector<UpstreamCandidate> &candidates,
                   std::size_t chosen, const RequestDemand &demand, milliseconds stay,
                   const EngineCostWeights &weights = {});

} // namespace azurespindle::decision

#endif
