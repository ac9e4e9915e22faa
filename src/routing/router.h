#ifndef AZURESPINDLE_ROUTING_ROUTER_H
#define AZURESPINDLE_ROUTING_ROUTER_H

#include "decision/cold_start_limiter.h"
#include "decision/crash_suspects.h"
#include "decision/crash_tracker.h"
#include "decision/engine_choice.h"
#include "decision/fleet_retry_budget.h"
#include "decision/load_table.h"
#include "decision/output_forecast.h"
#include "decision/upstream_pauses.h"
#include "decision/upstream_rate_limits.h"
#include "decision/upstream_speeds.h"
#include "routing/internal/active_request.h"
#include "routing/router_events.h"
#include "routing/router_status.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace azurespindle::routing {

/// The state machine that routes requests: it selects an upstream for each request, retries failed
/// attempts, migrates running generations between engines, and rejects requests.
///
/// It performs no I/O and reads no clock, like decision::Dispatcher: handle() takes an event and
/// the time, and returns the actions to perform. It differs from the dispatcher in the capabilities
/// of the upstreams: they cannot look up a generation by name or resume it at an offset, but can
/// copy a running generation to another engine.
class Router
{
public:
    /// Interval at which TimePassed has to be sent.
    static constexpr milliseconds tickInterval {20};

    explicit Router(RouterOptions options);

    // Commands

    /// Processes an event. \return the actions to perform, in order.
    RouterEffects handle(const RouterEvent &event, Instant now);
    /// Returns this process's claims that changed since the last call, for the peers.
    std::vector<decision::UpstreamClaim> takeChangedClaims() { return this->loads.takeChanged(); }
    /// Returns the claims of the attempts that were started since the last call, for the members of
    /// this process's zone.
    std::vector<decision::UpstreamClaim> takePlacements()
    {
        return std::exchange(this->placements, {});
    }
    /// Records that this process's report \a number told \a claims to the peers.
    /// \param all true if the report listed all claims.
    void recordReport(std::uint64_t number, const std::vector<decision::UpstreamClaim> &claims,
                      bool all, Instant at)
    {
        this->loads.recordReport(number, claims, all, at);
    }
    /// Returns the recent observations of upstreams, for the peers, and drops the older ones.
    std::vector<UpstreamObservation> takeObservations(Instant at);
    /// Returns the latest observations, for a relay to pass on.
    /// \param furthest the furthest sources whose observations are returned.
    std::vector<UpstreamObservation> observationsToRelay(ObservationSource furthest,
                                                         Instant at) const;

    /// Returns the limits that this process read in responses, for the peers.
    /// \param all false to return nothing unless one changed since the last call.
    std::vector<decision::NamedLimit> takeOwnLimits(bool all, Instant at);
    /// Returns the limits that the processes of this zone read, for other zones; see
    /// takeOwnLimits().
    std::vector<decision::NamedLimit> takeZoneLimits(bool all, Instant at);
    /// Returns the limits that all processes read, for the members of a relay's zone; see
    /// takeOwnLimits().
    std::vector<decision::NamedLimit> takeFleetLimits(bool all, Instant at);

    /// Returns the speeds of upstreams, to take what has to be told to the peers.
    decision::UpstreamSpeeds &upstreamSpeeds() { return this->speeds; }

    // Queries

