#include "decision/concurrency_limit.h"

#include <algorithm>

namespace azurespindle::decision {
namespace {

/// Share of late tokens that is tolerated as noise.
constexpr double maxLateShare = 0.1;
/// Multiple of the cold limit from which an upstream counts as warm.
constexpr double warmFactor = 2.0;

void addTo(UpstreamObservations &sum, const UpstreamObservations &observations)
{
    sum.firstTokensInTime += observations.firstTokensInTime;
    sum.firstTokensLate += observations.firstTokensLate;
    sum.gapsInTime += observations.gapsInTime;
    sum.gapsLate += observations.gapsLate;
    sum.failures += observations.failures;
}

bool isEmpty(const UpstreamObservations &observations)
{
    return observations.firstTokensInTime + observations.firstTokensLate + observations.gapsInTime
        + observations.gapsLate + observations.failures
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
    this->setLimit(this->current, this->windowStart);
}

void ConcurrencyLimit::setLimit(double target, Instant now)
{
    this->current = std::clamp(target, static_cast<double>(this->policy.coldConcurrency),
                               static_cast<double>(this->policy.maxConcurrency));
    this->windowObservations = {};
    this->windowPeak = 0;
    this->windowStart = now;
}

bool ConcurrencyLimit::tooManyLateTokens() const
{
    const double late
        = this->windowObservations.firstTokensLate + this->windowObservations.gapsLate;
    const double inTime
        = this->windowObservations.firstTokensInTime + this->windowObservations.gapsInTime;
    return late > maxLateShare * (late + inTime);
}

LimitChangeReason ConcurrencyLimit::addObservations(const UpstreamObservations &observations,
                                                    std::uint32_t outstanding, Instant now)
{
    if (isEmpty(observations)) {
        return LimitChangeReason::None;
    }
    this->lastObservation = now;
    addTo(this->windowObservations, observations);
    this->windowPeak = std::max({this->windowPeak, outstanding, observations.peakOutstanding});
    if (observations.failures > 0) {
        this->setLimit(static_cast<double>(this->policy.coldConcurrency), now);
        return LimitChangeReason::Failure;
    }
    if (now - this->windowStart < observationWindow) {
        return LimitChangeReason::None;
    }
    if (this->tooManyLateTokens()) {
        this->setLimit(this->current * backoffFactor, now);
        return LimitChangeReason::Late;
    }
    const bool limitUsed = this->windowPeak >= minUtilizationToGrow * this->limit();
    const bool belowMaximum = this->current < static_cast<double>(this->policy.maxConcurrency);
    if (limitUsed && belowMaximum) {
        this->setLimit(this->current * growthFactor + 0.5, now);
        return LimitChangeReason::InTime;
    }
    this->setLimit(this->current, now);
    return LimitChangeReason::None;
}

LimitChangeReason ConcurrencyLimit::recordBoot(std::uint64_t boot, Instant now)
{
    if (boot == this->lastBoot) {
        return LimitChangeReason::None;
    }
    const bool first = this->lastBoot == 0;
    this->lastBoot = boot;
    if (first) {
        return LimitChangeReason::None;
    }
    return this->resetToCold(now);
}

LimitChangeReason ConcurrencyLimit::resetToCold(Instant now)
{
    this->setLimit(static_cast<double>(this->policy.coldConcurrency), now);
    return LimitChangeReason::Restarted;
}

LimitChangeReason ConcurrencyLimit::decayIfIdle(Instant now)
{
    const bool atMinimum = this->current <= static_cast<double>(this->policy.coldConcurrency);
    if (now - this->lastObservation < idleHalvingInterval || atMinimum) {
        return LimitChangeReason::None;
    }
    this->lastObservation = now;
    this->setLimit(this->current / 2.0, now);
    return LimitChangeReason::Idle;
}

void ConcurrencyLimit::raiseTo(std::uint32_t outstanding, Instant now)
{
    this->lastObservation = now;
    this->setLimit(std::max(this->current, static_cast<double>(outstanding)), now);
}

std::uint32_t ConcurrencyLimit::limit() const
{
    return static_cast<std::uint32_t>(this->current);
}

bool ConcurrencyLimit::isWarm() const
{
    return this->current >= warmFactor * static_cast<double>(this->policy.coldConcurrency);
}

} // namespace azurespindle::decision
