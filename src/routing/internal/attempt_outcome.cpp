#include "routing/internal/attempt_outcome.h"

namespace azurespindle::routing::internal {

bool mayRepeat(const ActiveRequest &active)
{
    return active.route->kind == RouteKind::Idempotent
        || (active.route->kind == RouteKind::Streaming && active.route->resumable);
}

bool statesNotRun(const ActiveRequest &active, AttemptEnd end)
{
    const ResponseHead &head = active.head;
    const bool states = end == AttemptEnd::Complete && (head.notRun || head.wrongInstance);
    return states && !head.requestIdMismatch && (!head.requestIdMissing || mayRepeat(active));
}

bool wasNotRun(const ActiveRequest &active, AttemptEnd end)
{
    return end == AttemptEnd::NotSent || end == AttemptEnd::ConnectionRefused
        || statesNotRun(active, end);
}

} // namespace azurespindle::routing::internal