    RouterStatus status() const;
    const decision::UpstreamSpeeds &upstreamSpeeds() const { return this->speeds; }
    /// Returns the claims of this process.
    std::vector<decision::UpstreamClaim> claims() const { return this->loads.ownClaims(); }
    /// Returns the total claims of all processes of which this one hears.
    std::vector<decision::UpstreamClaim> allClaims() const { return this->loads.allClaims(); }
    /// Returns the total claims of this process and its peers.
    std::vector<decision::UpstreamClaim> claimsWithPeers() const
    {
        return this->loads.ownAndPeerClaims();
    }
    /// Returns the blocked prompt parts, for peers that may not know them.
    std::vector<decision::PartCrashes> blockedParts(Instant now) const
    {
        return this->crashSuspects.blockedParts(now);
    }
    /// Returns true if a limit that this process read has changed since takeOwnLimits().
    bool hasChangedLimits() const { return this->ownLimitsChanged; }
    const decision::FleetRetryBudget &fleetRetryBudget() const { return this->retryBudget; }
    /// Returns the errors of the output length forecasts by route.
    std::vector<decision::ForecastError> forecastErrors() const { return this->outputs.errors(); }
    /// Returns this process's request counts.
    std::vector<decision::RequestCounts> requestCounts(Instant now) const
    {
        return this->retryBudget.counts(now);
    }

private:
    using MigrationStage = internal::MigrationStage;
    using Migration = internal::Migration;
    using ParallelTakeover = internal::ParallelTakeover;
    using RunStop = internal::RunStop;
    using ActiveRequest = internal::ActiveRequest;
    using DrainNotice = internal::DrainNotice;
    using SuspectedCrash = internal::SuspectedCrash;
    using ConnectionLoss = internal::ConnectionLoss;
    using Stop = internal::Stop;
    using UpstreamWait = internal::UpstreamWait;
    using UnreachableZone = internal::UnreachableZone;
    using HeardObservation = internal::HeardObservation;

    void on(const RequestArrived &event);
    void on(const CallerLeft &event);
    void on(const HeadArrived &event);
    void on(const EventsArrived &event);
    void on(const ReadingPaused &event);
    void on(const AttemptEnded &event);
    void on(const MigrationResponseArrived &event);
    void on(const EngineReportArrived &event);
    void on(const FleetStateChanged &event);
    void on(const StoreAvailabilityChanged &event);
    void on(const PeerReportArrived &event);
    void on(const ZoneReportArrived &event);
    void on(const FleetReportArrived &event);
    void on(const PlacementsAnnounced &event);
    void on(const PeerCrashReported &event);
    void on(const ProcessesChanged &event);
    void on(const TimePassed &event);
    void on(const StopRequested &event);
    void on(const StopTimedOut &event);

    // Admission (router_admission.cpp)

    /// Resolves route, workspace and service of a request. \return the reply if it is rejected.
    std::optional<LocalReply> admit(ActiveRequest &arrived);
    /// Tries to place the queued requests, in order.
    void placeQueued();
    void enqueue(ActiveRequest &active);
    void dequeue(ActiveRequest &active);
    /// Returns what a request needs of an engine.
    decision::RequestDemand demandOf(const ActiveRequest &active) const;
    /// Returns the index of the best candidate with capacity, or nothing.
    std::optional<std::size_t>
    chooseCandidate(const ActiveRequest &active,
                    const std::vector<decision::UpstreamCandidate> &candidates);
    /// Returns true if an upstream other than the current one could serve the request now.
    bool hasAlternative(const ActiveRequest &active);
    /// Sends a request to an upstream. \return false if none has capacity.
    bool tryPlace(ActiveRequest &active);
    std::vector<decision::UpstreamCandidate> candidatesFor(const ActiveRequest &active) const;
    /// Returns an upstream as a candidate, with its load and its known problems.
    /// \param nearZone the zone whose upstreams are preferred.
    decision::UpstreamCandidate makeCandidate(const UpstreamRecord &record, const Service *service,
                                              const std::string &nearZone) const;
    /// Raises the load of upstreams in silent zones to at least the average of the others.
    void assumeSilentZonesBusy(std::vector<decision::UpstreamCandidate> &candidates) const;
    bool isEligible(const ActiveRequest &active, const UpstreamRecord &record) const;
    /// Returns true if an upstream may serve the request, apart from the rates that it bears.
    bool canServe(const ActiveRequest &active, const UpstreamRecord &record) const;
    /// Returns the time that a request may spend in the queue.
    static microseconds maxQueueTime(const ActiveRequest &active);
    /// Returns true if route and workspace permit the region of the upstream's zone.
    bool regionAllowed(const ActiveRequest &active, const UpstreamRecord &record) const;
    /// Rejects queued requests that waited too long, or whose service has no upstream.
    void rejectUnplaceable();
    milliseconds retryAfter(const ActiveRequest &active) const;
    /// Returns true if the process may end before the request does.
    bool outlastsStop(const ActiveRequest &active) const;
    /// Returns the time in which a request has to end: until its deadline or the end of the stop.
    microseconds timeLeft(const ActiveRequest &active) const;
    /// Returns the reply to a request that cannot be served before the process ends.
    LocalReply stoppingReply(const ActiveRequest &active) const;

