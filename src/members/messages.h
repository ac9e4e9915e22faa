#ifndef AZURESPINDLE_MEMBERS_MESSAGES_H
#define AZURESPINDLE_MEMBERS_MESSAGES_H

#include "base/error.h"
#include "base/text_delta.h"
#include "decision/crash_suspects.h"
#include "decision/engine_order.h"
#include "decision/fleet_retry_budget.h"
#include "decision/lease_manager.h"
#include "decision/load_table.h"
#include "decision/types.h"
#include "decision/upstream_rate_limits.h"
#include "decision/upstream_speeds.h"
#include "routing/published_view.h"
#include "routing/upstream_observation.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace azurespindle::members {

/// Version of the protocol between entry processes. A connection whose frames carry another version
/// is closed: during a rolling update the old and the new version form two separate fleets, each
/// with its own leases, instead of misreading each other's messages.
constexpr std::uint32_t protocolVersion = 6;

/// Largest frame accepted, in bytes; enough for a document of 1 MiB and its envelope.
constexpr std::size_t maxFrameBytes = 1'500'000;

enum class MemberState : std::uint8_t {
    Alive = 0,
    Suspect = 1, ///< Timed out; is declared dead unless it refutes in time.
    Dead = 2,    ///< Declared failed after a timeout; may rejoin with a higher incarnation.
    Left = 3,    ///< Shut down gracefully.
};

const char *name(MemberState state);

/// Membership record of one entry process, as members exchange it by gossip.
///
/// Among records of the same member the one with the higher incarnation wins; with equal
/// incarnations the one with the higher state wins.
struct MemberRecord
{
    std::string name;
    std::string zone;
    std::string memberAddress; ///< IP:PORT for the protocol between members.
    std::string callerAddress; ///< IP:PORT of the HTTP interface for callers.
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;
    /// How much work for other members it can take on, in steps; the roles of relay and reader go
    /// to members with the highest value.
    std::uint32_t capacity = 0;
    bool operator==(const MemberRecord &other) const = default;
};

/// First message on each connection, in both directions; identifies the sender.
struct Hello
{
    std::uint32_t version = protocolVersion;
    MemberRecord self;
    bool operator==(const Hello &other) const = default;
};

/// Liveness message, sent to every neighbour each Membership::heartbeatInterval, and immediately
/// when a document changes. It carries the revisions and the digest by which the receiver notices
/// that either side lacks something.
struct Heartbeat
{
    std::uint64_t incarnation = 0;
    std::uint64_t configurationRevision = 0;
    std::uint64_t vmListRevision = 0;
    std::uint64_t refusedRevision = 0; ///< Last configuration revision the sender refused; 0: none.
    std::uint64_t membershipDigest = 0; ///< Membership::digest() of the sender.
    bool toNeighbour = false;           ///< Whether the receiver is one of the sender's neighbours.
    /// CrashLog::digest() of the sender; nothing in heartbeats of older members.
    std::optional<std::uint64_t> blockedRequestsDigest {};
    bool operator==(const Heartbeat &other) const = default;
};

/// Gossip about members.
struct MembershipUpdate
{
    std::vector<MemberRecord> records;
    bool complete = false; ///< Whether \a records holds every record the sender knows.
    bool operator==(const MembershipUpdate &other) const = default;
};

enum class DocumentKind : std::uint8_t { Configuration = 0, VmList = 1 };

/// Requests the receiver's current revision of a document.
struct DocumentRequest
{
    DocumentKind kind = DocumentKind::Configuration;
    std::uint64_t knownRevision = 0; ///< Revision that the sender has; 0: none.
    bool operator==(const DocumentRequest &other) const = default;
};

/// Answer to a DocumentRequest.
struct DocumentResponse
{
    DocumentKind kind = DocumentKind::Configuration;
    std::string text; ///< The document exactly as it was published; empty if \a delta is set.
    /// The difference from the revision that the requester knows.
    std::optional<TextDelta> delta {};
    bool operator==(const DocumentResponse &other) const = default;
};

/// Lease requests of one lease holder, sent to the lease manager that grants them.
struct LeaseRequests
{
    std::vector<decision::LeaseRequest> requests;
    bool operator==(const LeaseRequests &other) const = default;
};

/// A lease grant with the upstream's last load report.
struct GrantWithReport
{
    decision::LeaseGrant grant;
    bool hasReport = false;        ///< Whether \a report is set.
    decision::EngineReport report; ///< Its time is not transmitted; the receiver sets it.
    bool operator==(const GrantWithReport &other) const = default;
};

/// Answer to LeaseRequests.
struct LeaseGrants
{
    std::vector<GrantWithReport> grants;
    bool operator==(const LeaseGrants &other) const = default;
};

/// Whether a request is suspected of crashing upstreams.
enum class CrashStatus : std::uint8_t {
    Suspected = 0, ///< An upstream died while running the request.
    Cleared = 1,   ///< The request has since run to completion.
};

/// Report about a request that may crash upstreams. Each member forwards it to its neighbours once.
struct CrashReport
{
    std::string pool;              ///< Pool the request was for; empty in reports of routers.
    std::uint64_t fingerprint = 0; ///< Fingerprint of the request.
    std::string source;       ///< Upstream that died, or member on which the request completed.
    std::uint64_t number = 0; ///< Boot number of that upstream, or that member's request number.
    CrashStatus status = CrashStatus::Suspected;
    /// Prompt parts that the report is about instead of a request, whose fingerprint then only
    /// tells reports apart.
    std::vector<decision::PromptPartId> parts {};
    bool operator==(const CrashReport &other) const = default;
};

