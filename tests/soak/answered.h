#ifndef AZURESPINDLE_TESTS_SOAK_ANSWERED_H
#define AZURESPINDLE_TESTS_SOAK_ANSWERED_H

#include "exchange.h"
#include "soak_fleet.h"
#include "stop_record.h"

namespace azurespindle::soak {

/// Checks that a request which a process had in hand got a complete answer, whatever its status.
/// For plays without unplanned disturbance, but for plain upstreams that hang.
void checkAnswered(const SoakFleet &fleet, const StopRecord &stops, const Seen &seen,
                   Findings &findings);

} // namespace azurespindle::soak

#endif
