#ifndef AZURESPINDLE_ROUTING_ROUTER_H
#define AZURESPINDLE_ROUTING_ROUTER_H

#include "decision/cold_start_limiter.h"
#include "decision/crash_tracker.h"
#include "decision/engine_choice.h"
#include "decision/fleet_retry_budget.h"
#include "decision/length_forecast.h"
#include "decision/load_table.h"
#include "routing/router_events.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace azurespindle::routing {

struct RouterOptions
{
    std::string zone; ///< Of this process.
    std::map<std::string, std::string> regionOfZone;
    std::uint64_t seed = 0; ///< Spreads the choices of processes that know the same.
    decision::FleetRetryLimits arrivals;
};

/// What a router holds, for `azurespindle status` and the metrics.
struct RouterStatus
{
    std::size_t openRequests = 0;
    std::size_t queuedRequests = 0;
    std::size_t migratingGenerations = 0;
    std::uint64_t migrationsStarted = 0;
    std::uint64_t migrationsCompleted = 0;
    std::uint64_t generationsLost = 0;
};

/// Decides what becomes of each routed request: which upstream it goes to and when, what is tried
/// again, which running generation moves to another engine, what is refused.
///
/// Pure, like decision::Dispatcher: handle() is told the event and the time, and returns what is to
/// be done. It differs from the dispatcher in what it can ask of upstreams: engines here know no
/// generations by name and no offsets, but can hand a running one to another engine.
class Router
{
public:
    static constexpr milliseconds tickInterval {20};
    /// Routes whose output lengths are remembered.
    static constexpr std::size_t maxForecasts = 256;

    explicit Router(RouterOptions options);

    // Commands

    RouterEffects handle(const RouterEvent &event, Instant now);
    /// Takes the own claims that changed since the last call, for the peers.
    std::vector<decision::UpstreamClaim> takeChangedClaims() { return this->loads.takeChanged(); }
    /// Takes what was found out about upstreams lately, for the peers.
    std::vector<UpstreamObservation> takeObservations(Instant at);

    // Queries

    RouterStatus status() const;
    std::vector<decision::UpstreamClaim> claims() const { return this->loads.ownClaims(); }
    /// Returns what this process and its peers have under way together.
    std::vector<decision::UpstreamClaim> claimsWithPeers() const
    {
        return this->loads.ownAndPeerClaims();
    }
    const decision::FleetRetryBudget &arrivalBudget() const { return this->budget; }
    std::vector<decision::RequestCounts> arrivals(Instant now) const
    {
        return this->budget.counts(now);
    }

private:
    enum class MoveStage {
        Choosing, ///< No destination yet, or the last one had no room.
        Copying,  ///< A first copy is under way while the generation runs.
        Copied,   ///< The first copy is there; the last part waits for its time.
        Handing,  ///< The destination goes on from the first copy, beside the run.
        Stopping, ///< The run is told to stop and copy the rest.
        Stopped,  ///< All is copied; the last events of the old stream are awaited.
    };

    /// A running generation on its way to another engine.
    struct Move
    {
        MoveStage stage = MoveStage::Choosing;
        std::string reason;
        UpstreamRecord to;
        decision::ResourceClaim claim; ///< At the destination.
        Instant since;
        Instant nextTry;
        Instant finalDue;
        Instant stoppedAt;
        std::string handle;
        bool stopAtOnce = false;   ///< No copy while it runs: nothing is heard of it anyway.
        bool handedInVain = false; ///< The destination could not go on from the first copy.
        bool sourceEnded = false;
        bool sourceComplete = false;
        std::uint32_t failures = 0;
        std::vector<std::string> refusedBy;
    };

    /// A takeover from a copy, begun while the run itself still streams: should the copy not be
    /// there, nothing is lost.
    struct Beside
    {
        AttemptNumber number = 0;
        UpstreamRecord upstream;
        decision::ResourceClaim claim;
        bool fromMove = false; ///< From a move's first copy, not from one kept beforehand.
    };

    struct Open
    {
        RequestId id = 0;
        std::shared_ptr<const RoutedRequest> request;
        std::shared_ptr<const RouteTable> table; ///< Keeps route and service alive.
        const Route *route = nullptr;
        const Service *service = nullptr;
        std::string serviceName;
        std::string workspace;
        std::vector<std::string> workspaceRegions;
        std::uint32_t priority = 0;
        std::uint64_t fingerprint = 0;
        Instant arrived;
        Instant deadline;
        bool queued = false;
        Instant queuedAt;

