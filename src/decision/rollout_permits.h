#ifndef AZURESPINDLE_DECISION_ROLLOUT_PERMITS_H
#define AZURESPINDLE_DECISION_ROLLOUT_PERMITS_H

#include "decision/engine_order.h"

#include <cstddef>
#include <map>
#include <string>

namespace azurespindle::decision {

/// How fast engines may be ordered to load.
struct RolloutLimits
{
    double loadsPerMinute = 12.0; ///< What the weight store bears, over the whole fleet.
    double maxLoadingShare = 0.1; ///< Part of a pool's engines that may be away at once.
    std::size_t fleetEngines = 1; ///< Engines of all pools that share the weight store.

    bool operator==(const RolloutLimits &other) const = default;
};

/// Gives out the permits to take engines of one pool out of service for a load.
///
/// One member at a time is responsible, chosen by rendezvous; the stewards of the engines tell it
/// where each engine stands, and ask. Nothing is kept anywhere else: a new one waits out the
/// permits of its predecessor and learns the standings meanwhile. Two at once, in a partition,
/// do no harm: each counts only the engines that it hears, both as copies that must stay and as
/// its share of the weight store's rate.
class RolloutPermits
{
public:
    static constexpr milliseconds permitDuration {15'000};
    /// Clock drift and time on the way that is allowed for.
    static constexpr milliseconds margin {1'000};
    /// An engine that was not heard of for so long counts neither as a copy nor as loading.
    static constexpr milliseconds standingMemory {18'000};
    /// A freshly loaded engine counts as away until it is warm, or for so long.
    static constexpr milliseconds recovery {20'000};
    static constexpr std::size_t maxEngines = 4'096;

    /// Begins at \a now; nothing is permitted until a predecessor's permits have run out.
    explicit RolloutPermits(Instant now)
        : openFrom(now + permitDuration + margin), refilled(now) { }

    // Commands

    /// Takes in where an engine stands, and answers whether it may be ordered to load.
    PermitAnswer handle(const PermitRequest &request, const RolloutLimits &limits, Instant now);

    // Queries

    /// Returns the engines that are away now: permitted, loading or recovering.
    std::size_t unavailableCount(Instant now) const;
    /// Returns the engines heard of lately.
    std::size_t reportingCount(Instant now) const;

private:
    struct Standing
    {
        PermitRequest last;
        Instant heardAt;
        std::string permitHolder; ///< Empty: none.
        Instant permitExpires;
        Instant loadedAt; ///< When it was last seen to have its order.
        bool loaded = false;
    };

    void take(const PermitRequest &request, Instant now);
    void refill(const RolloutLimits &limits, Instant now);
    std::string obstacle(const Standing &standing, const RolloutLimits &limits, Instant now) const;
    bool rolling(Instant now) const;
    static bool recent(const Standing &standing, Instant now);
    static bool isAway(const Standing &standing, Instant now);
    static bool holdsPermit(const Standing &standing, Instant now);

    Instant openFrom;
    Instant refilled;
    double loads = 0.0; ///< Loads that the weight store bears now, at most 1.
    std::uint64_t highestRevision = 0;
    std::map<std::string, Standing> standings;
};

} // namespace azurespindle::decision

#endif
