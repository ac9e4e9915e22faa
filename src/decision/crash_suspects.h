#ifndef AZURESPINDLE_DECISION_CRASH_SUSPECTS_H
#define AZURESPINDLE_DECISION_CRASH_SUSPECTS_H

#include "base/recent_map.h"
#include "decision/types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace azurespindle::decision {

/// Identifies a part of a prompt that requests share.
using PromptPartId = std::uint64_t;
/// Identifies one crash: an upstream in one of its lifetimes.
using CrashId = std::uint64_t;

/// The crashes that a prompt part is suspected of.
struct PartCrashes
{
    PromptPartId part = 0;
    std::vector<CrashId> crashes;
    bool operator==(const PartCrashes &other) const = default;
};

/// Finds the prompt part on which upstreams crash, whatever else its requests hold.
///
/// Each request that a crash loses before its answer begins makes suspects of its parts. An answer
/// that begins clears all parts of its request, since a part that crashes upstreams never gets that
/// far. The parts that requests share with innocent ones are thus cleared again and again, while
/// crashes add up on the part that causes them.
///
///     CrashSuspects suspects;
///     suspects.recordCrash({gate, deadly}, CrashSuspects::crashId("e1", 1), now);
///     suspects.recordAnswer({gate}); // Only "deadly" remains a suspect.
class CrashSuspects
{
public:
    static constexpr std::size_t maxSuspects = 1'024;
    static constexpr std::size_t maxTrusted = 4'096;
    /// Crashes remembered of each part.
    static constexpr std::size_t maxCrashes = 16;
    static constexpr std::size_t crashesToBlock = 3;
    /// The same for a part that is trusted, as answers have begun with it here.
    static constexpr std::size_t crashesToBlockTrusted = 5;
    /// Crashes within this time count once, as they may have a cause outside the requests.
    static constexpr milliseconds crashSpacing {100};
    /// Time after its last crash until a part is forgotten.
    static constexpr seconds retention {3'600};
    static constexpr std::size_t maxReported = 32;

    // Commands

    /// Records that a crash lost a request with these parts before its answer began.
    /// \return the parts that this crash brought to being blocked.
    std::vector<PromptPartId> recordCrash(const std::vector<PromptPartId> &parts, CrashId crash,
                                          Instant now);
    /// Records that an answer to a request with these parts has begun in this process.
    /// \return the parts that were suspects until now, for the peers.
    std::vector<PromptPartId> recordAnswer(const std::vector<PromptPartId> &parts);
    /// Records that a peer cleared these parts.
    void clear(const std::vector<PromptPartId> &parts);
    /// Adds the suspects that a peer has blocked, but for the crashes of which they were cleared.
    /// \return the parts that were not blocked before.
    std::vector<PromptPartId> merge(const std::vector<PartCrashes> &blocked, Instant now);

    // Queries

    /// Returns true if a request with these parts must not run: one of them is blocked, even
    /// without the crashes that are explained by a part that the request does not hold.
    bool isBlocked(const std::vector<PromptPartId> &parts, Instant now) const;
    /// Returns true if a request with these parts may crash a further upstream.
    bool isSuspect(const std::vector<PromptPartId> &parts, Instant now) const;
    /// Returns the blocked parts, at most maxReported, for peers that may not know them.
    std::vector<PartCrashes> blockedParts(Instant now) const;
    /// Returns the number of crashes that a part is suspected of.
    std::size_t crashCount(PromptPartId part, Instant now) const;
    std::size_t size() const { return this->suspects.size(); }

    static CrashId crashId(const std::string &upstream, std::uint64_t incarnation);

private:
    struct Suspect
    {
        std::vector<CrashId> crashes;
        std::vector<CrashId> clearedOf; ///< Former crashes, so that late reports do not count.
        Instant lastCrash;
    };

    const Suspect *find(PromptPartId part, Instant now) const;
    bool reachesBlock(PromptPartId part, Instant now) const;
    std::size_t blockingCount(PromptPartId part) const;
    /// Returns the number of a part's crashes of which no likelier part is suspected that is not
    /// among \a parts.
    std::size_t unexplainedCrashes(PromptPartId part, const std::vector<PromptPartId> &parts,
                                   Instant now) const;
    bool wasAnswered(PromptPartId part, const Suspect &suspect) const;
    /// \return true if the part was a suspect.
    bool clearPart(PromptPartId part);
    bool add(Suspect &suspect, CrashId crash);

    RecentMap<PromptPartId, Suspect> suspects {maxSuspects};
    RecentMap<PromptPartId, bool> trusted {maxTrusted};
};

} // namespace azurespindle::decision

#endif
