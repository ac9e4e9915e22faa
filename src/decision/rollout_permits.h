#ifndef AZURESPINDLE_DECISION_ROLLOUT_PERMITS_H
#define AZURESPINDLE_DECISION_ROLLOUT_PERMITS_H

#include "decision/engine_order.h"

#include <cstddef>
#include <map>
#include <string>

namespace azurespindle::decision {

/// Limits on the rate and number of engine loads.
struct RolloutLimits
{
    double loadsPerMinute = 12.0; ///< Fleet-wide capacity of the weight store.
    double maxLoadingShare = 0.1; ///< Share of a pool's engines that may be unavailable.
    std::size_t fleetEngines = 1; ///< Engines of all pools using the weight store.

    bool operator==(const RolloutLimits &other) const = default;
};

/// Grants the permits to take engines of one pool out of service for a load.
///
/// One member at a time is responsible for a pool, selected by rendezvous hashing. The processes
/// that manage the engines send it the status of each engine and request permits. The state is kept
/// in memory only: a new member lets the permits of its predecessor expire and collects the status
/// of the engines meanwhile. Two responsible members at the same time, in a network partition, do
/// no harm. Each counts only the engines that report to it, both as remaining replicas and for its
/// share of the weight store's rate.
class RolloutPermits
{
public:
    /// Lifetime of a permit, which its holder renews.
    static constexpr milliseconds permitDuration {15'000};
    /// Safety margin for clock drift and network delay.
    static constexpr milliseconds margin {1'000};
    /// Time without a status after which an engine counts neither as a replica nor as loading.
    static constexpr milliseconds statusTimeout {18'000};
    /// Longest time for which a newly loaded engine that is not warm yet counts as unavailable.
    static constexpr milliseconds warmUpDuration {20'000};
    static constexpr std::size_t maxEngines = 4'096;

    /// Grants nothing until the permits that a predecessor may have granted before \a now have
    /// expired.
    explicit RolloutPermits(Instant now)
        : grantsFrom(now + permitDuration + margin), lastRefill(now)
    { }

    // Commands

    /// Records the status of an engine and answers whether it may be ordered to load.
    /// \return the answer, with a reason if a permit was requested and is denied.
    PermitAnswer handle(const PermitRequest &request, const RolloutLimits &limits, Instant now);

    // Queries

    /// Returns the number of engines out of service: permitted, loading, or loaded and not warm
    /// yet.
    std::size_t unavailableCount(Instant now) const;
    /// Returns the number of engines with a recent status.
    std::size_t reportingCount(Instant now) const;

private:
    struct EngineState
    {
        PermitRequest lastRequest;
        Instant lastHeard;
        std::string permitHolder; ///< Empty if there is no permit.
        Instant permitExpires;
        Instant loadedAt; ///< When its last load was reported as finished.
        bool loaded = false;
    };

    void recordRequest(const PermitRequest &request, Instant now);
    void refillAvailableLoads(const RolloutLimits &limits, Instant now);
    /// Returns why \a engine gets no permit now, or an empty string if it may have one.
    std::string denialReason(const EngineState &engine, const RolloutLimits &limits,
                             Instant now) const;
    /// Returns true if an engine needs an order or has one in progress.
    bool isRolloutActive(Instant now) const;
    static bool isRecent(const EngineState &engine, Instant now);
    static bool isUnavailable(const EngineState &engine, Instant now);
    static bool holdsPermit(const EngineState &engine, Instant now);

    Instant grantsFrom;
    Instant lastRefill;
    double availableLoads = 0.0; ///< Token bucket of the weight store's rate; holds at most 1.
    std::uint64_t highestRevision = 0;
    std::map<std::string, EngineState> engineStates;
};

} // namespace azurespindle::decision

#endif
