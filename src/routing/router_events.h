#ifndef AZURESPINDLE_ROUTING_ROUTER_EVENTS_H
#define AZURESPINDLE_ROUTING_ROUTER_EVENTS_H

#include "decision/crash_suspects.h"
#include "decision/fleet_retry_budget.h"
#include "decision/load_table.h"
#include "decision/upstream_rate_limits.h"
#include "decision/upstream_speeds.h"
#include "journal/event_id.h"
#include "routing/published_view.h"
#include "routing/types.h"
#include "routing/upstream_observation.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace azurespindle::routing {

using decision::AttemptNumber;

/// Identifies one attempt of one request.
struct AttemptId
{
    RequestId request = 0;
    AttemptNumber number = 0;
    bool operator==(const AttemptId &other) const = default;
};

/// How the HTTP transfer of an attempt ended.
enum class AttemptEnd {
    Complete,          ///< A complete response arrived.
    NotSent,           ///< No byte of the request was sent.
    ConnectionRefused, ///< The upstream's address refused the connection; no byte was sent.
    Lost,              ///< The connection was closed early, or the response is malformed.
    TimedOut,
};

/// Returns the name of \a end for logs.
const char *name(AttemptEnd end);

/// Outcome of a request to an engine to copy a running generation to another engine.
enum class MigrationStatus {
    Copied,
    NotRunning, ///< The engine has not started the generation yet, or has ended it.
    InProgress, ///< An earlier copy of the generation is still in progress.
    NoCapacity, ///< The destination has no capacity or is unreachable.
    Failed,     ///< No response arrived, or it could not be parsed.
    EngineGone, ///< Nothing listens at the engine's address.
};

/// Returns the name of \a status for logs.
const char *name(MigrationStatus status);

/// An engine's response to a RequestMigration.
struct MigrationResponse
{
    MigrationStatus status = MigrationStatus::Failed;
    /// Handle of the copy. If it is set along with NoCapacity, the source engine stopped the
    /// generation and keeps its KV cache under this handle.
    std::string handle;
    std::uint64_t eventsGenerated = 0; ///< Events that the generation has produced so far.
    bool operator==(const MigrationResponse &other) const = default;
};

/// An engine's report on its own state.
struct EngineReport
{
    bool draining = false;                     ///< True if the engine is shutting down.
    std::optional<milliseconds> timeUntilExit; ///< Time until the engine exits, if it is known.
    bool operator==(const EngineReport &other) const = default;
};

// Events: inputs of the router. -------------------------------------------------------------

/// A caller's request arrived.
struct RequestArrived
{
    RequestId id = 0;
    std::shared_ptr<const RoutedRequest> request;
};

/// The caller closed its connection.
struct CallerLeft
{
    RequestId id = 0;
};

/// The status and header of an upstream's response arrived. A body may follow.
struct HeadArrived
{
    AttemptId attempt;
    ResponseHead head;
};

/// Complete events of a stream arrived and were forwarded to the caller.
struct EventsArrived
{
    AttemptId attempt;
    std::uint32_t count = 0;
    std::uint64_t lastEventId = 0;
};

/// This process stopped reading the response of an attempt for lack of memory, or reads it again.
struct ReadingPaused
{
    AttemptId attempt;
    bool paused = false;
};

/// The HTTP transfer of an attempt ended.
struct AttemptEnded
{
    AttemptId attempt;
    AttemptEnd end = AttemptEnd::Lost;
    std::string detail;
};

/// An engine responded to a RequestMigration.
struct MigrationResponseArrived
{
    AttemptId attempt;
    bool final = false; ///< RequestMigration::final of the request.
    MigrationResponse response;
};

/// An engine responded to a RequestEngineReport.
struct EngineReportArrived
{
    std::string upstream;
    EngineReport report;
};

/// The configuration, the upstreams or the evacuated zones changed.
struct FleetStateChanged
{
    std::shared_ptr<const FleetState> state;
};

/// The publishing store became unavailable to this process, or available again.
struct StoreAvailabilityChanged
{
    bool unavailable = false;
};

/// A peer reported its claims, its request counts and its observations.
struct PeerReportArrived
{
    std::string peer;
    bool isSnapshot = false; ///< True if \a claims replaces all earlier claims of the peer.
    std::vector<decision::UpstreamClaim> claims;
    std::vector<decision::RequestCounts> requestCounts;
    std::vector<UpstreamObservation> observations;
    std::vector<decision::PartCrashes> blockedParts {}; ///< Prompt parts that the peer has blocked.
    std::vector<decision::NamedLimit> limits {};        ///< Limits that the peer read itself.
    std::vector<decision::SpeedSum> speeds {};          ///< What the peer observed itself.
};

/// Another zone reported the total claims and request counts of its processes.
struct ZoneReportArrived
{
    std::string zone;
    bool isSnapshot = true;    ///< True if \a claims replaces all earlier claims of the zone.
    std::size_t processes = 0; ///< Number of processes that the report covers.
    std::vector<decision::UpstreamClaim> claims;
    std::vector<decision::RequestCounts> requestCounts;
    std::vector<decision::PartCrashes> blockedParts {}; ///< Prompt parts that the zone has blocked.
    std::vector<decision::NamedLimit> limits {};        ///< Limits that its processes read.
    std::vector<UpstreamObservation> observations {};
    std::vector<decision::SpeedSum> speeds {}; ///< What its processes observed.
};