    // Attempts (router_attempts.cpp)

    void startAttempt(ActiveRequest &active, const UpstreamRecord &upstream,
                      const decision::ResourceClaim &claim,
                      const std::optional<Takeover> &takeover);
    AttemptPlan makePlan(const ActiveRequest &active, const UpstreamRecord &upstream) const;
    void journalPlacement(const ActiveRequest &active, AttemptNumber number,
                          const AttemptPlan &plan);
    /// Starts a takeover at \a destination while the current attempt continues.
    /// \param source location of the copy, as in Takeover::source.
    void startParallelTakeover(ActiveRequest &active, const UpstreamRecord &destination,
                               const std::string &source);
    /// Replaces the current attempt by the parallel takeover.
    void promoteParallelTakeover(ActiveRequest &active, const ResponseHead &head);
    void handleParallelTakeoverFailure(ActiveRequest &active, AttemptEnd end,
                                       const std::string &detail);
    /// Removes the parallel takeover and its claim.
    void releaseParallelTakeover(ActiveRequest &active);
    /// Marks the current attempt as ended and releases its claims.
    void releaseUpstream(ActiveRequest &active);
    /// Cancels the current attempt and the parallel takeover.
    void cancelAttempts(ActiveRequest &active);
    /// Updates the longest pause between events, which is journaled when the request finishes.
    void recordPause(ActiveRequest &active) const;
    void handleAttemptEnd(ActiveRequest &active, AttemptEnd end, const std::string &detail);
    /// Handles the end of an attempt that was certainly not executed.
    void handleNotRun(ActiveRequest &active, AttemptEnd end, const std::string &detail);
    /// Handles a failed attempt that may have been executed.
    void handleMayHaveRun(ActiveRequest &active, AttemptEnd end, const std::string &detail);
    /// Handles the end of an attempt whose stream was forwarded.
    void handleStreamEnd(ActiveRequest &active, AttemptEnd end, const std::string &detail);
    /// Returns true if a request may be sent again although it may have been executed.
    bool canRetry(const ActiveRequest &active) const;
    void checkDeadline(ActiveRequest &active);
    /// Retries or recovers a request whose upstream has been silent for too long.
    void checkInactivity(ActiveRequest &active);

    // Ends of requests (router_completion.cpp)

    /// Returns true if a part of the response was forwarded, so that no other reply can be sent.
    static bool callerHasData(const ActiveRequest &active);
    /// Sends a local reply, or aborts the stream if a part of it was forwarded.
    void sendReply(ActiveRequest &active, LocalReply reply);
    void abortStream(ActiveRequest &active, const std::string &reason);
    /// Ends the caller's stream as complete.
    void completeStream(ActiveRequest &active);
    /// Ends a request because the process has to end: with a reply, unless its stream was
    /// forwarded.
    void endForStop(ActiveRequest &active);
    void finishRequest(ActiveRequest &active);
    void closeRequest(RequestId id);

    // Crashes (router_crashes.cpp)

    /// Returns the reply for a request that must not run as it or its prompt crashes upstreams, or
    /// nothing.
    std::optional<LocalReply> crashRejection(const ActiveRequest &active) const;
    /// Rejects a queued request if it must not run any more. \return true if it was rejected.
    bool rejectIfCrashing(ActiveRequest &active);
    /// Returns true if a lost request may crash a further upstream.
    bool mayCrashAgain(const ActiveRequest &active) const;
    /// Records that an answer to the request has begun.
    void clearParts(const ActiveRequest &active);
    void recordLoss(const std::string &upstream);
    /// Reports the prompt parts of lost attempts as soon as the losses look like crashes, since the
    /// store shows a crash only seconds later.
    void judgeLosses();
    /// Returns true if the upstream still runs other attempts, or was about to exit.
    bool survives(const SuspectedCrash &loss) const;
    /// Returns true if this process lost connections to other upstreams at the same moment.
    bool lostOthersWith(const SuspectedCrash &loss) const;
    void reportParts(SuspectedCrash &loss);
    void recordPartCrash(const CrashReport &crash);
    void mergeBlockedParts(const std::vector<decision::PartCrashes> &reports);
    void journalBlocked(const std::vector<decision::PromptPartId> &parts);
    /// Records that the current attempt may have crashed its upstream.
    void suspectCrash(const ActiveRequest &active);
    /// Reports the suspected crashes whose upstreams have disappeared or restarted.
    void confirmCrashes();

