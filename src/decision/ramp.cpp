#include "decision/ramp.h"

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

const char *name(RampReason reason)
{
    switch (reason) {
    case RampReason::None:
        return "none";
    case RampReason::InTime:
        return "tokens in time";
    case RampReason::Late:
        return "late tokens";
    case RampReason::Failure:
        return "failure";
    case RampReason::Restarted:
        return "restarted";
    case RampReason::Idle:
        return "idle";
    }
    return "none";
}

Ramp::Ramp(const configuration::UpstreamPolicy &policy)
    : policy(policy), current(static_cast<double>(policy.coldConcurrency))
{ }

void Ramp::setPolicy(const configuration::UpstreamPolicy &changed)
{
    this->policy = changed;
    this->moveTo(this->current, this->windowStart);
}

void Ramp::moveTo(double target, Instant now)
{
    this->current = std::clamp(target, static_cast<double>(this->policy.coldConcurrency),
                               static_cast<double>(this->policy.maxConcurrency));
    this->gathered = {};
    this->peak = 0;
    this->windowStart = now;
}

bool Ramp::strained() const
{
    const double late = this->gathered.firstTokensLate + this->gathered.gapsLate;
    const double inTime = this->gathered.firstTokensInTime + this->gathered.gapsInTime;
    return late > toleratedLateShare * (late + inTime);
}

RampReason Ramp::weigh(const UpstreamObservations &evidence, std::uint32_t outstanding, Instant now)
{
    if (isEmpty(evidence)) {
        return RampReason::None;
    }
    this->lastEvidence = now;
    addTo(this->gathered, evidence);
    this->peak = std::max({this->peak, outstanding, evidence.peakOutstanding});
    if (evidence.failures > 0) {
        this->moveTo(static_cast<double>(this->policy.coldConcurrency), now);
        return RampReason::Failure;
    }
    if (now - this->windowStart < window) {
        return RampReason::None;
    }
    if (this->strained()) {
        this->moveTo(this->current * backoff, now);
        return RampReason::Late;
    }
    const bool proven = this->peak >= provenUse * this->limit();
    const bool room = this->current < static_cast<double>(this->policy.maxConcurrency);
    if (proven && room) {
        this->moveTo(this->current * growth + 0.5, now);
        return RampReason::InTime;
    }
    this->moveTo(this->current, now);
    return RampReason::None;
}

RampReason Ramp::noteBoot(std::uint64_t boot, Instant now)
{
    if (boot == this->knownBoot) {
        return RampReason::None;
    }
    const bool first = this->knownBoot == 0;
    this->knownBoot = boot;
    if (first) {
        return RampReason::None;
    }
    return this->turnCold(now);
}

RampReason Ramp::turnCold(Instant now)
{
    this->moveTo(static_cast<double>(this->policy.coldConcurrency), now);
    return RampReason::Restarted;
}

RampReason Ramp::passTime(Instant now)
{
    const bool atFloor = this->current <= static_cast<double>(this->policy.coldConcurrency);
    if (now - this->lastEvidence < idleHalving || atFloor) {
        return RampReason::None;
    }
    this->lastEvidence = now;
    this->moveTo(this->current / 2.0, now);
    return RampReason::Idle;
}

void Ramp::adopt(std::uint32_t outstanding, Instant now)
{
    this->lastEvidence = now;
    this->moveTo(std::max(this->current, static_cast<double>(outstanding)), now);
}

std::uint32_t Ramp::limit() const
{
    return static_cast<std::uint32_t>(this->current);
}

bool Ramp::warm() const
{
    return this->current >= warmFactor * static_cast<double>(this->policy.coldConcurrency);
}

} // namespace azurespindle::decision
