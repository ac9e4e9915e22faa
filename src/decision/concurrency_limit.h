#ifndef AZURESPINDLE_DECISION_CONCURRENCY_LIMIT_H
#define AZURESPINDLE_DECISION_CONCURRENCY_LIMIT_H

#include "configuration/document.h"
#include "decision/types.h"

#include <string>

namespace azurespindle::decision {

/// Why a concurrency limit changed.
enum class LimitChangeReason { None, InTime, Late, Failure, Restarted, Idle };

/// Returns the text of the reason as it is written to the event log.
const char *name(LimitChangeReason reason);

/// An adaptive limit on the attempts that the whole fleet may have in flight at one upstream.
///
/// The limit follows multiplicative increase and decrease: tokens on time while most of the limit
/// is in use raise it by half, and late tokens lower it. A failure or a new boot number resets it
/// to the limit of a cold upstream, and each idle period halves it. The state is derived from
/// recent observations only, without a stored "warm" flag, because a warm engine may turn cold
/// without reporting it.
class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(const configuration::UpstreamPolicy &policy);

    // Commands

    /// Adds observations of lease holders and adjusts the limit.
    /// \param outstanding number of attempts that all holders have in flight.
    /// \return why the limit changed, or None if it did not.
    LimitChangeReason addObservations(const UpstreamObservations &observations,
                                      std::uint32_t outstanding, Instant now);
    /// Records the boot number of a load report and resets the limit if the engine has restarted.
    /// \return Restarted if the boot number changed, None if it is the first or the same one.
    LimitChangeReason recordBoot(std::uint64_t boot, Instant now);
    /// Resets the limit to that of a cold upstream. \return Restarted.
    LimitChangeReason resetToCold(Instant now);
    /// Halves the limit if no observation arrived for idleHalvingInterval.
    /// \return Idle if the limit was lowered, otherwise None.
    LimitChangeReason decayIfIdle(Instant now);
    /// Raises the limit to \a outstanding, the number of attempts seen in flight when a new lease
    /// manager takes over. A higher limit stays.
    void raiseTo(std::uint32_t outstanding, Instant now);
    /// Replaces the policy and clamps the limit to its bounds.
    void setPolicy(const configuration::UpstreamPolicy &changed);

    // Queries

    /// Returns the number of attempts that may be in flight at the upstream.
    std::uint32_t limit() const;
    /// Returns true if the limit is at least twice that of a cold upstream.
    bool isWarm() const;

    /// Minimum time between two adjustments by token timing, so that a burst counts once.
    static constexpr milliseconds observationWindow {400};
    /// Time without observations after which the limit is halved.
    static constexpr seconds idleHalvingInterval {20};
    /// Factor applied to the limit when tokens arrive on time.
    static constexpr double growthFactor = 1.5;
    /// Factor applied to the limit when tokens arrive late.
    static constexpr double backoffFactor = 0.7;
    /// Share of the limit that must be in use before it may grow.
    static constexpr double minUtilizationToGrow = 0.7;

private:
    void setLimit(double target, Instant now);
    bool tooManyLateTokens() const;

    configuration::UpstreamPolicy policy;
    double current;                          ///< Limit before rounding down, in attempts.
    UpstreamObservations windowObservations; ///< Sum over the current window.
    std::uint32_t windowPeak = 0;            ///< Most attempts in flight in the current window.
    Instant windowStart;
    Instant lastObservation;
    std::uint64_t lastBoot = 0; ///< 0 until the first load report.
};

} // namespace azurespindle::decision

#endif
