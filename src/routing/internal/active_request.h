#ifndef AZURESPINDLE_ROUTING_INTERNAL_ACTIVE_REQUEST_H
#define AZURESPINDLE_ROUTING_INTERNAL_ACTIVE_REQUEST_H

// State that a Router keeps of its requests and of its upstreams.

#include "decision/engine_choice.h"
#include "decision/load_table.h"
#include "decision/output_forecast.h"
#include "decision/stream_pace.h"
#include "routing/router_events.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace azurespindle::routing::internal {

/// How far the migration of a generation is.
enum class MigrationStage {
    ChoosingDestination, ///< No destination is chosen, or the last one had no capacity.
    Copying,             ///< The first copy is in progress while the generation continues.
    Copied,              ///< The first copy is complete.
    Stopping,            ///< The source was asked to stop the generation and copy the rest.
    Stopped,             ///< The source has stopped; its last events may still arrive.
    TakingOver,          ///< The destination was asked to continue from the earlier copy.
};

/// The migration of a running generation to another engine.
struct Migration
{
    MigrationStage stage = MigrationStage::ChoosingDestination;
    std::string reason;
    UpstreamRecord source;
    AttemptNumber sourceAttempt = 0; ///< Attempt that runs, or ran, at the source.
    UpstreamRecord destination;      ///< Engine that the source copies the generation to.
    decision::ResourceClaim claim;   ///< Claim on the destination.
    Instant startedAt;
    Instant retryAt;         ///< Earliest time of the next choice of a destination.
    Instant finalCopyAt;     ///< Time at which the link is expected to be free for the final copy.
    Instant stopRequestedAt; ///< Time at which the source was asked to stop the generation.
    Instant stoppedAt;       ///< Time at which the source stated that it had stopped it.
    std::string handle;      ///< Handle of the latest copy; empty if there is none.
    /// Location, as in Takeover::source, of a copy that was made while the generation ran: its
    /// backup or its first copy. Empty if there is none.
    std::string earlierCopy;
    UpstreamRecord earlierCopyHolder; ///< Engine that holds \a earlierCopy.
    /// The source's answer to the request to stop; nothing while there is none.
    std::optional<MigrationStatus> stopStatus;
    /// True if the source is stopped without a first copy, as its stream is silent anyway.
    bool stopImmediately = false;
    bool sourceEnded = false;     ///< True if the source's stream has ended.
    bool endedUnasked = false;    ///< True if it had ended before the source was asked to stop.
    bool sourceCompleted = false; ///< True if the source's stream ended as complete.
    std::uint32_t failures = 0;   ///< Number of failed copies, up to maxFailures.
    /// Destinations that lacked capacity or became unusable.
    std::vector<std::string> rejectedBy;
};

/// An attempt that takes a generation over from a copy while the current attempt, whose engine
/// cannot be reached, has not ended. If the copy turns out to be missing, the current attempt
/// simply continues.
struct ParallelTakeover
{
    AttemptNumber number = 0;
    UpstreamRecord upstream;
    decision::ResourceClaim claim;
    Instant startedAt {};
};

/// A run at an engine that the generation leaves, until the engine has confirmed that it works on
/// it no longer. A closed connection does not confirm that.
struct RunStop
{
    AttemptId attempt;
    UpstreamRecord engine;
    std::string destination; ///< IP:PORT of the engine that the generation continues at.
    std::string callerRequestId;
    Instant until; ///< Time at which the run ends in any case.
    Instant askAgainAt;
    bool answerPending = true;
    std::uint32_t failures = 0; ///< Number of requests without a confirmation.
};

/// An attempt that ended without a confirmation from its engine, which may work on it still.
struct UnconfirmedEnd
{
    AttemptNumber attempt = 0;
    UpstreamRecord engine;
};

/// A request from its arrival until RequestClosed.
struct ActiveRequest
{
    RequestId id = 0;
    std::shared_ptr<const RoutedRequest> request;
    std::shared_ptr<const RouteTable> routeTable; ///< Owns \a route and \a service.
    const Route *route = nullptr;
    const Service *service = nullptr;
    std::string serviceName;
    std::string workspace;
    std::vector<std::string> workspaceRegions;
    std::uint32_t priority = 0; ///< Priority in the queue; 0 is the most urgent.
    std::uint64_t fingerprint = 0;
    /// Parts of the prompt that other requests may share: all but the last.
    std::vector<decision::PromptPartId> sharedParts;
    Instant arrivedAt;
    Instant deadline;
    bool queued = false;
    Instant queuedAt;

