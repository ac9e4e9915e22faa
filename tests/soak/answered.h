#ifndef AZURESPINDLE_TESTS_SOAK_ANSWERED_H
#define AZURESPINDLE_TESTS_SOAK_ANSWERED_H

#include "planned_work.h"
#include "soak_caller.h"

namespace azurespindle::soak {

/// Checks that a request which a process had in hand got a complete answer, whatever its status.
/// For plays without unplanned disturbance, but for plain upstreams as \a work says.
void checkAnswered(const SoakFleet &fleet, const PlannedWork &work, const Seen &seen,
                   Findings &findings);

} // namespace azurespindle::soak

#endif
