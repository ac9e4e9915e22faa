#ifndef AZURESPINDLE_DECISION_DISPATCHER_H
#define AZURESPINDLE_DECISION_DISPATCHER_H

#include "decision/crash_tracker.h"
#include "decision/events.h"
#include "decision/fair_queue.h"
#include "decision/length_forecast.h"
#include "decision/memory_profile.h"
#include "decision/placement.h"
#include "decision/retry_budget.h"
#include "decision/share_meter.h"
#include "decision/upstream_table.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace azurespindle::decision {

/// Settings of a dispatcher.
struct DispatcherOptions
{
    PlacementPolicy placement = expectedMemoryPlacement();
    bool leasing = true; ///< If false, every upstream is used without leases, at its maximum.
    double memoryDeviations = 1.0;   ///< Safety margin on memory, in standard deviations.
    milliseconds maxCacheWait {250}; ///< Longest wait for an engine with the prompt cached.
    milliseconds firstTokenTimeout {30'000};
    milliseconds gapTimeout {3'000};   ///< Timeout between two tokens.
    milliseconds callTimeout {60'000}; ///< Timeout of a plain service call.
};

/// State of a dispatcher, as shown by `azurespindle status`.
struct DispatcherStatus
{
    std::size_t running = 0;
    std::size_t queued = 0;
    std::vector<Upstream> upstreams;
};

/// Schedules the requests of one pool, which consists of the upstreams of one model or plain
/// service: it decides which request runs where, when, and how often.
///
/// The class is deterministic. handle() takes an event and the current time and returns the actions
/// to perform. It reads no clock, performs no I/O and starts no threads, so that the server, the
/// replay of recorded sessions, the failure tests and the benchmarks all use the same class. It is
/// not thread-safe; its owner must lock it.
///
///     Dispatcher dispatcher({});
///     Effects effects = dispatcher.handle(RequestArrived {request}, now);
class Dispatcher
{
public:
    explicit Dispatcher(DispatcherOptions options);

    // Commands

    /// Processes an event that occurred at \a now, which must not decrease between calls.
    /// \return the actions to perform, in order.
    Effects handle(const Event &event, Instant now);

    // Queries

    DispatcherStatus status() const;
    /// Returns the number of requests that are queued or running.
    std::size_t openRequests() const { return this->open.size(); }
    const LengthForecast &lengthForecast() const { return this->forecast; }

    /// Tokens charged to a workspace for each prompt token; an output token counts as 1.
    static constexpr double promptCost = 0.25;
    static constexpr milliseconds tickInterval {50};
    /// Renewal interval of the lease of a warm and healthy upstream with free slots.
    static constexpr milliseconds leaseInterval {2'500};
    /// Renewal interval while the upstream is cold or unhealthy, or the lease is used up.
    static constexpr milliseconds rampingLeaseInterval {250};
    /// Renewal interval of contended leases: the maximum of contendedLeaseInterval and of
    /// contendedLeaseIntervalPerUpstream times the number of serving upstreams, so that the lease
    /// traffic does not grow with their number.
    static constexpr milliseconds contendedLeaseInterval {500};
    static constexpr milliseconds contendedLeaseIntervalPerUpstream {250};
    /// Renewal interval while requests are queued, unless the lease is contended.
    static constexpr milliseconds urgentLeaseInterval {20};
    static constexpr std::uint32_t maxStarts = 3;  ///< Upstreams on which a request may be started.
    static constexpr std::uint32_t maxResumes = 8; ///< Consecutive resumes without a new token.
    /// Consecutive resumes that failed to connect.
    static constexpr std::uint32_t maxConnectFailures = 3;

private:
    /// A request that is queued or running.
    struct OpenRequest
    {
        Request request;
        bool running = false;
        AttemptNumber attempt = 0;
        std::uint32_t starts = 0;          ///< Upstreams on which it was started.
        std::uint32_t resumes = 0;         ///< Resumes since the last token.
        std::uint32_t connectFailures = 0; ///< Consecutive resumes that failed to connect.
        std::string upstream;
        std::string generation;
        /// Boot number of the upstream at the start; 0 if it had not reported one.
        std::uint64_t boot = 0;
        Tokens received = 0;        ///< Tokens of the generation received so far.
        Tokens receivedAtCrash = 0; ///< Largest number of tokens received by a failed attempt.
        bool mayHaveRun = false;
        bool suspect = false; ///< Whether it needs an upstream without another crash suspect.
        bool callerStalled = false;
        std::vector<std::string> failedOn; ///< Upstreams on which it failed.
        Instant arrived;
        Instant started;
        Instant lastToken; ///< Time from which the timeouts count.
        MemoryProfile profile;
        Tokens nextProfileRefresh = 0; ///< Number of tokens at which the profile is recomputed.
        double charged = 0.0;          ///< Tokens charged to the workspace so far.
    };

    // Event handlers.
    void on(const RequestArrived &event);
    void on(const TokensArrived &event);
    void on(const CallAnswered &event);
    void on(const AttemptFailed &event);
    void on(const CallerLeft &event);
    void on(const CallerStalled &event);
    void on(const UpstreamsListed &event);
    void on(const PoliciesChanged &event);
    void on(const UpstreamReported &event);
    void on(const CacheChanged &event);
    void on(const LeaseGranted &event);
    void on(const CrashReported &event);
    void on(const CrashSuspectCleared &event);
    void on(const Tick &event);
    void on(const StopRequested &event);

    // Admission and placement (dispatcher.cpp).
    /// Resumes a generation that the caller started on an earlier connection.
    void startCallerResume(OpenRequest &open);
    void admit(OpenRequest &open);
    void dispatch();
    /// Tries to place the first request of a workspace, or one behind it whose prompt is cached.
    bool tryPlaceFromWorkspace(const QueuedRequest &head);
    /// Tries to place a request. \return true if it left the queue, also by being refused.
    bool tryPlace(const QueuedRequest &queued, bool mayWait);
    void refuseAfterFailures(OpenRequest &open);
    /// Starts a request on \a upstream, the candidate with index \a chosen.
    void start(OpenRequest &open, Upstream &upstream, std::size_t chosen);
    /// Requests or renews the leases that are due. \a urgent is set while requests are queued.
    void renewLeases(bool urgent);
    void renewLease(Upstream &upstream, std::uint32_t wanted);
    void refuseExpiredRequests();

    // Token streams and failures (dispatcher_streams.cpp).
    void deliverTokens(OpenRequest &open, const TokensArrived &event);
    void recordObservations(OpenRequest &open, Tokens count);
    void refreshProfile(OpenRequest &open);
    void finish(OpenRequest &open);
    void handleFailure(OpenRequest &open, FailureKind kind, const std::string &detail);
    void refuseNonIdempotent(OpenRequest &open, const std::string &detail);
    void handleStreamFailure(OpenRequest &open, FailureKind kind, const std::string &detail);
    void resume(OpenRequest &open, milliseconds delay);
    void handleLostGeneration(OpenRequest &open, const std::string &detail);
    /// Queues a failed request again, to start it on another upstream, or refuses it.
    void retry(OpenRequest &open, const std::string &detail);
    /// Records that a request may have crashed its upstream, and notifies the peers.
    void reportCrash(const OpenRequest &open);
    void reportCrash(const std::string &upstream, const UnresolvedDisconnect &disconnect);
    /// Attributes the restart of \a upstream to recent requests whose connections were lost.
    void resolveDisconnects(Upstream &upstream);
    void clearSuspect(const OpenRequest &open);
    std::uint64_t bootOf(const OpenRequest &open) const;
    void checkTimeouts();
    void releaseUpstream(OpenRequest &open);
    void refuse(OpenRequest &open, Refusal refusal);
    void close(RequestId id);

    OpenRequest *find(RequestId id);
    /// Returns a request if it is running and \a attempt is its current one, or nullptr.
    OpenRequest *findCurrent(RequestId id, AttemptNumber attempt);
    void emit(Effect effect) { this->effects.push_back(std::move(effect)); }
    void journal(journal::EventId id, std::vector<journal::Field> fields);
    static journal::Field requestField(const OpenRequest &open);
    /// Charges the workspace so that the request is charged for \a served tokens in all.
    void charge(OpenRequest &open, double served);
    MemoryProfile profileOf(const OpenRequest &open) const;

    DispatcherOptions options;
    Instant now;
    Instant lastTick;
    Effects effects;
    bool stopping = false;
    std::uint64_t placements = 0;
    UpstreamTable upstreams;
    FairQueue queue;
    ShareMeter shares;
    LengthForecast forecast;
    RetryBudget retries;
    CrashTracker crashes;
    std::unordered_map<RequestId, OpenRequest> open;
    std::vector<Candidate> candidates; ///< Buffer reused between placements.
};

} // namespace azurespindle::decision

#endif
