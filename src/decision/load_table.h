#ifndef AZURESPINDLE_DECISION_LOAD_TABLE_H
#define AZURESPINDLE_DECISION_LOAD_TABLE_H

#include "base/time_types.h"
#include "decision/types.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace azurespindle::decision {

/// The capacity of one upstream that attempts in flight are expected to use.
struct ResourceClaim
{
    std::uint32_t attempts = 0;
    Tokens memory = 0;  ///< Forecast KV tokens, including output to come.
    Tokens prefill = 0; ///< Prompt tokens not read yet.

    /// Adds \a other field by field.
    ResourceClaim &operator+=(const ResourceClaim &other);
    /// Subtracts \a other field by field; no field falls below 0.
    ResourceClaim &operator-=(const ResourceClaim &other);
    bool operator==(const ResourceClaim &other) const = default;
};

/// The claim of one process on one upstream, as processes report it to each other.
struct UpstreamClaim
{
    std::string upstream;
    ResourceClaim claim;
    bool operator==(const UpstreamClaim &other) const = default;
};

/// Table of the claims that this process, its peers and other zones have on each upstream.
///
/// Load reports of the upstreams are half a second old and identical for all processes, so that all
/// would choose the same upstream at the same time. Claims are sent to the other processes when
/// they change and take effect immediately.
class LoadTable
{
public:
    /// Time without a report after which the claims of a peer or zone are dropped.
    static constexpr milliseconds reportTimeout {3'000};

    // Commands

    /// Adds to this process's claim on an upstream.
    void add(const std::string &upstream, const ResourceClaim &claim);
    /// Subtracts from this process's claim on an upstream.
    void subtract(const std::string &upstream, const ResourceClaim &claim);
    /// Records the claims of a peer. An empty claim removes the peer's claim on that upstream.
    /// \param complete true if \a claims replaces everything the peer reported before.
    void updatePeer(const std::string &peer, const std::vector<UpstreamClaim> &claims,
                    bool complete, Instant now);
    /// Replaces the total claims of the processes of another zone.
    void updateZone(const std::string &zone, const std::vector<UpstreamClaim> &claims, Instant now);
    /// Drops the claims of peers and zones without a report for longer than reportTimeout.
    void removeSilent(Instant now);
    /// Returns the claims of this process that changed since the last call; a claim that ended is
    /// empty.
    std::vector<UpstreamClaim> takeChanged();

    // Queries

    /// Returns the sum of all claims on an upstream.
    ResourceClaim totalClaim(const std::string &upstream) const;
    /// Returns the claim of this process on an upstream.
    ResourceClaim ownClaim(const std::string &upstream) const;
    /// Returns true if the claims of the processes of \a zone are known only as their total.
    bool hasZoneTotal(const std::string &zone) const { return this->zones.count(zone) > 0; }
    /// Returns all claims of this process.
    std::vector<UpstreamClaim> ownClaims() const;
    /// Returns the sums of the claims of this process and its peers, without those of other zones.
    std::vector<UpstreamClaim> ownAndPeerClaims() const;

private:
    struct Report
    {
        Instant receivedAt;
        std::unordered_map<std::string, ResourceClaim> claims;
    };

    std::unordered_map<std::string, ResourceClaim> localClaims; ///< Claims of this process.
    std::map<std::string, bool> changed; ///< Upstreams to report; the value is unused.
    std::unordered_map<std::string, Report> peers;
    std::unordered_map<std::string, Report> zones; ///< Totals by zone.
};

} // namespace azurespindle::decision

#endif
