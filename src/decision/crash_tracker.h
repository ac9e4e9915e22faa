#ifndef AZURESPINDLE_DECISION_CRASH_TRACKER_H
#define AZURESPINDLE_DECISION_CRASH_TRACKER_H

#include "base/recent_map.h"
#include "decision/types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace azurespindle::decision {

/// Counts upstream crashes per request fingerprint, so that a request that crashes upstreams is
/// blocked.
///
/// All requests that run on an upstream when it crashes become crash suspects. Two suspects are
/// never placed on the same upstream, so that a second crash identifies the request that causes it,
/// and that request is blocked. The others run to completion and are cleared.
class CrashTracker
{
public:
    static constexpr std::size_t maxFingerprints = 4'096;
    static constexpr std::size_t crashesToBlock = 2;
    /// Time after its last crash until a fingerprint is forgotten.
    static constexpr seconds retention {3'600};

    // Commands

    /// Records that \a upstream, while it had boot number \a boot, crashed running the request.
    /// \return false if this crash was already recorded.
    bool recordCrash(std::uint64_t fingerprint, const std::string &upstream, std::uint64_t boot,
                     Instant crashedAt);
    /// Records that the request ran to completion, and clears it unless it is blocked.
    /// \return true if it was a suspect.
    bool clearSuspect(std::uint64_t fingerprint);

    // Queries

    /// Returns the number of crashes recorded for the request, at most crashesToBlock.
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
