#include "answered.h"

namespace azurespindle::soak {
namespace {

/// A request whose last byte was sent so shortly before the close may have crossed it.
constexpr milliseconds lossSlack {200};
/// What was sent later than this after SIGTERM has to be answered before the stop ends.
constexpr milliseconds lateInStop {3'000};

std::string millisecondsText(microseconds time)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(time).count()) + " ms";
}

/// Returns true if the caller or the route allowed no more time, or the caller hung up.
bool timeWasUp(const Seen &seen)
{
    return seen.hungUp || seen.ended >= seen.sent + seen.deadline;
}

/// Returns true if an engine was still at work in the last sixth of the stop time, on a request
/// that came early enough to be worth it.
bool heldToTheEnd(const SoakFleet &fleet, const Seen &seen, Instant stoppedAt)
{
    const Instant lastSixth = stoppedAt + SoakFleet::stopTime * 5 / 6;
    return seen.sent <= stoppedAt + lateInStop && seen.ended >= lastSixth && isGeneration(seen.kind)
        && fleet.runs(seen.callerId) > 0 && !fleet.finishedBy(seen.callerId, lastSixth);
}

std::string describe(const SoakFleet &fleet, const Seen &seen,
                     const std::optional<Instant> &stoppedAt)
{
    std::string text = seen.callerId + " at entry-" + std::to_string(seen.process) + ": ";
    if (stoppedAt) {
        text += "sent " + millisecondsText(seen.sent - *stoppedAt) + " after SIGTERM, closed "
            + millisecondsText(seen.ended - *stoppedAt) + " after it ";
    } else {
        text += "closed " + millisecondsText(seen.ended - seen.sent) + " after it was sent ";
    }
    text += seen.status == 0 ? "without a head" : "with status " + std::to_string(seen.status);
    text += fleet.runs(seen.callerId) == 0            ? ", never reached an upstream"
        : fleet.finishedBy(seen.callerId, seen.ended) ? ", an upstream had answered in full"
                                                      : ", an upstream was at work";
    return text + "; its time would have been up "
        + millisecondsText(seen.sent + seen.deadline - seen.ended) + " later";
}

} // namespace

void checkAnswered(const SoakFleet &fleet, const StopRecord &stops, const Seen &seen,
                   Findings &findings)
{
    if (seen.whole || timeWasUp(seen)) {
        return;
    }
    const bool reached = fleet.runs(seen.callerId) > 0;
    const bool crossed = !reached && seen.ended < seen.wholeSent + lossSlack;
    if (crossed || (fleet.hungOn(seen.callerId))) {
        return;
    }
    const std::optional<Instant> stoppedAt = stops.stopDuring(seen.process, seen.sent, seen.ended);
    if (stoppedAt && heldToTheEnd(fleet, seen, *stoppedAt)) {
        return;
    }
    findings.add("answered", describe(fleet, seen, stoppedAt));
}

} // namespace azurespindle::soak
