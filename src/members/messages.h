#ifndef AZURESPINDLE_MEMBERS_MESSAGES_H
#define AZURESPINDLE_MEMBERS_MESSAGES_H

#include "base/error.h"
#include "decision/engine_order.h"
#include "decision/fleet_retry_budget.h"
#include "decision/lease_manager.h"
#include "decision/load_table.h"
#include "decision/types.h"
#include "routing/published_view.h"
#include "routing/upstream_observation.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace azurespindle::members {

/// Version of the protocol between entry processes. A member that speaks another one is refused
/// at its Hello, so that a rolling update sees two fleets of leases rather than a garbled one.
constexpr std::uint32_t protocolVersion = 3;

/// Frames larger than this are refused: a document of one megabyte and its envelope fit.
constexpr std::size_t maxFrameBytes = 1'500'000;

enum class MemberState : std::uint8_t {
    Alive = 0,
    Suspect = 1,
    Dead = 2, ///< Silent for too long; may come back with a higher incarnation.
    Left = 3, ///< Stopped by plan.
};

const char *name(MemberState state);

/// One member as the members tell one another.
struct MemberRecord
{
    std::string name;
    std::string zone;
    std::string memberAddress; ///< IP:PORT of the protocol between members.
    std::string callerAddress; ///< IP:PORT of its HTTP interface.
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;
    bool operator==(const MemberRecord &other) const = default;
};

/// First frame of each connection, in both directions.
struct Hello
{
    std::uint32_t version = protocolVersion;
    MemberRecord self;
    bool operator==(const Hello &other) const = default;
};

/// Sent to every neighbour each heartbeatInterval, and at once when a document changes.
struct Heartbeat
{
    std::uint64_t incarnation = 0;
    std::uint64_t configurationRevision = 0;
    std::uint64_t vmListRevision = 0;
    std::uint64_t refusedRevision = 0; ///< Last configuration that failed its check here.
    std::uint64_t membershipDigest = 0;
    bool chosen = false; ///< The sender counts the receiver among its neighbours.
    bool operator==(const Heartbeat &other) const = default;
};

/// News about members; \a complete when it is everything the sender knows.
struct MembershipUpdate
{
    std::vector<MemberRecord> records;
    bool complete = false;
    bool operator==(const MembershipUpdate &other) const = default;
};

enum class DocumentKind : std::uint8_t { Configuration = 0, VmList = 1 };

/// Asks for a document.
struct DocumentRequest
{
    DocumentKind kind = DocumentKind::Configuration;
    bool operator==(const DocumentRequest &other) const = default;
};

/// A document as it was published.
struct DocumentResponse
{
    DocumentKind kind = DocumentKind::Configuration;
    std::string text;
    bool operator==(const DocumentResponse &other) const = default;
};

/// Lease requests of one holder to one steward.
struct LeaseRequests
{
    std::vector<decision::LeaseRequest> requests;
    bool operator==(const LeaseRequests &other) const = default;
};

/// A grant with the upstream's last load report.
struct GrantWithReport
{
    decision::LeaseGrant grant;
    bool hasReport = false;
    decision::EngineReport report; ///< `at` is set by the receiver.
    bool operator==(const GrantWithReport &other) const = default;
};

struct LeaseGrants
{
    std::vector<GrantWithReport> grants;
    bool operator==(const LeaseGrants &other) const = default;
};

/// What a CrashReport says of a request.
enum class CrashStatus : std::uint8_t {
    Suspected = 0, ///< An upstream died while it ran it.
    Cleared = 1,   ///< It ran to its end after all.
};

/// News about a request that may crash upstreams. Passed on once by each member.
struct CrashReport
{
    std::string pool;
    std::uint64_t fingerprint = 0;
    std::string source;       ///< The upstream that died, or the member that saw the end.
    std::uint64_t number = 0; ///< Boot number of that upstream, or the member's request number.
    CrashStatus status = CrashStatus::Suspected;
    bool operator==(const CrashReport &other) const = default;
};

/// Where engines stand, and requests to order them to load.
struct PermitRequests
{
    std::vector<decision::PermitRequest> requests;
    bool operator==(const PermitRequests &other) const = default;
};

struct PermitAnswers
{
    std::vector<decision::PermitAnswer> answers;
    bool operator==(const PermitAnswers &other) const = default;
};

/// What a router has under way and counted, told to the others when it changes.
struct RouterReport
{
    bool complete = false;          ///< \a claims is everything.
    std::uint64_t viewRevision = 0; ///< Revision up to which the sender knows what is published.
    bool readsStore = false;        ///< It reads the store itself, and gets answers.
    std::vector<decision::UpstreamClaim> claims;
    std::vector<decision::RequestCounts> arrivals;
    std::vector<routing::UpstreamObservation> notes;
    bool operator==(const RouterReport &other) const = default;
};

/// What all processes of a zone have under way and counted together, told to other zones.
struct ZoneReport
{
    std::string zone;
    std::uint32_t processCount = 0; ///< Whose claims and counts are in it.
    std::vector<decision::UpstreamClaim> claims;
    std::vector<decision::RequestCounts> arrivals;
    bool operator==(const ZoneReport &other) const = default;
};

/// Asks for what was published after a revision.
struct ViewRequest
{
    std::uint64_t after = 0;
    bool operator==(const ViewRequest &other) const = default;
};

/// What was published, as the sender read it.
struct ViewChanges
{
    routing::ViewUpdate update;
    bool operator==(const ViewChanges &other) const = default;
};

using Message = std::variant<Hello, Heartbeat, MembershipUpdate, DocumentRequest, DocumentResponse,
                             LeaseRequests, LeaseGrants, CrashReport, PermitRequests, PermitAnswers,
                             RouterReport, ViewRequest, ViewChanges, ZoneReport>;

/// Returns the frame's payload: a msgpack array of version, type and body.
std::string encode(const Message &message);

/// Decodes a payload. \return FrameMalformed with what was wrong if it is not one of ours.
Result<Message> decode(std::string_view payload);

} // namespace azurespindle::members

#endif
