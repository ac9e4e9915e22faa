#include "decision/upstream_pauses.h"

#include <algorithm>

namespace azurespindle::decision {

Instant UpstreamPauses::allowedFrom(const Pause &pause)
{
    const bool recovering
        = pause.lastSentAt >= pause.endsAt && pause.lastSentAt < pause.endsAt + recoveryPeriod;
    return recovering ? pause.lastSentAt + recoverySpacing : pause.endsAt;
}

bool UpstreamPauses::note(const std::string &upstream, std::uint64_t incarnation,
                          milliseconds pause, Instant now)
{
    if (pause.count() <= 0) {
        return false;
    }
    Pause &known = this->pauses.touch(upstream);
    if (known.incarnation > incarnation) {
        return false; // The answer is one of an earlier lifetime.
    }
    const Instant endsAt = now + std::min<milliseconds>(pause, maxPause);
    if (known.incarnation == incarnation && endsAt <= known.endsAt) {
        return false;
    }
    known = {incarnation, endsAt, Instant {}};
    this->count += 1;
    return true;
}

void UpstreamPauses::recordSend(const std::string &upstream, Instant now)
{
    const Pause *known = this->count == 0 ? nullptr : this->pauses.find(upstream);
    if (known != nullptr && now >= known->endsAt) {
        this->pauses.touch(upstream).lastSentAt = now;
    }
}

void UpstreamPauses::forgetUnless(
    const std::function<bool(const std::string &, std::uint64_t)> &isCurrent, Instant now)
{
    if (this->count == 0) {
        return;
    }
    std::size_t kept = 0;
    this->pauses.eraseIf([&](const std::string &upstream, Pause &pause) {
        const bool over = now >= pause.endsAt + recoveryPeriod;
        const bool forgotten = over || !isCurrent(upstream, pause.incarnation);
        kept += forgotten ? 0 : 1;
        return forgotten;
    });
    this->count = kept;
}

bool UpstreamPauses::allows(const std::string &upstream, std::uint64_t incarnation,
                            Instant now) const
{
    return this->timeUntilAllowed(upstream, incarnation, now).count() == 0;
}

microseconds UpstreamPauses::timeUntilAllowed(const std::string &upstream,
                                              std::uint64_t incarnation, Instant now) const
{
    const Pause *known = this->count == 0 ? nullptr : this->pauses.find(upstream);
    if (known == nullptr || known->incarnation != incarnation) {
        return microseconds(0);
    }
    return std::max(microseconds(0),
                    std::chrono::duration_cast<microseconds>(allowedFrom(*known) - now));
}

} // namespace azurespindle::decision
