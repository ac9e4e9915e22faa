#include "overlaps.h"

#include <sstream>

namespace azurespindle::soak {
namespace {

/// Time that an engine has to stop a run after another one has begun to continue it.
constexpr milliseconds overlapAllowed {400};

/// The work of one engine on a request.
struct Span
{
    std::string engine;
    tests::EngineWork work;
};

std::vector<Span> spansOf(const SoakFleet &fleet, const std::string &callerId)
{
    std::vector<Span> spans;
    for (const auto &[engine, works] : fleet.worksOn(callerId)) {
        for (const tests::EngineWork &work : works) {
            spans.push_back({engine, work});
        }
    }
    return spans;
}

/// Returns the time for which the earlier work went on beside the later one; negative if it did
/// not.
microseconds overlapOf(const Span &earlier, const Span &later)
{
    const bool inOrder = earlier.engine != later.engine && later.work.began > earlier.work.began;
    return inOrder ? earlier.work.ended.value_or(monotonicNow()) - later.work.began
                   : microseconds(-1);
}

} // namespace

void checkOverlaps(SoakFleet &fleet, const Seen &seen, Findings &findings)
{
    if (!isGeneration(seen.kind) || !fleet.calm().calmSince(seen.process, seen.sent)) {
        return;
    }
    const std::vector<Span> spans = spansOf(fleet, seen.callerId);
    for (const Span &earlier : spans) {
        for (const Span &later : spans) {
            const microseconds overlap = overlapOf(earlier, later);
            if (overlap > overlapAllowed) {
                std::ostringstream text;
                text << seen.callerId << " went on at " << later.engine << ", and "
                     << earlier.engine << " worked on it for " << overlap.count() / 1'000
                     << " ms more";
                findings.add("one engine at a time", text.str());
            }
        }
    }
}

} // namespace azurespindle::soak
