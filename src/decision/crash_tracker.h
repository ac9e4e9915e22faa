#ifndef AZURESPINDLE_DECISION_CRASH_TRACKER_H
#define AZURESPINDLE_DECISION_CRASH_TRACKER_H

#include "base/recent_map.h"
#include "decision/types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace azurespindle::decision {

/// Counts, for each request fingerprint, the upstreams that died while they ran it.
///
/// A request is refused after two deaths. After the first it is a suspect: two suspects never
/// share an upstream, so the second death convicts the one request that was there and none of
/// the innocent ones that merely ran beside it the first time.
class CrashTracker
{
public:
    static constexpr std::size_t maxFingerprints = 4'096;
    static constexpr std::size_t crashesToBlock = 2;
    static constexpr seconds retention {3'600}; ///< A fingerprint is forgotten after so long.

    // Commands

    /// Notes that \a upstream, in its life \a boot, died while it ran the request.
    /// \return false if that death was known already.
    bool recordCrash(std::uint64_t fingerprint, const std::string &upstream, std::uint64_t boot,
                     Instant now);
    /// Notes that the request ran to its end. \return true if it had been a suspect.
    bool clearSuspect(std::uint64_t fingerprint);

    // Queries

    /// Returns the number of deaths that stand against the request.
    std::size_t crashCount(std::uint64_t fingerprint, Instant now) const;
    bool isBlocked(std::uint64_t fingerprint, Instant now) const;
    bool isSuspect(std::uint64_t fingerprint, Instant now) const;
    std::size_t size() const { return this->records.size(); }

private:
    struct Crash
    {
        std::string upstream;
        std::uint64_t boot = 0;
        bool operator==(const Crash &other) const = default;
    };
    struct Record
    {
        std::vector<Crash> crashes;
        Instant last;
    };

    RecentMap<std::uint64_t, Record> records {maxFingerprints};
};

} // namespace azurespindle::decision

#endif