    // Limits that upstreams name (router_limits.cpp)

    /// Takes note of all that an upstream states of itself in the head of a response.
    /// \param sentAt time at which the request was sent.
    void noteStatements(const UpstreamRecord &upstream, const ResponseHead &head, Instant sentAt);
    /// Takes note that an upstream states that it is shutting down.
    void noteLeaving(const UpstreamRecord &upstream);
    void notePause(const UpstreamRecord &upstream, const ResponseHead &head);
    /// Records that an upstream is shutting down.
    /// \return its notice, or nullptr if a later lifetime of the upstream is known.
    DrainNotice *noteDrain(const std::string &upstream, std::uint64_t incarnation);
    /// Takes note of the limit that an upstream names in the head of a response, or of its end.
    /// \param sentAt time at which the request was sent.
    void noteLimit(const UpstreamRecord &upstream, const ResponseHead &head, Instant sentAt);
    void noteLimit(const decision::NamedLimit &limit, decision::LimitSource source);
    /// Returns the time until a request can be sent if all upstreams that could serve it name
    /// limits or want nothing for a while, or nothing if one takes requests now.
    /// \param ahead number of requests that take their turn before it.
    std::optional<UpstreamWait> waitForUpstreams(const ActiveRequest &active,
                                                 std::size_t ahead) const;
    /// Rejects the queued requests that the limits of their upstreams keep from being sent in time.
    void rejectBeyondLimits();

    // Migrations and takeovers (router_migrations.cpp, router_takeovers.cpp)

    /// Records that the current engine is draining, and asks it for a report the first time.
    void noteDraining(const ActiveRequest &active);
    /// Returns the time by which a generation has to leave its draining engine.
    Instant handoverDeadline(const ActiveRequest &active) const;
    std::optional<UpstreamRecord> chooseBackup(const ActiveRequest &active,
                                               const UpstreamRecord &upstream,
                                               const decision::ResourceClaim &claim);
    bool canUseBackup(const ActiveRequest &active) const;
    /// Returns true if the current attempt has run for long enough to have a backup copy.
    bool backupReady(const ActiveRequest &active) const;
    /// Gives up the backup copy and its claim.
    void releaseBackup(ActiveRequest &active);
    /// Returns true if the engine that stopped the generation can continue it.
    bool sourceCanContinue(const ActiveRequest &active) const;
    /// Asks an engine for its report while the publishing store is unavailable.
    void pollEngineReport(const ActiveRequest &active);
    /// Hands a generation over to the engine that holds its backup copy.
    void handOverToBackup(ActiveRequest &active, const std::string &reason);
    void startMigration(ActiveRequest &active, const std::string &reason);
    /// Starts a migration if the engine is draining or unavailable, or takes the next step of a
    /// current one.
    void advanceMigration(ActiveRequest &active);
    void chooseDestination(ActiveRequest &active);
    void onFirstCopyResponse(ActiveRequest &active, const MigrationResponse &response);

    // Hand-overs (router_handovers.cpp): a generation is stopped at its source before it continues
    // elsewhere.

