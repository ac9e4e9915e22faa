#ifndef AZURESPINDLE_MEMBERS_CRASH_LOG_H
#define AZURESPINDLE_MEMBERS_CRASH_LOG_H

#include "base/recent_map.h"
#include "base/time_types.h"
#include "decision/crash_tracker.h"
#include "members/messages.h"

#include <cstdint>
#include <string>
#include <vector>

namespace azurespindle::members {

/// The crashes that requests are suspected of, kept for members that missed the reports about
/// blocked requests because they started later, were partitioned off, or lost a message.
///
/// Members compare digests of their logs, and exchange the crashes of the blocked requests while
/// these differ. A request with fewer crashes is not blocked, and not exchanged.
class CrashLog
{
public:
    static constexpr std::size_t maxRequests = 1'024; ///< Requests remembered.
    /// Blocked requests that are exchanged: the ones that crashed an upstream last.
    static constexpr std::size_t maxExchanged = 128;
    static constexpr std::size_t crashesToBlock = decision::CrashTracker::crashesToBlock;
    /// Time after its last crash until a request is forgotten.
    static constexpr seconds retention = decision::CrashTracker::retention;

    // Commands

    /// Records a report about a request; reports about prompt parts are ignored.
    /// \param age time since the crash.
    /// \return false if the crash was known, or is too long ago.
    bool record(const CrashReport &report, seconds age, Instant now);

    // Queries

    /// Returns a digest of the blocked requests; 0 if there are none.
    std::uint64_t digest(Instant now) const;
    /// Returns the crashes of the blocked requests, oldest request first.
    std::vector<PastCrash> blockedRequests(Instant now) const;

private:
    /// A request and its crashes, at most crashesToBlock.
    struct Suspect
    {
        std::vector<CrashReport> crashes;
        Instant lastCrash;
    };

    /// Returns the suspects whose requests are blocked, at most maxExchanged.
    std::vector<const Suspect *> blocked(Instant now) const;

    RecentMap<std::string, Suspect> suspects {maxRequests}; ///< By pool and fingerprint.
};

} // namespace azurespindle::members

#endif
