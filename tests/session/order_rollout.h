#ifndef AZURESPINDLE_TESTS_SESSION_ORDER_ROLLOUT_H
#define AZURESPINDLE_TESTS_SESSION_ORDER_ROLLOUT_H

#include "json/object_reader.h"

#include <string>

namespace azurespindle::tests {

/// Replays a recorded rollout: stewards and the member that gives out permits, before fake engines
/// that load, drain, die and honour fencing numbers or not, in virtual time.
///
/// Lines with "event" are kept, lines with "effect" made anew. Steps between events last half a
/// second, the time between two ticks of the server.
std::string replayRollout(const std::string &recorded, json::Faults &faults);

} // namespace azurespindle::tests

#endif