    /// Asks the source to stop the generation and to copy the rest of it to the destination.
    void stopSource(ActiveRequest &active);
    void onStopResponse(ActiveRequest &active, const MigrationResponse &response);
    /// Reacts to the source's answer that it did not stop a generation that still streams.
    void onStopRefused(ActiveRequest &active);
    /// Asks a source that could not copy the generation to copy it to another engine.
    void askAgainToStop(ActiveRequest &active);
    /// Handles the end of an attempt that a migration leaves and whose stream was not forwarded.
    /// \return true if the migration goes on, false if there is none or it cannot.
    bool continueWithoutSource(ActiveRequest &active, AttemptEnd end);
    /// Continues at the destination, or ends the request, once the source's stream has ended or the
    /// source turns out to be unreachable.
    void advanceStop(ActiveRequest &active);
    /// Continues a generation that works at its source no longer, from the best copy there is.
    void continueElsewhere(ActiveRequest &active);
    void takeOverEarlierCopy(ActiveRequest &active);
    /// Continues without the earlier copy, which the destination could not use.
    void onEarlierCopyRefused(ActiveRequest &active);
    /// Gives up a takeover that brings nothing, if the source can continue instead.
    void checkTakeoverTime(ActiveRequest &active);
    /// Starts a takeover of the copy \a handle, which the engine \a source holds since it stopped
    /// the generation.
    void takeOver(ActiveRequest &active, const UpstreamRecord &destination,
                  const UpstreamRecord &source, const std::string &handle);

    // Confirmation that runs have stopped (router_run_stops.cpp)

    /// Asks an engine to stop a run, again and again until it confirms that.
    void stopRun(const ActiveRequest &active, AttemptNumber attempt, const UpstreamRecord &engine,
                 const std::string &destination);
    /// Notes the current attempt, which ended without its engine's confirmation.
    void noteUnconfirmedEnd(ActiveRequest &active);
    void emitRunStop(const RunStop &stop);
    /// Asks the engines again that have not confirmed a stop.
    void repeatRunStops();
    /// Takes note of an engine's answer to a request to stop a run.
    /// \param awaited false if nothing uses the copy that the engine made; it is released.
    void noteRunStopAnswer(const MigrationResponseArrived &event, bool awaited);
    /// Asks for the stop of a run no longer, as the run continues.
    void forgetRunStop(const AttemptId &attempt);

    void handleTakeoverFailure(ActiveRequest &active, AttemptEnd end, const std::string &detail);
    /// Tries to migrate a generation whose stream broke or became silent. \return false if this is
    /// not possible.
    bool recoverGeneration(ActiveRequest &active, const std::string &reason);
    void discardMigration(ActiveRequest &active, bool releaseCopy);
    bool canMigrate(const ActiveRequest &active) const;
    bool sourceUnavailable(const ActiveRequest &active) const;
    /// Returns the time that a copy of \a tokens takes on the engine's link.
    microseconds copyDuration(const ActiveRequest &active, Tokens tokens) const;
    /// Returns the claim of a generation on an engine, given its output so far.
    decision::ResourceClaim currentClaim(const ActiveRequest &active) const;
    /// Updates the claims of the generation and its backup copy to its output so far.
    void updateClaim(ActiveRequest &active);

    // Speeds of upstreams (router_speeds.cpp)

    /// Passes on changes of the upstreams and of the configuration.
    void setSpeedInputs(const FleetState &previous);
    /// Returns the shortest pause between events that a service's streams permit; 0: not stated.
    milliseconds gapObjectiveOf(const std::string &service) const;
    /// \param resumed true if the events are the first after an interruption.
    void observePace(ActiveRequest &active, std::uint32_t count, bool resumed);
    /// Observes the time of a complete response.
    void observeResponse(const ActiveRequest &active);
    void updateSpeeds();
    void noteRejectedSpeeds(const std::string &sender, std::size_t rejected);