        AttemptNumber lastNumber = 0; ///< Of the attempts so far.
        AttemptNumber attempt = 0;    ///< The present one.
        std::optional<Beside> beside;
        Instant besideNotBefore;
        bool running = false;
        UpstreamRecord upstream;
        decision::ResourceClaim claim;
        std::optional<UpstreamRecord> backup; ///< Engine that keeps a copy as the run grows.
        decision::ResourceClaim backupClaim;
        Instant started;
        Instant lastHeard;
        ResponseHead head;
        bool headSeen = false;
        bool isTakeover = false;
        Takeover takeover;
        std::string takeoverOrigin; ///< IP:PORT where the copy also lies; empty: nowhere.

        std::uint32_t arrivals = 0; ///< Sends that may have reached an upstream.
        std::uint32_t tries = 0;
        std::vector<std::string> ranOn;   ///< Upstreams that may have run it.
        std::vector<std::string> avoided; ///< Upstreams that are not to be tried again.

        bool relaying = false;
        bool resuming = false; ///< Its stream goes on, and no event has come since.
        Instant firstEvent;
        Instant lastEvent;
        microseconds longestPause {0};       ///< Between two events that were passed on.
        std::uint64_t longestPauseAfter = 0; ///< Events passed on before that pause.
        std::uint64_t events = 0;
        std::uint64_t lastEventId = 0;
        Instant begun; ///< First event of the present attempt.
        std::optional<Move> move;
        Instant nextRescue;
        std::uint64_t claimedAt = 0; ///< Events made when the claim was last reckoned.
    };

    /// What is known of an engine that leaves.
    struct Leaving
    {
        Instant noticed;
        std::optional<Instant> gone; ///< When it will be gone, if it says so.
        std::uint64_t incarnation = 0;
    };

    /// A lost attempt whose upstream may have died of it.
    struct UnresolvedLoss
    {
        std::uint64_t fingerprint = 0;
        RequestId request = 0;
        std::string upstream;
        std::uint64_t incarnation = 0;
        Instant at;
    };

    /// Upstreams of one zone that could not be reached lately.
    struct Unreachable
    {
        std::string first; ///< The upstream that was not reached at first.
        Instant since;
        Instant until; ///< The zone is taken for cut off until then.
    };

    void on(const RequestArrived &event);
    void on(const CallerLeft &event);
    void on(const HeadArrived &event);
    void on(const EventsArrived &event);
    void on(const AttemptEnded &event);
    void on(const MigrationResponseArrived &event);
    void on(const EngineReportArrived &event);
    void on(const FleetStateChanged &event);
    void on(const StoreAvailabilityChanged &event);
    void on(const PeerReportArrived &event);
    void on(const ZoneReportArrived &event);
    void on(const PeerCrashReported &event);
    void on(const ProcessesChanged &event);
    void on(const TimePassed &event);
    void on(const StopRequested &event);

    // Admission (router_admission.cpp)
    std::optional<LocalReply> resolve(Open &arrived);
    void dispatch();
    void enqueue(Open &open);
    void unqueue(Open &open);
    bool tryPlace(Open &open);
    std::vector<decision::UpstreamCandidate> candidatesFor(const Open &open) const;
    /// Returns an upstream as a candidate, with what is claimed of it and known against it.
    decision::UpstreamCandidate candidate(const UpstreamRecord &record, const Service *service,
                                          const std::string &nearZone) const;
    /// Takes upstreams of zones that are not heard to be as busy as those here.
    void assumeUnheardZonesBusy(std::vector<decision::UpstreamCandidate> &candidates) const;
    bool usable(const Open &open, const UpstreamRecord &record) const;
    /// Returns true if the homes of route and workspace let the request go to the upstream's zone.
    bool isHome(const Open &open, const UpstreamRecord &record) const;
    void refuseHopeless();
    milliseconds retryAfter(const Open &open) const;

    // Attempts (router_attempts.cpp)
    void start(Open &open, const UpstreamRecord &upstream, const decision::ResourceClaim &claim,
               const std::optional<Takeover> &takeover);
    AttemptPlan planFor(const Open &open, const UpstreamRecord &upstream) const;
    void journalPlaced(const Open &open, AttemptNumber number, const AttemptPlan &plan);
    /// Begins a takeover at \a to beside the run, from the copy that \a source names.
    void startBeside(Open &open, const UpstreamRecord &to, const std::string &source,
                     bool fromMove);
    void promoteBeside(Open &open, const ResponseHead &head);
    void endBeside(Open &open, AttemptEnd end, const std::string &detail);
    void dropBeside(Open &open);
    void leaveUpstream(Open &open);
    void cancel(Open &open);
    /// Keeps the longest pause of a stream, for the line that tells of its end.
    void notePause(Open &open) const;
    void conclude(Open &open, AttemptEnd end, const std::string &detail);
    void concludeUnrun(Open &open, AttemptEnd end, const std::string &detail);
    void concludeMayHaveRun(Open &open, AttemptEnd end, const std::string &detail);
    void concludeStream(Open &open, AttemptEnd end, const std::string &detail);
    bool mayRunAgain(const Open &open) const;
    void checkTime(Open &open);
    void checkSilence(Open &open);
    void answer(Open &open, LocalReply answer);
    void breakOff(Open &open, const std::string &reason);
    void finish(Open &open);
    void close(RequestId id);
    void blameFor(const Open &open);
    void resolveLosses();

