#ifndef AZURESPINDLE_DECISION_LEASE_MANAGER_H
#define AZURESPINDLE_DECISION_LEASE_MANAGER_H

#include "decision/concurrency_limit.h"
#include "decision/events.h"

#include <map>
#include <string>
#include <vector>

namespace azurespindle::decision {

/// A lease holder's request to the lease manager of an upstream.
struct LeaseRequest
{
    std::string holder; ///< Name and incarnation of the requesting process.
    std::string upstream;
    std::uint32_t inUse = 0;                ///< Attempts that the holder has in flight.
    std::uint32_t wanted = 0;               ///< Further attempts that it would start now.
    UpstreamObservations observations;      ///< Observed since the last request.
    std::vector<WorkspaceUsage> workspaces; ///< Empty unless the upstream is contended.
    bool operator==(const LeaseRequest &other) const = default;
};

/// The lease manager's answer to a LeaseRequest.
///
/// Times are durations that start when the grant is received, because machines share no clock.
struct LeaseGrant
{
    std::string upstream;
    std::uint32_t concurrency = 0;        ///< Attempts that the holder may have in flight.
    double memoryShare = 1.0;             ///< Share of the engine's KV memory, from 0 to 1.
    milliseconds duration {0};            ///< How long \a concurrency is valid.
    std::uint32_t standalone = 0;         ///< Attempts allowed while the manager is unreachable.
    milliseconds standaloneDuration {0};  ///< How long \a standalone is valid.
    bool contended = false;               ///< Holders want more attempts than the limit allows.
    std::vector<RemoteUsage> remoteUsage; ///< Service by other holders since the last grant.
    bool operator==(const LeaseGrant &other) const = default;
};

/// Returns the request that sends \a ask to the lease manager on behalf of \a holder.
LeaseRequest makeLeaseRequest(const std::string &holder, const AskLease &ask);

/// Returns the event for a pool's dispatcher about a grant that was received at \a now.
LeaseGranted makeLeaseGranted(const LeaseGrant &grant, Instant now);

/// Grants the capacity of the upstreams it manages as short leases, so that the fleet as a whole
/// never exceeds an upstream's concurrency limit.
///
/// The attempts that all holders may have in flight add up to at most that limit. A grant counts
/// until its holder sends the next request, or has been silent for so long that its attempts are
/// assumed to have ended. A new manager grants nothing until every lease of its
/// predecessor has expired; it then starts with at least the number of attempts that holders report
/// in flight.
class LeaseManager
{
public:
    static constexpr milliseconds coldLeaseDuration {2'500};
    /// Longer than coldLeaseDuration, so that renewals cost little in a large fleet.
    static constexpr milliseconds warmLeaseDuration {6'000};
    /// Safety margin for clock drift and network delay.
    static constexpr milliseconds margin {500};
    /// How long a partitioned holder may use its standalone share of a warm upstream. A holder that
    /// is silent for longer is removed.
    static constexpr milliseconds standaloneDuration {60'000};
    static constexpr std::size_t maxHolders = 1'024; ///< Per upstream.
    /// Attempts granted beyond the request, besides a quarter of it, while a warm upstream has
    /// capacity left.
    static constexpr std::uint32_t spareSlots = 2;
    static constexpr std::size_t maxReportedWorkspaces = 4; ///< Per request.
    /// How long an upstream counts as contended after a holder got less than it wanted.
    static constexpr milliseconds contentionDuration {5'000};

    // Commands

    /// Starts to manage an upstream, or updates its policy if it is managed already.
    /// \param mayHavePredecessor true if leases of another manager may still be valid; nothing is
    ///     granted until they have expired.
    void manage(const std::string &upstream, const configuration::UpstreamPolicy &policy,
                Instant now, bool mayHavePredecessor);
    /// Stops managing an upstream.
    void stopManaging(const std::string &upstream);
    /// Sets the condition of an upstream. Unless it is Serving, all its grants are 0.
    void setCondition(const std::string &upstream, Condition condition);
    /// Applies a holder's observations and answers its request.
    /// \param memberCount number of processes that may request leases; divides the standalone
    ///     share.
    /// \param[out] entries receives the events to log.
    /// \return the grant; refused (all 0) if the upstream is not managed here or has too many
    ///     holders.
    LeaseGrant handle(const LeaseRequest &request, std::size_t memberCount, Instant now,
                      std::vector<journal::Entry> &entries);
    /// Records the boot number of an engine's load report.
    void recordBoot(const std::string &upstream, std::uint64_t boot, Instant now,
                    std::vector<journal::Entry> &entries);
    /// Records how many generations an engine reports. Those beyond the committed attempts belong
    /// to holders that do not reach this manager, such as those of another manager across a network
    /// partition.
    void recordActiveGenerations(const std::string &upstream, std::uint32_t activeGenerations);
    /// Resets the limit of an upstream that loaded a new image to that of a cold one.
    void resetToCold(const std::string &upstream, Instant now,
                     std::vector<journal::Entry> &entries);
    /// Lowers the limits of idle upstreams and removes silent holders.
    void advanceTime(Instant now, std::vector<journal::Entry> &entries);

    // Queries

    /// Returns true if this process manages the leases of \a upstream.
    bool manages(const std::string &upstream) const;
    /// Returns the fleet-wide limit of an upstream in attempts, 0 if it is not managed here.
    std::uint32_t limit(const std::string &upstream) const;
    /// Returns the attempts that all holders together may have in flight.
    std::uint32_t committed(const std::string &upstream) const;
    bool isWarm(const std::string &upstream) const;
    /// Returns the names of the managed upstreams.
    std::vector<std::string> upstreams() const;

private:
    struct Holder
    {
        std::uint32_t granted = 0; ///< Attempts of the last grant.
        std::uint32_t inUse = 0;
        std::uint32_t wanted = 0;
        std::uint32_t standalone = 0; ///< Standalone attempts of the last grant.
        Instant lastHeard;
        std::vector<WorkspaceUsage> workspaces; ///< As in the last request.
        std::vector<RemoteUsage> remoteUsage;   ///< Not yet reported to the holder.
    };
    struct ManagedUpstream
    {
        ConcurrencyLimit adaptiveLimit; ///< Limit over all holders.
        Condition condition = Condition::Serving;
        Instant grantsFrom;             ///< No grants before this time.
        bool initializeFromUse = false; ///< Raise the limit to the use seen at grantsFrom.
        Instant contendedUntil {};
        double unreportedAttempts = 0.0; ///< Attempts beyond those committed, smoothed.
        std::map<std::string, Holder> holders {};
    };

    /// Returns the attempts that the holder may have in flight.
    static std::uint32_t committedBy(const Holder &holder);
    static std::uint32_t totalCommitted(const ManagedUpstream &managed);
    /// Returns the attempts that the limit leaves for \a holder beside all others.
    static std::uint32_t availableTo(const ManagedUpstream &managed, const std::string &holder);
    static bool wantsMore(const Holder &holder, Instant now);
    /// Returns the sum of the weights of the workspaces that wait at the holder, each divided by
    /// the number of holders where it waits.
    static double waitingWeight(const ManagedUpstream &managed, const Holder &holder, Instant now);
    static std::uint32_t fairShare(const ManagedUpstream &managed, const Holder &holder,
                                   Instant now);
    /// Adds the usage in \a request to the remote usage of the other holders, and replaces the
    /// workspaces of this holder.
    static void recordUsage(ManagedUpstream &managed, const LeaseRequest &request);
    static void removeSilentHolders(ManagedUpstream &managed, Instant now);
    void addObservations(ManagedUpstream &managed, const LeaseRequest &request, Instant now,
                         std::vector<journal::Entry> &entries);
    static std::uint32_t grantFor(ManagedUpstream &managed, const LeaseRequest &request,
                                  Instant now);

    std::map<std::string, ManagedUpstream> managedUpstreams;
};

} // namespace azurespindle::decision

#endif