    /// Records a failure to reach an upstream, whose zone may be partitioned off.
    void noteUnreachable(const UpstreamRecord &upstream);
    /// Returns true if an upstream failed recently, or if its zone is silent or may be partitioned.
    bool isUnreliable(const UpstreamRecord &record) const;
    /// Returns true for another zone from which no report arrived lately.
    bool isSilentZone(const std::string &zone) const;
    /// Stores an observation of this process for the peers.
    void recordObservation(const UpstreamObservation &observation);
    /// Applies an observation of this process or of a peer.
    void applyObservation(const UpstreamObservation &observation, ObservationSource source);
    /// Returns true if an upstream is draining or has refused a connection recently.
    bool isUnavailable(const UpstreamRecord &record) const;
    /// Returns true if a running generation may continue at an upstream: its zone is not evacuated,
    /// and it has not been draining for long.
    bool acceptsTakeover(const UpstreamRecord &record) const;
    ActiveRequest *findRequest(RequestId id);
    /// Returns the ids of all active requests in ascending order. A caller that ends requests has
    /// to look each one up again.
    std::vector<RequestId> activeRequestIds() const;
    /// Returns the request whose current attempt is \a attempt, or nullptr.
    ActiveRequest *findByCurrentAttempt(const AttemptId &attempt);
    const UpstreamRecord *findUpstream(const std::string &id) const;
    /// Returns the number of output tokens that the caller has received.
    static Tokens producedTokens(const ActiveRequest &active);
    /// Returns what is known of a request's output before it begins.
    static decision::OutputRequest outputOf(const ActiveRequest &active);
    /// Returns the forecast of the output after its first \a produced tokens.
    decision::OutputForecast outputForecast(const ActiveRequest &active, Tokens produced) const;
    /// Forecasts the output of a request that is about to be placed for the first time.
    void beginOutput(ActiveRequest &active);
    /// Tells the forecasts how far an output has grown.
    void recordOutput(ActiveRequest &active);
    void emit(RouterEffect effect) { this->effects.push_back(std::move(effect)); }
    /// Writes a journal entry about a request.
    void journal(const ActiveRequest &active, journal::EventId id,
                 std::vector<journal::Field> fields);
    /// Returns a number that breaks ties between equally good upstreams.
    std::uint64_t nextTieBreaker();

    const RouterOptions options;
    Instant now; ///< Time of the event being handled.
    RouterEffects effects;
    std::shared_ptr<const FleetState> state = std::make_shared<FleetState>();
    std::map<std::string, Instant> coldUntil; ///< End of the warm-up time by upstream.
    std::unordered_map<std::string, Instant> unreliableUntil;  ///< By upstream.
    std::unordered_map<std::string, DrainNotice> drainNotices; ///< By engine.
    std::unordered_map<std::string, Instant> drainingSince;    ///< Published drains by upstream.
    std::unordered_map<std::string, Instant> connectionRefusedUntil; ///< By upstream.
    std::unordered_map<std::string, Instant> reportRequestedAt;      ///< By engine.
    std::vector<std::pair<Instant, UpstreamObservation>> observations;
    /// Observations that a relay passes on, by upstream.
    std::unordered_map<std::string, HeardObservation> heardObservations;
    /// Number of upstreams by service; kept while an upstream is cold.
    std::map<std::string, std::size_t> upstreamsOfService;
    bool storeUnavailable = false;
    std::size_t processCount = 1;
    std::set<std::string> silentZones;
    std::map<std::string, UnreachableZone> unreachableZones;
    std::unordered_map<RequestId, ActiveRequest> activeRequests;
    std::vector<RequestId> queue; ///< Queued requests by priority and time of arrival.
    decision::LoadTable loads;
    std::vector<decision::UpstreamClaim> placements; ///< See takePlacements().
    decision::FleetRetryBudget retryBudget;
    decision::ColdStartLimiter coldStartLimiter;
    decision::UpstreamRateLimits rateLimits;
    decision::UpstreamPauses pauses;
    decision::UpstreamSpeeds speeds;
    std::map<std::string, milliseconds> gapObjectives; ///< Strictest one by service.
    bool ownLimitsChanged = false;                     ///< See takeOwnLimits().
    bool zoneLimitsChanged = false;                    ///< See takeZoneLimits().
    bool fleetLimitsChanged = false;                   ///< See takeFleetLimits().
    decision::CrashTracker crashes;
    decision::CrashSuspects crashSuspects;
    std::vector<ConnectionLoss> recentLosses;
    decision::OutputForecaster outputs;
    std::vector<SuspectedCrash> suspectedCrashes;
    std::vector<RunStop> runStops; ///< Also of requests that have ended.
    RouterStatus counters;
    std::uint64_t tieBreakCounter = 0;
    std::optional<Stop> stop; ///< Set while the process is stopping.
};

} // namespace azurespindle::routing

#endif
