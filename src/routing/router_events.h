#ifndef AZURESPINDLE_ROUTING_ROUTER_EVENTS_H
#define AZURESPINDLE_ROUTING_ROUTER_EVENTS_H

#include "decision/fleet_retry_budget.h"
#include "decision/load_table.h"
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

/// Names one attempt of one request.
struct AttemptId
{
    RequestId request = 0;
    AttemptNumber number = 0;
    bool operator==(const AttemptId &other) const = default;
};

/// How a transfer to an upstream ended.
enum class AttemptEnd {
    Complete,          ///< A whole answer arrived.
    NotSent,           ///< No byte left this process.
    ConnectionRefused, ///< Nothing listens there; no byte left this process.
    Lost,              ///< The connection ended early, or what came is no answer.
    TimedOut,
};

/// Returns a short text for logs.
const char *name(AttemptEnd end);

/// What an upstream said to a request to copy a running generation.
enum class MigrationStatus {
    Copied,
    NotRunning, ///< It does not run there: not yet, or no more.
    InProgress, ///< An earlier copy of it is under way.
    NoCapacity, ///< Not at the destination, or it is unreachable.
    Failed,     ///< No answer that can be read.
};

const char *name(MigrationStatus status);

struct MigrationResponse
{
    MigrationStatus status = MigrationStatus::Failed;
    std::string handle;                ///< Names the copy; may be there though there was no room.
    std::uint64_t eventsGenerated = 0; ///< Events generated so far.
    bool operator==(const MigrationResponse &other) const = default;
};

/// What an engine reports of itself.
struct EngineReport
{
    bool draining = false;
    std::optional<milliseconds> timeUntilExit; ///< Time until it is gone, if it knows.
    bool operator==(const EngineReport &other) const = default;
};

// Events: what happened outside. ------------------------------------------------------------

struct RequestArrived
{
    RequestId id = 0;
    std::shared_ptr<const RoutedRequest> request;
};

struct CallerLeft
{
    RequestId id = 0;
};

/// The head of an answer arrived, and a body follows or not.
struct HeadArrived
{
    AttemptId attempt;
    ResponseHead head;
};

/// Whole events of a stream arrived and were passed on.
struct EventsArrived
{
    AttemptId attempt;
    std::uint32_t count = 0;
    std::uint64_t lastEventId = 0;
};

struct AttemptEnded
{
    AttemptId attempt;
    AttemptEnd end = AttemptEnd::Lost;
    std::string detail;
};

struct MigrationResponseArrived
{
    AttemptId attempt;
    bool final = false;
    MigrationResponse answer;
};

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

/// The store that publishes upstreams answers this process, or does not.
struct StoreAvailabilityChanged
{
    bool unavailable = false;
};

/// What a peer has under way and counted.
struct PeerReportArrived
{
    std::string peer;
    bool isSnapshot = false;
    std::vector<decision::UpstreamClaim> claims;
    std::vector<decision::RequestCounts> arrivals;
    std::vector<UpstreamObservation> observations;
};

/// What the processes of another zone have under way and counted together.
struct ZoneReportArrived
{
    std::string zone;
    std::size_t processes = 0;
    std::vector<decision::UpstreamClaim> claims;
    std::vector<decision::RequestCounts> arrivals;
};

/// A peer saw an upstream die while it ran a request of this fingerprint.
struct PeerCrashReported
{
    std::uint64_t fingerprint = 0;
    std::string upstream;
    std::uint64_t incarnation = 0;
};

struct ProcessesChanged
{
    std::size_t count = 1; ///< Processes that may send to the same upstreams.
    /// Zones of whose processes nothing has been heard lately: they may be cut off, and what they
    /// have under way is not known.
    std::set<std::string> unheardZones {};
};

struct TimePassed
{ };

struct StopRequested
{ };

using RouterEvent
    = std::variant<RequestArrived, CallerLeft, HeadArrived, EventsArrived, AttemptEnded,
                   MigrationResponseArrived, EngineReportArrived, FleetStateChanged,
                   StoreAvailabilityChanged, PeerReportArrived, ZoneReportArrived,
                   PeerCrashReported, ProcessesChanged, TimePassed, StopRequested>;

// Effects: what is to be done. --------------------------------------------------------------

/// Send the request to an upstream.
struct StartAttempt
{
    AttemptId attempt;
    AttemptPlan plan;
    bool parallel = false; ///< The attempt before goes on until this one's stream is relayed.
};

/// Give up an attempt: close its connection, pass on nothing more of it.
struct CancelAttempt
{
    AttemptId attempt;
};

/// Pass the events of this attempt on as they come, and no other's; its head first if none went
/// out yet.
struct RelayStream
{
    AttemptId attempt;
};

/// Hand the caller this attempt's whole answer.
struct ForwardResponse
{
    AttemptId attempt;
};

/// End the caller's stream as complete.
struct EndStream
{
    RequestId request = 0;
};

/// Close the caller's connection, so that the answer does not look complete.
struct AbortStream
{
    RequestId request = 0;
};

/// Answer the caller without an upstream.
struct SendLocalReply
{
    RequestId request = 0;
    LocalReply answer;
};

/// Ask the engine that runs the attempt to copy it to another engine.
struct RequestMigration
{
    AttemptId attempt;
    std::string from;            ///< IP:PORT.
    std::string to;              ///< IP:PORT.
    std::string callerRequestId; ///< The run's name at the engine.
    bool final = false;          ///< The run stops before the rest is copied.
};

/// Ask an engine for its report.
struct RequestEngineReport
{
    std::string upstream;
    std::string address; ///< IP:PORT.
};

/// Free a copy that is not needed any more.
struct ReleaseCopy
{
    std::string address; ///< IP:PORT.
    std::string handle;
};

/// Tell the peers that an upstream died while it ran a request of this fingerprint.
struct BroadcastCrash
{
    std::uint64_t fingerprint = 0;
    std::string upstream;
    std::uint64_t incarnation = 0;
};

/// Nothing more happens to this request.
struct RequestClosed
{
    RequestId request = 0;
};

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