    // Moves (router_moves.cpp)
    void noteLeaving(const Open &open);
    Instant latestHandover(const Open &open) const;
    std::optional<UpstreamRecord> chooseBackup(const Open &open, const UpstreamRecord &upstream,
                                               const decision::ResourceClaim &claim);
    bool backupUsable(const Open &open) const;
    /// Returns true once a copy that grows with the run can be there.
    bool backupSettled(const Open &open) const;
    void watchWithoutPublisher(const Open &open);
    void goOnFromBackup(Open &open);
    void beginMove(Open &open, const std::string &reason);
    void checkMove(Open &open);
    void chooseDestination(Open &open);
    void handOver(Open &open);
    void askFinal(Open &open);
    void onCopied(Open &open, const MigrationResponse &answer);
    void onFinal(Open &open, const MigrationResponse &answer);
    void takeOver(Open &open, const UpstreamRecord &to, const std::string &origin,
                  const std::string &handle);
    void concludeTakeover(Open &open, AttemptEnd end, const std::string &detail);
    /// Tries to take over a generation whose stream broke or fell silent, from its engine's memory.
    bool rescue(Open &open, const std::string &reason);
    void dropMove(Open &open, bool freeCopy);
    bool movable(const Open &open) const;
    bool sourceLeaves(const Open &open) const;
    microseconds copyTime(const Open &open, Tokens tokens) const;
    decision::ResourceClaim movedClaim(const Open &open) const;
    /// Claims for a run, and for the copy kept of it, what it holds and will hold by now.
    void growClaim(Open &open);

    /// Notes that an upstream could not be reached; its zone may be cut off.
    void noteUnreachable(const UpstreamRecord &upstream);
    /// Returns true for an upstream that failed lately, or whose zone may be cut off.
    bool troubled(const UpstreamRecord &record) const;
    bool unheard(const std::string &zone) const;
    /// Notes what was found out about an upstream, for the peers.
    void note(const UpstreamObservation &note);
    /// Heeds what was found out, here or by a peer.
    void heed(const UpstreamObservation &note);
    /// Returns true for an upstream that leaves, or at whose address nothing listens.
    bool goesAway(const UpstreamRecord &record) const;
    /// Returns true if a request may be sent there although it is not new: its zone is not
    /// evacuated, and it has not been leaving for long.
    bool mayReceive(const UpstreamRecord &record) const;
    Open *find(RequestId id);
    Open *findCurrent(const AttemptId &attempt);
    const UpstreamRecord *record(const std::string &id) const;
    /// Returns how many more tokens the request is expected to make after \a made.
    Tokens expectedOutput(const Open &open, Tokens made) const;
    void emit(RouterEffect effect) { this->effects.push_back(std::move(effect)); }
    void journal(const Open &open, journal::EventId id, std::vector<journal::Field> fields);
    std::uint64_t nextTurn();

    const RouterOptions options;
    Instant now;
    RouterEffects effects;
    std::shared_ptr<const FleetState> state = std::make_shared<FleetState>();
    std::map<std::string, Instant> coldUntil; ///< By upstream.
    std::unordered_map<std::string, Instant> troubledUntil;
    std::unordered_map<std::string, Leaving> leaving;      ///< Engines known to leave.
    std::unordered_map<std::string, Instant> leavingSince; ///< By upstream, as published.
    std::unordered_map<std::string, Instant> refusingUntil;
    std::unordered_map<std::string, Instant> reportAsked;
    std::vector<std::pair<Instant, UpstreamObservation>> notes;
    bool publisherAway = false;
    std::set<std::string> unheardZones;
    std::map<std::string, Unreachable> unreachable; ///< By zone.
    std::unordered_map<RequestId, Open> open;
    std::vector<RequestId> queue; ///< In the order in which they are tried.
    decision::LoadTable loads;
    decision::FleetRetryBudget budget;
    decision::ColdStartLimiter coldShare;
    decision::CrashTracker crashes;
    RecentMap<std::string, decision::LengthForecast> forecasts {maxForecasts}; ///< By route.
    std::vector<UnresolvedLoss> losses;
    RouterStatus counts;
    std::uint64_t turn = 0;
    bool stopping = false;
};

} // namespace azurespindle::routing

#endif