/// A relay of this zone reported the total claims and request counts of all processes.
struct FleetReportArrived
{
    bool isSnapshot = false; ///< True if \a claims replaces all earlier totals.
    /// Number of this process's last report that the totals include; 0: none.
    std::uint64_t acknowledged = 0;
    std::size_t processes = 0; ///< Number of processes that the report covers.
    std::vector<decision::UpstreamClaim> claims;
    std::vector<decision::RequestCounts> requestCounts {}; ///< Empty if they are not told.
    std::vector<UpstreamObservation> observations {};
    std::vector<decision::PartCrashes> blockedParts {};
    std::vector<decision::NamedLimit> limits {};
    std::vector<decision::SpeedSum> speeds {}; ///< What all processes observed.
};

/// Another process of this zone placed requests.
struct PlacementsAnnounced
{
    std::vector<decision::UpstreamClaim> claims;
};

/// What a process reports about a crash.
struct CrashReport
{
    /// Fingerprint of a request that the upstream executed; if \a parts is set, it only tells
    /// reports about different parts apart.
    std::uint64_t fingerprint = 0;
    std::string upstream;
    std::uint64_t incarnation = 0;
    /// Shared prompt parts of requests that the crash lost before their answers began.
    std::vector<decision::PromptPartId> parts {};
    /// True if an answer to a request with \a parts has begun, which clears them. The other fields
    /// then only tell reports apart.
    bool cleared = false;
};

/// A peer sent a report about a crash.
struct PeerCrashReported : CrashReport
{
    seconds age {0}; ///< Time since the crash.
};

/// The number of entry processes changed, or the zones that they are heard from.
struct ProcessesChanged
{
    std::size_t count = 1; ///< Number of processes that send requests to the same upstreams.
    /// Zones from which no report arrived lately. They may be partitioned off, and the load that
    /// their processes cause is unknown.
    std::set<std::string> silentZones {};
    /// Names of the processes; nullptr while they may not all be known.
    decision::ProcessNames names {};
};

/// Sent every Router::tickInterval.
struct TimePassed
{ };

/// This process is about to stop. From now on it takes only requests whose deadline lies before the
/// end of the stop, because others might be left unanswered. What it took before goes on, unless it
/// has not been sent yet and may outlast the stop.
struct StopRequested
{
    Instant endsAt; ///< Time at which StopTimedOut follows.
};

/// The time for stopping is over: every request has to end now.
struct StopTimedOut
{ };

using RouterEvent
    = std::variant<RequestArrived, CallerLeft, HeadArrived, EventsArrived, ReadingPaused,
                   AttemptEnded, MigrationResponseArrived, EngineReportArrived, FleetStateChanged,
                   StoreAvailabilityChanged, PeerReportArrived, ZoneReportArrived,
                   FleetReportArrived, PlacementsAnnounced, PeerCrashReported, ProcessesChanged,
                   TimePassed, StopRequested, StopTimedOut>;

// Effects: actions that the router requests. ------------------------------------------------

/// Sends the request to an upstream.
struct StartAttempt
{
    AttemptId attempt;
    AttemptPlan plan;
    bool parallel = false; ///< True if the previous attempt continues until a RelayStream.
};

/// Closes the connection of an attempt. None of its data is forwarded any more.
struct CancelAttempt
{
    AttemptId attempt;
};

/// Forwards the events of this attempt, and of no other one, to the caller as they arrive. Its
/// response head is forwarded before, unless the caller has received one already.
struct RelayStream
{
    AttemptId attempt;
};

/// Forwards the attempt's complete response to the caller.
struct ForwardResponse
{
    AttemptId attempt;
};

/// Ends the caller's stream as complete.
struct EndStream
{
    RequestId request = 0;
};

/// Closes the caller's connection so that the response is recognizably incomplete.
struct AbortStream
{
    RequestId request = 0;
};

/// Sends a reply of this process to the caller.
struct SendLocalReply
{
    RequestId request = 0;
    LocalReply reply;
};

/// Asks the engine that executes the attempt to copy the generation to another engine.
struct RequestMigration
{
    AttemptId attempt;
    std::string from;            ///< IP:PORT of the source engine.
    std::string to;              ///< IP:PORT of the destination engine.
    std::string callerRequestId; ///< Identifies the generation at the source engine.
    bool final = false;          ///< True to stop the generation before the rest is copied.
};

/// Asks an engine for an EngineReport.
struct RequestEngineReport
{
    std::string upstream;
    std::string address; ///< IP:PORT.
};

/// Releases a copy of a generation that is no longer needed.
struct ReleaseCopy
{
    std::string address; ///< IP:PORT of the engine that holds the copy.
    std::string handle;
};

/// Sends the peers a report about a crash.
struct BroadcastCrash : CrashReport
{ };

/// Marks the last effect of a request.
struct RequestClosed
{
    RequestId request = 0;
};

/// Writes an entry to the journal.
struct WriteJournal
{
    journal::Entry entry;
};

using RouterEffect
    = std::variant<StartAttempt, CancelAttempt, RelayStream, ForwardResponse, EndStream,
                   AbortStream, SendLocalReply, RequestMigration, RequestEngineReport, ReleaseCopy,
                   BroadcastCrash, RequestClosed, WriteJournal>;
using RouterEffects = std::vector<RouterEffect>;

} // namespace azurespindle::routing

#endif
