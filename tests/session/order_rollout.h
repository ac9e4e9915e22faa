#ifndef AZURESPINDLE_TESTS_SESSION_ORDER_ROLLOUT_H
#define AZURESPINDLE_TESTS_SESSION_ORDER_ROLLOUT_H

#include "json/object_reader.h"

#include <string>

namespace azurespindle::tests {

/// Replays a recorded rollout in virtual time. It simulates the rollout controllers, the member
/// that issues permits, and engines that load, drain, crash, and enforce fencing tokens or not.
///
/// Lines with "event" are copied and lines with "effect" are generated anew. Time advances in steps
/// of half a second, the tick interval of the server.
/// \param recorded lines of JSON and comments
/// \param faults receives syntax errors
/// \return the replayed lines, followed by a summary
std::string replayRollout(const std::string &recorded, json::Faults &faults);

} // namespace azurespindle::tests

#endif
