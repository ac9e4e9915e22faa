#ifndef AZURESPINDLE_MEMBERS_COORDINATOR_H
#define AZURESPINDLE_MEMBERS_COORDINATOR_H

#include "base/recent_map.h"
#include "journal/journal.h"
#include "members/crash_log.h"
#include "members/document_watch.h"
#include "members/membership.h"
#include "members/peer_network.h"
#include "members/shared_documents.h"
#include "members/table_exchange.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace azurespindle::members {

/// Callbacks of a Coordinator, by which the rest of the process handles changes and the messages of
/// other members. Called without the coordinator's lock, on a thread of the network, the timers or
/// the HTTP client, or on the thread that calls the coordinator.
struct CoordinatorHooks
{
    /// A higher revision of a document was accepted.
    std::function<void(DocumentKind kind, const nlohmann::json &document)> onDocument;
    /// The record of a member changed, for instance because it joined, failed or left.
    std::function<void()> onMembersChanged;
    std::function<void(const std::string &from, const LeaseRequests &requests)> onLeaseRequests;
    std::function<void(const std::string &from, const LeaseGrants &grants)> onLeaseGrants;
    /// \param age time since the crash.
    std::function<void(const CrashReport &crash, seconds age)> onCrashReport;
    std::function<void(const std::string &from, const PermitRequests &requests)> onPermitRequests;
    std::function<void(const PermitAnswers &answers)> onPermitAnswers;
    /// See PeerCallbacks::isReachable.
    std::function<bool(const std::string &member)> isReachable {};
    std::function<void(const std::string &from, const RouterReport &report)> onRouterReport {};
    std::function<void(const std::string &from, const ViewRequest &request)> onViewRequest {};
    /// \param bytes size of the frame that held the changes.
    std::function<void(const std::string &from, const ViewChanges &changes, std::size_t bytes)>
        onViewChanges {};
    std::function<void(const std::string &from, const ZoneReport &report)> onZoneReport {};
    std::function<void(const std::string &from, const FleetReport &report)> onFleetReport {};
    std::function<void(const std::string &from, const ViewStatus &status)> onViewStatus {};
    std::function<void(const PlacementNotice &notice)> onPlacementNotice {};
};

/// Last known state of one member, for `azurespindle status`.
struct MemberStatus
{
    MemberRecord record;
    microseconds sinceLastHeard {0};
    Heartbeat heartbeat; ///< Last heartbeat received; default values if there was none.
};

