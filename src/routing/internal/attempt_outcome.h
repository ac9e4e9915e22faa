#ifndef AZURESPINDLE_ROUTING_INTERNAL_ATTEMPT_OUTCOME_H
#define AZURESPINDLE_ROUTING_INTERNAL_ATTEMPT_OUTCOME_H

// What the end of an attempt says about whether the upstream executed the request.

#include "routing/internal/active_request.h"

namespace azurespindle::routing::internal {

/// Returns true if executing the request more than once does no harm.
bool mayRepeat(const ActiveRequest &active);

/// Returns true if the upstream's response to the current attempt states that it was not executed,
/// and may be believed: it names this request, or the request may be repeated.
bool statesNotRun(const ActiveRequest &active, AttemptEnd end);

/// Returns true if the current attempt, which ended like this, was certainly not executed.
bool wasNotRun(const ActiveRequest &active, AttemptEnd end);

} // namespace azurespindle::routing::internal

#endif
