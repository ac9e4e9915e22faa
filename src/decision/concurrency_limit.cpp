#include "decision/concurrency_limit.h"

#include <algorithm>

namespace azurespindle::decision {
namespace {

/// Late tokens out of all that are taken as noise.
constexpr double toleratedLateShare = 0.1;
/// A limit of so many times the cold one counts as warm.
constexpr double warmFactor = 2.0;

void addTo(UpstreamObservations &sum, const UpstreamObservations &evidence)
{
    sum.firstTokensInTime += evidence.firstTokensInTime;
    sum.firstTokensLate += evidence.firstTokensLate;
    sum.gapsInTime += evidence.gapsInTime;
    sum.gapsLate += evidence.gapsLate;
    sum.failures += evidence.failures;
}

bool isEmpty(const UpstreamObservations &evidence)
{
    return evidence.firstTokensInTime + evidence.firstTokensLate + evidence.gapsInTime
        + evidence.gapsLate + evidence.failures
        == 0;
}

} // namespace

const char *name(LimitChangeReason reason)
{
    switch (reason) {
    case LimitChangeReason::None:
        return "none";
    case LimitChangeReason::InTime:
        return "tokens in time";
    case LimitChangeReason::Late:
        return "late tokens";
    case LimitChangeReason::Failure:
        return "failure";
    case LimitChangeReason::Restarted:
        return "restarted";
    case LimitChangeReason::Idle:
        return "idle";
    }
    return "none";
}

ConcurrencyLimit::ConcurrencyLimit(const configuration::UpstreamPolicy &policy)
    : policy(policy), current(static_cast<double>(policy.coldConcurrency))
{ }

void ConcurrencyLimit::setPolicy(const configuration::UpstreamPolicy &changed)
{
    this->policy = changed;
    this->moveTo(this->current, this->windowStart);
}

void ConcurrencyLimit::moveTo(double target, Instant now)
{
    this->current = std::clamp(target, static_cast<double>(this->policy.coldConcurrency),
                               static_cast<double>(this->policy.maxConcurrency));
    this->gathered = {};
    this->peak = 0;
    this->windowStart = now;
}

bool ConcurrencyLimit::strained() const
{
    const double late = this->gathered.firstTokensLate + this->gathered.gapsLate;
    const double inTime = this->gathered.firstTokensInTime + this->gathered.gapsInTime;
    return late > toleratedLateShare * (late + inTime);
}

LimitChangeReason ConcurrencyLimit::addEvidence(const UpstreamObservations &evidence,
                                                std::uint32_t outstanding, Instant now)
{
    if (isEmpty(evidence)) {
        return LimitChangeReason::None;
    }
    this->lastEvidence = now;
    addTo(this->gathered, evidence);
    this->peak = std::max({this->peak, outstanding, evidence.peakOutstanding});
    if (evidence.failures > 0) {
        this->moveTo(static_cast<double>(this->policy.coldConcurrency), now);
        return LimitChangeReason::Failure;
    }
    if (now - this->windowStart < window) {
        return LimitChangeReason::None;
    }
    if (this->strained()) {
        this->moveTo(this->current * backoff, now);
        return LimitChangeReason::Late;
    }
    const bool proven = this->peak >= provenUse * this->limit();
    const bool room = this->current < static_cast<double>(this->policy.maxConcurrency);
    if (proven && room) {
        this->moveTo(this->current * growth + 0.5, now);
        return LimitChangeReason::InTime;
    }
    this->moveTo(this->current, now);
    return LimitChangeReason::None;
}

LimitChangeReason ConcurrencyLimit::recordBoot(std::uint64_t boot, Instant now)
{
    if (boot == this->knownBoot) {
        return LimitChangeReason::None;
    }
    const bool first = this->knownBoot == 0;
    this->knownBoot = boot;
    if (first) {
        return LimitChangeReason::None;
    }
    return this->resetToCold(now);
}

LimitChangeReason ConcurrencyLimit::resetToCold(Instant now)
{
    this->moveTo(static_cast<double>(this->policy.coldConcurrency), now);
    return LimitChangeReason::Restarted;
}

LimitChangeReason ConcurrencyLimit::decayIfIdle(Instant now)
{
    const bool atFloor = this->current <= static_cast<double>(this->policy.coldConcurrency);
    if (now - this->lastEvidence < idleHalving || atFloor) {
        return LimitChangeReason::None;
    }
    this->lastEvidence = now;
    this->moveTo(this->current / 2.0, now);
    return LimitChangeReason::Idle;
}

void ConcurrencyLimit::raiseTo(std::uint32_t outstanding, Instant now)
{
    this->lastEvidence = now;
    this->moveTo(std::max(this->current, static_cast<double>(outstanding)), now);
}

std::uint32_t ConcurrencyLimit::limit() const
{
    return static_cast<std::uint32_t>(this->current);
}

bool ConcurrencyLimit::warm() const
{
    return this->current >= warmFactor * static_cast<double>(this->policy.coldConcurrency);
}

} // namespace azurespindle::decision