/// A crash that a request is suspected of, and how long ago it was.
struct PastCrash
{
    CrashReport report;
    seconds age {0};
    bool operator==(const PastCrash &other) const = default;
};

/// The crashes of the requests that the sender has blocked, for a member whose digest differs. Only
/// members that send a digest understand it.
struct BlockedRequests
{
    std::vector<PastCrash> crashes;
    bool operator==(const BlockedRequests &other) const = default;
};

/// Reports of engines' phases, and requests for permits to order engines to load.
struct PermitRequests
{
    std::vector<decision::PermitRequest> requests;
    bool operator==(const PermitRequests &other) const = default;
};

/// Answer to PermitRequests.
struct PermitAnswers
{
    std::vector<decision::PermitAnswer> answers;
    bool operator==(const PermitAnswers &other) const = default;
};

/// State of one router, sent to other members when it changes and at regular intervals.
struct RouterReport
{
    bool complete = false; ///< Whether \a claims lists all claims rather than only changed ones.
    routing::StoreRevision viewRevision; ///< Store revision of the sender's view.
    bool readsStore = false; ///< Whether the sender reads the store itself and gets answers.
    std::vector<decision::UpstreamClaim> claims;
    std::vector<decision::RequestCounts> requestCounts;
    std::vector<routing::UpstreamObservation> observations;
    std::vector<decision::PartCrashes> blockedParts {};
    std::vector<decision::NamedLimit> limits {}; ///< Limits that the sender read in responses.
    std::uint64_t sequence = 0; ///< Number of the report, ascending from 1 in a process's life.
    std::vector<decision::SpeedSum> speeds {}; ///< Changed sums of the sender's observations.
    bool operator==(const RouterReport &other) const = default;
};

/// Sums of the router reports of one availability zone, which its relays send to the relays of
/// other zones.
struct ZoneReport
{
    std::string zone;
    bool complete = false; ///< Whether \a claims lists all claims rather than only changed ones.
    std::uint32_t processCount = 0; ///< Number of processes included in the sums.
    std::vector<decision::UpstreamClaim> claims;
    std::vector<decision::RequestCounts> requestCounts;
    std::vector<decision::PartCrashes> blockedParts {};
    std::vector<decision::NamedLimit> limits {}; ///< Limits that the zone's processes read.
    /// Recent observations of the zone's processes.
    std::vector<routing::UpstreamObservation> observations {};
    std::vector<decision::SpeedSum> speeds {}; ///< Changed sums of the zone's observations.
    bool operator==(const ZoneReport &other) const = default;
};

/// Sums of the router reports of the whole fleet, which a relay sends to the members of its zone.
struct FleetReport
{
    bool complete = false; ///< Whether \a claims lists all claims rather than only changed ones.
    /// RouterReport::sequence of the receiver's last report that the sums include; 0: none.
    std::uint64_t acknowledged = 0;
    std::uint32_t processCount = 0;      ///< Number of processes included in the sums.
    routing::StoreRevision viewRevision; ///< Store revision of the sender's view.
    bool readsStore = false; ///< Whether the sender reads the store itself and gets answers.
    std::vector<decision::UpstreamClaim> claims;
    std::vector<decision::RequestCounts>
        requestCounts {}; ///< Empty if they are not told this time.
    std::vector<routing::UpstreamObservation> observations {};
    std::vector<decision::PartCrashes> blockedParts {};
    std::vector<decision::NamedLimit> limits {};
    std::vector<std::string> silentZones {};   ///< Zones whose relays the sender does not hear.
    std::vector<decision::SpeedSum> speeds {}; ///< Changed sums of the fleet's observations.
    bool operator==(const FleetReport &other) const = default;
};

/// New claims of one process, sent to the members of its zone at once, ahead of the sums that will
/// include them.
struct PlacementNotice
{
    std::vector<decision::UpstreamClaim> claims;
    bool operator==(const PlacementNotice &other) const = default;
};

/// What a member that reads the store tells the others of its zone at regular intervals.
struct ViewStatus
{
    routing::StoreRevision revision; ///< Store revision of the sender's view.
    bool readsStore = false; ///< Whether the sender reads the store itself and gets answers.
    bool operator==(const ViewStatus &other) const = default;
};

/// Requests everything that was published after a store revision.
struct ViewRequest
{
    routing::StoreRevision after; ///< Store revision that the sender already has.
    bool operator==(const ViewRequest &other) const = default;
};

/// Changes to the published view, as the sender read them from the store or from a peer.
struct ViewChanges
{
    routing::ViewUpdate update;
    bool operator==(const ViewChanges &other) const = default;
};

using Message = std::variant<Hello, Heartbeat, MembershipUpdate, DocumentRequest, DocumentResponse,
                             LeaseRequests, LeaseGrants, CrashReport, PermitRequests, PermitAnswers,
                             RouterReport, ViewRequest, ViewChanges, ZoneReport, FleetReport,
                             ViewStatus, PlacementNotice, BlockedRequests>;

/// Encodes a message as a frame's payload: a msgpack array of protocol version, type and body.
std::string encode(const Message &message);

/// Decodes a frame's payload.
/// \return the message, or FrameMalformed with a detail if the payload has another protocol version
/// or type, or does not match the type's fields.
Result<Message> decode(std::string_view payload);

} // namespace azurespindle::members

#endif
