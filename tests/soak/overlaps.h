#ifndef AZURESPINDLE_TESTS_SOAK_OVERLAPS_H
#define AZURESPINDLE_TESTS_SOAK_OVERLAPS_H

#include "exchange.h"
#include "soak_fleet.h"

namespace azurespindle::soak {

/// Checks that no engine worked on a request for long after another one had begun to continue it.
/// For plays in which every engine can be reached.
void checkOverlaps(SoakFleet &fleet, const Seen &seen, Findings &findings);

} // namespace azurespindle::soak

#endif
