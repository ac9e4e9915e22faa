#ifndef AZURESPINDLE_MEMBERS_COORDINATOR_H
#define AZURESPINDLE_MEMBERS_COORDINATOR_H

#include "base/recent_map.h"
#include "journal/journal.h"
#include "members/document_watch.h"
#include "members/membership.h"
#include "members/peer_network.h"
#include "members/shared_documents.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace azurespindle::members {

/// What the coordinator tells the rest of the process. Called without its lock.
struct CoordinatorHooks
{
    /// A higher revision of one of the documents is in force.
    std::function<void(DocumentKind kind, const nlohmann::json &document)> onDocument;
    /// Members came or went.
    std::function<void()> onMembersChanged;
    std::function<void(const std::string &from, const LeaseRequests &requests)> onLeaseRequests;
    std::function<void(const std::string &from, const LeaseGrants &grants)> onLeaseGrants;
    std::function<void(const CrashReport &note)> onCrashReport;
    std::function<void(const std::string &from, const PermitRequests &requests)> onPermitRequests;
    std::function<void(const PermitAnswers &answers)> onPermitAnswers;
    /// See PeerCallbacks::reachable.
    std::function<bool(const std::string &member)> isReachable {};
    std::function<void(const std::string &from, const RouterReport &report)> onRouterReport {};
    std::function<void(const std::string &from, const ViewRequest &wanted)> onViewRequest {};
    std::function<void(const ViewChanges &news)> onViewChanges {};
    std::function<void(const std::string &from, const ZoneReport &report)> onZoneReport {};
};

/// What one member last said of itself, for `azurespindle status`.
struct MemberStatus
{
    MemberRecord record;
    microseconds sinceLastHeard {0};
    Heartbeat heartbeat; ///< Of neighbours; empty for the others.
};

/// Brings membership, documents and the network together.
class Coordinator
{
public:
    /// Members of a zone that watch the platform's documents.
    static constexpr std::size_t watchersPerZone = 2;
    static constexpr std::size_t maxCrashReports = 4'096;
    /// How long a fresh process waits for a peer before it trusts the platform alone.
    static constexpr milliseconds firstPeerTimeout {1'500};

    Coordinator(const settings::Settings &settings, MemberRecord self, http::Client &client,
                timer::TimerService &timers, metrics::Registry &registry, journal::Journal &journal,
                CoordinatorHooks hooks);

    // Commands

    std::error_code start();
    /// Tells the others that this process stops by plan.
    void leave();
    void stop();
    void send(const std::string &member, const Message &message);
    /// Takes over other members to ask when joining.
    void setSeeds(std::vector<settings::Address> seeds);
    /// Tells every member, by way of the neighbours.
    void broadcastCrash(const CrashReport &note);
    /// Takes in a document; \a source names it in the journal.
    void offer(DocumentKind kind, const std::string &text, const std::string &source);

    // Queries

    /// Returns the members that take part.
    std::vector<MemberRecord> activeMembers() const;
    /// Returns the members that are allMembers, whether they take part or not.
    std::vector<MemberRecord> allMembers() const;
    /// Returns the member that stewards upstreams of \a zone under the key \a key.
    std::string ownerInZone(const std::string &zone, const std::string &key) const;
    /// Returns the member that is ownerOf for \a key in the whole fleet.
    std::string ownerOf(const std::string &key) const;
    std::optional<MemberRecord> find(const std::string &name) const;
    std::vector<MemberStatus> status() const;
    MemberRecord self() const;
    std::uint64_t revision(DocumentKind kind) const;
    /// Returns the revision refused last and its faults, as text; empty if there is none.
    std::string refusedConfiguration() const;
    /// Returns true once a peer was heard, or none answered in time.
    bool isSettled() const;
    std::uint16_t port() const { return this->network.port(); }

private:
    using News = std::vector<MemberRecord>;

    void onHello(const MemberRecord &record);
    void onMessage(const std::string &from, const Message &message);
    void handle(const std::string &from, const Heartbeat &heartbeat);
    void handle(const std::string &from, const MembershipUpdate &news);
    void handle(const std::string &from, const DocumentRequest &wanted);
    void handle(const std::string &from, const DocumentResponse &body);
    void handle(const CrashReport &note);
    void tick();
    void dialSeeds();
    void beat();
    void spread(const News &news);
    void tellNeighbours(const Message &message);
    static std::string choose(const std::vector<MemberRecord> &among, const std::string &key);
    std::vector<MemberRecord> choosers(const std::vector<MemberRecord> &except) const;
    void afterChange(const News &news);
    void chooseWatch();
    Heartbeat heartbeat() const;
    DocumentWatch &watch(DocumentKind kind);
    void record(std::vector<journal::Entry> entries);

    const settings::Settings &settings;
    timer::TimerService &timers;
    journal::Journal &journal;
    const CoordinatorHooks hooks;
    const Instant started;

    mutable std::mutex mutex; ///< Guards the members up to the network.
    Membership membership;
    SharedDocuments documents;
    RecentMap<std::string, Heartbeat> heartbeats {Membership::maxMembers};
    std::map<std::string, Instant> chosenBy; ///< Known members that chose this one.
    std::vector<std::string> vmListAddresses;
    std::vector<settings::Address> seeds;
    RecentMap<std::string, bool> crashReports {maxCrashReports};
    bool peerHeard = false;
    std::uint64_t turn = 0;

    DocumentWatch configurationWatch;
    DocumentWatch vmListWatch;
    PeerNetwork network;
};

} // namespace azurespindle::members

#endif