    AttemptNumber lastAttempt = 0; ///< Highest attempt number used so far.
    AttemptNumber attempt = 0;     ///< Number of the current attempt.
    std::optional<ParallelTakeover> parallel;
    Instant nextParallelTakeover;         ///< Earliest time of the next parallel takeover.
    bool running = false;                 ///< True from the start of an attempt to its end.
    UpstreamRecord upstream;              ///< Upstream of the current or last attempt.
    decision::ResourceClaim claim;        ///< Claim on \a upstream.
    std::optional<UpstreamRecord> backup; ///< Engine that holds a copy as generation proceeds.
    decision::ResourceClaim backupClaim;  ///< Claim on \a backup.
    Instant attemptStartedAt;
    std::uint32_t attemptsAtStart = 0; ///< Attempts at the upstream then, with the current one.
    decision::StreamPace pace;         ///< Of the current attempt's events.
    Instant lastActivityAt; ///< Time at which the current attempt started or last sent data.
    ResponseHead head;
    bool headReceived = false;
    bool readingPaused = false; ///< This process does not read the response at present.
    bool isTakeover = false;    ///< True if the current attempt continues from a copy.
    Takeover takeover;
    /// The engine that stopped the generation and can continue it if the current attempt fails.
    std::optional<UpstreamRecord> takeoverSource;
    /// The last attempt, if its engine has to be asked to stop it before the request is sent on.
    std::optional<UnconfirmedEnd> unconfirmedEnd;

    std::uint32_t possibleDeliveries = 0; ///< Attempts that may have reached an upstream.
    std::uint32_t attemptCount = 0;
    std::vector<std::string> mayHaveRunOn; ///< Upstreams that may have executed the request.
    std::vector<std::string> excluded;     ///< Upstreams that did not accept the request.

    bool relaying = false;            ///< True once a stream is forwarded to the caller.
    AttemptNumber relayedAttempt = 0; ///< Last attempt whose stream was forwarded; 0: none.
    bool resuming = false; ///< True until a new attempt of a forwarded stream sends events.
    /// Attempts in a row that took the stream over and ended without a new event.
    std::uint32_t fruitlessTakeovers = 0;
    Instant firstEventAt;
    Instant lastEventAt;
    microseconds longestPause {0};       ///< Longest pause between two forwarded events.
    std::uint64_t longestPauseAfter = 0; ///< Number of events forwarded before that pause.
    std::uint64_t eventCount = 0;        ///< Number of events forwarded to the caller.
    std::uint64_t lastEventId = 0;
    /// Time of the first event of the current attempt; nothing before it.
    std::optional<Instant> attemptFirstEventAt;
    std::optional<Migration> migration;
    Instant nextRecoveryAt; ///< Earliest time of the next recovery of a silent stream.
    std::uint64_t claimUpdatedAtEvent = 0; ///< Event count at the last update of the claim.
    /// Forecast when the output began; nothing if this process does not see all of an output.
    std::optional<decision::InitialForecast> initialForecast;
    Tokens recordedOutput = 0; ///< Output of which the forecasts have been told, in tokens.
};

/// Returns true if the stream of the current attempt was forwarded.
inline bool relayedCurrentAttempt(const ActiveRequest &active)
{
    return active.relayedAttempt == active.attempt;
}

/// Returns true if a migration moves the generation away from its current attempt. Otherwise the
/// current attempt, if there is a migration, is its takeover.
inline bool leavesCurrentAttempt(const ActiveRequest &active)
{
    return active.migration && active.migration->sourceAttempt == active.attempt;
}

/// Knowledge that an engine is shutting down.
struct DrainNotice
{
    Instant noticedAt;
    std::optional<Instant> exitsAt; ///< Time at which the engine exits, if it reports one.
    std::uint64_t incarnation = 0;
    /// True if the engine stated it in a response: it holds as long as the engine lives.
    bool stated = false;
    bool reportRequested = false; ///< True if the engine was asked when it exits.
};

/// A lost attempt that may have crashed its upstream.
struct SuspectedCrash
{
    std::uint64_t fingerprint = 0;
    RequestId request = 0;
    std::string upstream;
    std::uint64_t incarnation = 0;
    Instant lostAt;
    std::vector<decision::PromptPartId> parts;
    bool partsJudged = false; ///< True once it is settled whether a crash lost the parts.
};

/// The end of a connection to an upstream before the response was complete.
struct ConnectionLoss
{
    Instant at;
    std::string upstream;
};

/// How long a request has to wait for upstreams that take none now.
struct UpstreamWait
{
    microseconds time {0};
    bool isPause = false; ///< True if it ends with a pause, whose end the upstream stated.
};

/// The time span in which the process stops.
struct Stop
{
    Instant requestedAt;
    Instant endsAt;
};

/// An observation that a relay passes on.
struct HeardObservation
{
    Instant heardAt; ///< Time at which its condition was first heard.
    UpstreamObservation observation;
    ObservationSource source = ObservationSource::Self;
};

/// Connection failures to the upstreams of one zone.
struct UnreachableZone
{
    std::string firstUpstream; ///< First upstream of the current series of failures.
    Instant lastFailureAt;
    Instant partitionedUntil; ///< Time until which the zone is assumed to be partitioned off.
};

} // namespace azurespindle::routing::internal

#endif
