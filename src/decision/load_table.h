#ifndef AZURESPINDLE_DECISION_LOAD_TABLE_H
#define AZURESPINDLE_DECISION_LOAD_TABLE_H

#include "base/time_types.h"
#include "decision/types.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace azurespindle::decision {

/// What attempts take of one upstream.
struct ResourceClaim
{
    std::uint32_t attempts = 0;
    Tokens memory = 0;  ///< KV tokens, reckoned to the time of need.
    Tokens prefill = 0; ///< Prompt tokens that are still to be read.

    ResourceClaim &operator+=(const ResourceClaim &other);
    /// Subtracts, and stops at zero.
    ResourceClaim &operator-=(const ResourceClaim &other);
    bool operator==(const ResourceClaim &other) const = default;
};

/// What one process claims of one upstream, as processes tell one another.
struct UpstreamClaim
{
    std::string upstream;
    ResourceClaim claim;
    bool operator==(const UpstreamClaim &other) const = default;
};

/// What this process and its peers have under way at each upstream.
///
/// Answers for many processes choosing among the same upstreams at once: reports of the upstreams
/// are half a second old and the same for all, so all would choose the same one. Claims are told
/// when they change, and count at once.
class LoadTable
{
public:
    /// Claims of a peer that was not heard for so long count no more.
    static constexpr milliseconds peerMemory {3'000};

    // Commands

    void add(const std::string &upstream, const ResourceClaim &claim);
    void subtract(const std::string &upstream, const ResourceClaim &claim);
    /// Takes over what a peer claims; \a whole when it is everything.
    void updatePeer(const std::string &peer, const std::vector<UpstreamClaim> &claims, bool whole,
                    Instant now);
    /// Takes over what the processes of another zone claim together.
    void updateZone(const std::string &zone, const std::vector<UpstreamClaim> &claims, Instant now);
    /// Drops what silent peers and zones claimed.
    void removeSilent(Instant now);
    /// Takes the own claims that changed since the last call.
    std::vector<UpstreamClaim> takeChanged();

    // Queries

    /// Returns what all together claim of an upstream.
    ResourceClaim totalClaim(const std::string &upstream) const;
    ResourceClaim ownClaim(const std::string &upstream) const;
    /// Returns true if what is claimed by processes of that zone comes as their sum.
    bool hasZoneTotal(const std::string &zone) const { return this->zones.count(zone) > 0; }
    std::vector<UpstreamClaim> ownClaims() const;
    /// Returns what this process and its peers claim together, without other zones' reports.
    std::vector<UpstreamClaim> ownAndPeerClaims() const;

private:
    struct Peer
    {
        Instant heard;
        std::unordered_map<std::string, ResourceClaim> claims;
    };

    std::unordered_map<std::string, ResourceClaim> mine;
    std::map<std::string, bool> changed;
    std::unordered_map<std::string, Peer> peers;
    std::unordered_map<std::string, Peer> zones; ///< By zone: what its processes claim together.
};

} // namespace azurespindle::decision

#endif