/// Endpoint of this process in the fleet of entry processes.
///
/// Runs the membership protocol over the peer network, distributes the shared documents, chooses
/// which members watch the platform for new ones, and passes other messages to their handlers.
class Coordinator
{
public:
    /// Number of members in each zone that watch the platform's documents.
    static constexpr std::size_t watchersPerZone = 2;
    /// Number of crash reports remembered, so that each is handled and forwarded once.
    static constexpr std::size_t maxCrashReports = 4'096;
    /// How long a newly started process waits for a peer before it watches the platform's documents
    /// without one.
    static constexpr milliseconds firstPeerTimeout {1'500};

    Coordinator(const settings::Settings &settings, MemberRecord self, http::Client &client,
                timer::TimerService &timers, metrics::Registry &registry, journal::Journal &journal,
                CoordinatorHooks hooks);

    // Commands

    /// Listens for peers, starts heartbeats and connects to the seeds.
    std::error_code start();
    /// Announces to the neighbours that this process shuts down gracefully.
    void leave();
    void stop();
    /// Sends a message to a member; does nothing if the member is not known.
    void send(const std::string &member, const Message &message);
    /// Sends a message to those of the members that are known.
    void sendToAll(const std::vector<std::string> &members, const Message &message);
    /// Replaces the addresses through which this process joins the fleet.
    void setSeeds(std::vector<settings::Address> seeds);
    /// Broadcasts a crash report to all members by gossip, and handles it here.
    void broadcastCrash(const CrashReport &crash);
    /// Offers a revision of a document, which is accepted if it is valid and newer.
    /// \param source where the document came from, as written to the journal.
    void offer(DocumentKind kind, const std::string &text, const std::string &source);

    // Queries

    /// Returns a number that changes whenever the record of a member changes.
    std::uint64_t memberChanges() const;
    /// Returns the members that are alive or suspected, this one included.
    std::vector<MemberRecord> activeMembers() const;
    /// Returns all known members, including this one and those that died or left.
    std::vector<MemberRecord> allMembers() const;
    /// Returns the name of the member that owns \a key among the active members of \a zone, or
    /// among all active members if the zone has none.
    std::string ownerInZone(const std::string &zone, const std::string &key) const;
    /// Returns the name of the member that owns \a key among all active members.
    std::string ownerOf(const std::string &key) const;
    std::optional<MemberRecord> find(const std::string &name) const;
    std::vector<MemberStatus> status() const;
    MemberRecord self() const;
    std::uint64_t revision(DocumentKind kind) const;
    /// Returns the last configuration revision that was refused and its faults, as text; empty if
    /// none was refused.
    std::string refusedConfiguration() const;
    /// Returns true once a peer was heard or firstPeerTimeout has passed.
    bool isSettled() const;
    std::uint16_t port() const { return this->network.port(); }

private:
    using Records = std::vector<MemberRecord>;

    void onHello(const MemberRecord &record);
    void onMessage(const std::string &from, const Message &message, std::size_t bytes);
    void handle(const std::string &from, const Heartbeat &heartbeat);
    void handle(const std::string &from, const MembershipUpdate &update);
    void handle(const std::string &from, const DocumentRequest &request);
    void handle(const std::string &from, const DocumentResponse &response);
    void handle(const CrashReport &crash);
    void handle(const std::string &from, const BlockedRequests &blocked);
    /// Returns the crashes of the blocked requests if the sender of \a heartbeat is to be sent
    /// them. Requires the lock.
    std::vector<PastCrash> blockedRequestsFor(const std::string &from, const Heartbeat &heartbeat);
    /// Returns the requests for documents of which the sender of \a heartbeat has a higher
    /// revision. Requires the lock.
    std::vector<DocumentRequest> requestsFor(const Heartbeat &heartbeat);
    void tick();
    void dialSeeds();
    void sendHeartbeats();
    void gossip(const Records &changed);
    void sendToNeighbours(const Message &message);
    static std::string ownerAmong(const std::vector<MemberRecord> &candidates,
                                  const std::string &key);
    std::vector<MemberRecord> inboundNeighbours(const std::vector<MemberRecord> &excluded) const;
    void publishChanges(const Records &changed);
    void updateWatches();
    Heartbeat heartbeat() const;
    DocumentWatch &watch(DocumentKind kind);
    void record(std::vector<journal::Entry> entries);

    const settings::Settings &settings;
    timer::TimerService &timers;
    journal::Journal &journal;
    const CoordinatorHooks hooks;
    const Instant started;

    mutable std::mutex mutex; ///< Guards the fields below, up to the watches.
    Membership membership;
    SharedDocuments documents;
    TableExchange tables;
    /// Last heartbeat received from each member.
    RecentMap<std::string, Heartbeat> heartbeats {Membership::maxMembers};
    /// Last heartbeat time of each member that has this one as its neighbour.
    std::map<std::string, Instant> inboundHeartbeats;
    std::vector<std::string> vmListAddresses; ///< Member addresses in the VM list, IP:PORT.
    std::vector<settings::Address> seeds;
    /// Crash reports already handled, keyed by status, source, number and fingerprint.
    RecentMap<std::string, bool> crashReports {maxCrashReports};
    CrashLog crashLog;
    TableExchange blockedRequestsExchange {1};
    bool peerHeard = false;
    std::uint64_t tickCount = 0;

    DocumentWatch configurationWatch;
    DocumentWatch vmListWatch;
    PeerNetwork network;
};

} // namespace azurespindle::members

#endif
