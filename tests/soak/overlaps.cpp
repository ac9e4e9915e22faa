#include "overlaps.h"

namespace azurespindle::soak {
namespace {

/// Time that an engine has to stop a run after another one has begun to continue it.
constexpr milliseconds overlapAllowed {400};

/// Returns the time for which \a earlier went on beside \a later; negative if it did not.
microseconds overlapOf(const tests::EngineWork &earlier, const tests::EngineWork &later)
{
    if (later.began <= earlier.began) {
        return microseconds(-1);
    }
    return earlier.ended.value_or(monotonicNow()) - later.began;
}

} // namespace

void checkOverlaps(SoakFleet &fleet, const Seen &seen, Findings &findings)
{
    if (!isGeneration(seen.kind) || !fleet.calm().calmSince(seen.process, seen.sent)) {
        return;
    }
    const auto works = fleet.worksOn(seen.callerId);
    for (const auto &[engine, earlierWorks] : works) {
        for (const auto &[other, laterWorks] : works) {
            for (const tests::EngineWork &earlier : earlierWorks) {
                for (const tests::EngineWork &later : laterWorks) {
                    const microseconds overlap = overlapOf(earlier, later);
                    if (engine != other && overlap > overlapAllowed) {
                        findings.add("one engine at a time",
                                     seen.callerId + " went on at " + other + ", and " + engine
                                         + " worked on it for "
                                         + std::to_string(overlap.count() / 1'000) + " ms more");
                    }
                }
            }
        }
    }
}

} // namespace azurespindle::soak
