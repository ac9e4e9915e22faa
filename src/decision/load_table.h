#ifndef AZURESPINDLE_DECISION_LOAD_TABLE_H
#define AZURESPINDLE_DECISION_LOAD_TABLE_H

#include "base/time_types.h"
#include "decision/types.h"

#include <cstdint>
#include <deque>
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
    /// Time until the totals of the fleet include a claim that was announced.
    static constexpr milliseconds announcementLifetime {150};
    /// Age from which the totals of the fleet count only if nothing is known of peers.
    static constexpr milliseconds fleetTotalsTimeout {1'000};

    // Commands

    /// Adds to this process's claim on an upstream.
    void add(const std::string &upstream, const ResourceClaim &claim);
    /// Subtracts from this process's claim on an upstream.
    void subtract(const std::string &upstream, const ResourceClaim &claim);
    /// Records the claims of a peer. An empty claim removes the peer's claim on that upstream.
    /// \param complete true if \a claims replaces everything the peer reported before.
    void updatePeer(const std::string &peer, const std::vector<UpstreamClaim> &claims,
                    bool complete, Instant now);
    /// Records the total claims of the processes of another zone.
    /// \param complete true if \a claims replaces everything that was known of the zone.
    void updateZone(const std::string &zone, const std::vector<UpstreamClaim> &claims,
                    bool complete, Instant now);
    /// Records the total claims of the whole fleet, this process included. While they are fresh,
    /// they count instead of those of peers and zones.
    /// \param complete true if \a claims replaces all totals known before.
    /// \param acknowledged number of this process's last report that the totals include; 0: none.
    void updateFleet(const std::vector<UpstreamClaim> &claims, bool complete,
                     std::uint64_t acknowledged, Instant now);
    /// Records new claims of another process, which the totals of the fleet include only later.
    /// They count for announcementLifetime.
    void announce(const std::vector<UpstreamClaim> &claims, Instant now);
    /// Records that this process reported \a claims in its report \a number.
    /// \param complete true if the report listed all claims.
    void recordReport(std::uint64_t number, const std::vector<UpstreamClaim> &claims, bool complete,
                      Instant now);
    /// Drops the claims of peers and zones without a report for longer than reportTimeout.
    void removeSilent(Instant now);
    /// Returns the claims of this process that changed since the last call; a claim that ended is
    /// empty.
    std::vector<UpstreamClaim> takeChanged();

    // Queries

    /// Returns the sum of all claims on an upstream.
    ResourceClaim totalClaim(const std::string &upstream) const;
    /// Returns true if the totals of the fleet count instead of the claims of peers.
    bool usesFleetTotals() const { return this->fleetTotalsInUse; }
    /// Returns the sums of all claims of which this process hears, its own included.
    std::vector<UpstreamClaim> allClaims() const;
    /// Returns the claim of this process on an upstream.
    ResourceClaim ownClaim(const std::string &upstream) const;
    /// Returns true if the claims of the processes of \a zone are known only as their total.
    bool hasZoneTotal(const std::string &zone) const { return this->zones.count(zone) > 0; }
    /// Returns the number of upstreams of which earlier reports are remembered.
    std::size_t rememberedReports() const { return this->reported.size(); }
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
    /// A claim of this process as one of its reports stated it.
    struct ReportedClaim
    {
        std::uint64_t report = 0;
        ResourceClaim claim;
    };
    /// A claim that was announced ahead of the totals.
    struct Announcement
    {
        UpstreamClaim claim;
        Instant expiresAt;
    };
    /// Time of one of this process's reports.
    struct SentReport
    {
        std::uint64_t number = 0;
        Instant sentAt;
    };

    static void apply(const std::vector<UpstreamClaim> &claims, bool complete, Report &report);
    static void addTo(std::map<std::string, ResourceClaim> &sums,
                      const std::unordered_map<std::string, Report> &reports);
    void recordClaim(std::uint64_t number, const std::string &upstream, const ResourceClaim &claim);
    /// Returns the part of the fleet's total that this process's reports account for.
    ResourceClaim acknowledgedClaim(const std::string &upstream) const;
    /// Decides whether the totals of the fleet count.
    void judgeFleetTotals(Instant now);
    void dropAnnouncements(Instant now);
    /// Forgets reports that no total can be behind any more.
    void trimReported(Instant now);

    std::unordered_map<std::string, ResourceClaim> localClaims; ///< Claims of this process.
    std::map<std::string, bool> changed; ///< Upstreams to report; the value is unused.
    std::unordered_map<std::string, Report> peers;
    std::unordered_map<std::string, Report> zones; ///< Totals by zone.
    Report fleet {Instant::min(), {}};             ///< Totals of all processes.
    std::uint64_t acknowledgedReport = 0;          ///< See updateFleet().
    bool fleetTotalsInUse = false;
    /// What this process reported of each upstream, in the order of the reports.
    std::unordered_map<std::string, std::vector<ReportedClaim>> reported;
    std::deque<SentReport> sentReports;
    std::deque<Announcement> announcements; ///< In the order of their arrival.
};

} // namespace azurespindle::decision

#endif
