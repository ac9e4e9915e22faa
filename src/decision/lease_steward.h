#ifndef AZURESPINDLE_DECISION_LEASE_STEWARD_H
#define AZURESPINDLE_DECISION_LEASE_STEWARD_H

#include "decision/events.h"
#include "decision/ramp.h"

#include <map>
#include <string>
#include <vector>

namespace azurespindle::decision {

/// What a holder asks of the steward of an upstream.
struct LeaseRequest
{
    std::string holder; ///< Name and incarnation of the asking process.
    std::string upstream;
    std::uint32_t inUse = 0;
    std::uint32_t wanted = 0;
    UpstreamObservations evidence;
    std::vector<WorkspaceUsage> workspaces; ///< Empty without contention.
    bool operator==(const LeaseRequest &other) const = default;
};

/// The steward's answer. Durations, not instants: two machines share no clock.
struct LeaseGrant
{
    std::string upstream;
    std::uint32_t concurrency = 0;
    double memoryShare = 1.0;
    milliseconds duration {0};
    std::uint32_t standalone = 0;
    milliseconds standaloneDuration {0};
    bool contended = false;           ///< Some holder wants more than there is.
    std::vector<RemoteUsage> foreign; ///< Since the holder's last grant.
    bool operator==(const LeaseGrant &other) const = default;
};

/// Returns the request that carries \a ask to the steward.
LeaseRequest requestOf(const std::string &holder, const AskLease &ask);

/// Returns the event that tells a pool of a grant that came at \a now.
LeaseGranted grantedAt(const LeaseGrant &grant, Instant now);

/// Hands out the capacity of upstreams as short leases, so that the fleet together never gives an
/// upstream more than its ramp allows.
///
/// The sum of what holders may have started is at most the ramp's limit. A grant counts until its
/// holder asks again, or was silent for so long that nothing it began is taken to run any more. A
/// new steward hands out nothing until every lease of its predecessor has run out, and then begins
/// at what the upstream was seen to bear.
class LeaseSteward
{
public:
    static constexpr milliseconds coldLeaseDuration {2'500};
    /// A warm upstream's leases are renewed rarely, so that they cost little at any fleet size.
    static constexpr milliseconds warmLeaseDuration {6'000};
    /// Clock drift and time on the way that the steward allows for.
    static constexpr milliseconds margin {500};
    /// How long a cut-off holder may use its standalone share of a warm upstream. A holder that is
    /// silent for longer is forgotten.
    static constexpr milliseconds standaloneDuration {60'000};
    static constexpr std::size_t maxHolders = 1'024; ///< For each upstream.
    /// Slots granted beyond the stated need while there is room.
    static constexpr std::uint32_t spareSlots = 2;
    static constexpr std::size_t maxToldWorkspaces = 4; ///< In one request.
    /// An upstream counts as contended for so long after a holder got less than it wanted.
    static constexpr milliseconds contentionMemory {5'000};

    // Commands

    /// Begins to steward an upstream at \a now, or takes over its changed policy.
    void adopt(const std::string &upstream, const configuration::UpstreamPolicy &policy,
               Instant now, bool mayHavePredecessor);
    /// Stops stewarding an upstream.
    void release(const std::string &upstream);
    /// Marks an upstream that takes no new work: its grants are 0.
    void setCondition(const std::string &upstream, Condition condition);
    /// Weighs a holder's evidence and answers its request. \a memberCount is the number of
    /// processes that may ask. Adds what happened to \a entries.
    LeaseGrant handle(const LeaseRequest &request, std::size_t memberCount, Instant now,
                      std::vector<journal::Entry> &entries);
    /// Takes in the boot number of a load report.
    void noteBoot(const std::string &upstream, std::uint64_t boot, Instant now,
                  std::vector<journal::Entry> &entries);
    /// Takes in how many generations an engine reports. Those beyond what this steward has handed
    /// out are of holders that it does not hear: another steward's, across a partition.
    void noteBusy(const std::string &upstream, std::uint32_t busy);
    /// Takes an upstream that loaded something new for a cold one.
    void turnCold(const std::string &upstream, Instant now, std::vector<journal::Entry> &entries);
    /// Lets unused limits fall and forgets silent holders.
    void passTime(Instant now, std::vector<journal::Entry> &entries);

    // Queries

    bool stewards(const std::string &upstream) const;
    /// Returns the fleet-wide limit of an upstream, 0 if it is not stewarded here.
    std::uint32_t limit(const std::string &upstream) const;
    /// Returns the attempts that all holders may have running.
    std::uint32_t committed(const std::string &upstream) const;
    bool warm(const std::string &upstream) const;
    std::vector<std::string> upstreams() const;

private:
    struct Holder
    {
        std::uint32_t granted = 0;
        std::uint32_t inUse = 0;
        std::uint32_t wanted = 0;
        std::uint32_t standalone = 0;
        Instant lastHeard;
        std::vector<WorkspaceUsage> workspaces; ///< As last told.
        std::vector<RemoteUsage> foreign;       ///< Not told yet; of the workspaces above.
    };
    struct Stewarded
    {
        Ramp ramp;
        Condition condition = Condition::Serving;
        Instant openFrom; ///< Nothing is handed out before.
        bool adoptUse = false;
        Instant contendedUntil {};
        double foreign = 0.0; ///< Attempts of holders that are not heard, smoothed.
        std::map<std::string, Holder> holders {};
    };

    static std::uint32_t heldBy(const Holder &holder);
    static std::uint32_t total(const Stewarded &stewarded);
    static std::uint32_t room(const Stewarded &stewarded, const std::string &holder);
    static bool wantsMore(const Holder &holder, Instant now);
    /// Returns the weights of the workspaces that wait at the holder, each divided by the number
    /// of holders where it waits.
    static double entitlement(const Stewarded &stewarded, const Holder &holder, Instant now);
    static std::uint32_t fairShare(const Stewarded &stewarded, const Holder &holder, Instant now);
    static void takeService(Stewarded &stewarded, const LeaseRequest &request);
    static void forgetSilent(Stewarded &stewarded, Instant now);
    void weigh(Stewarded &stewarded, const LeaseRequest &request, Instant now,
               std::vector<journal::Entry> &entries);
    static std::uint32_t grantFor(Stewarded &stewarded, const LeaseRequest &request, Instant now);

    std::map<std::string, Stewarded> stewardedUpstreams;
};

} // namespace azurespindle::decision

#endif
