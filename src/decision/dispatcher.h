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

/// What distinguishes one dispatcher from another.
struct DispatcherOptions
{
    PlacementPolicy placement = expectedMemoryPlacement();
    bool leasing = true;                  ///< False: every upstream is this process's alone.
    double memoryDeviations = 1.0;        ///< Safety margin on memory, in standard deviations.
    milliseconds placementPatience {250}; ///< Wait for an engine with the prompt cached.
    milliseconds firstTokenTimeout {30'000};
    milliseconds gapTimeout {3'000};
    milliseconds callTimeout {60'000};
};

/// What a dispatcher holds, for `azurespindle status`.
struct DispatcherStatus
{
    std::size_t running = 0;
    std::size_t queued = 0;
    std::vector<Upstream> upstreams;
};

/// Decides for one pool (the upstreams of one model or plain service) which request runs where,
/// when and how often.
///
/// It is pure: handle() is told the event and the time, and returns what is to be done. It reads
/// no clock, does no I/O and starts no thread, so the server, the recorded sessions, the failure
/// tests and the bench all drive this same class. It is not thread-safe; its owner locks it.
///
///     Dispatcher dispatcher({});
///     Effects effects = dispatcher.handle(RequestArrived {request}, now);
class Dispatcher
{
public:
    explicit Dispatcher(DispatcherOptions options);

    // Commands

    /// Takes in what happened at \a now, which never decreases.
    /// \return what is to be done, in this order.
    Effects handle(const Event &event, Instant now);

    // Queries

    DispatcherStatus status() const;
    /// Returns the number of requests that are queued or running.
    std::size_t openRequests() const { return this->open.size(); }
    const LengthForecast &lengthForecast() const { return this->forecast; }

    /// What a prompt token counts in a workspace's share, beside 1 for an output token.
    static constexpr double promptCost = 0.25;
    static constexpr milliseconds tickInterval {50};
    static constexpr milliseconds leaseInterval {2'500}; ///< Between renewals that change nothing.
    static constexpr milliseconds rampingLeaseInterval {
        250}; ///< While a lease is to grow, or cold.
    /// While others wait for a warm upstream too: at least so long, and so long for each upstream
    /// in use, so that leases cost the same bytes however many there are.
    static constexpr milliseconds contendedLeaseInterval {500};
    static constexpr milliseconds contendedIntervalEach {250};
    static constexpr milliseconds urgentLeaseInterval {20}; ///< When a request is waiting.
    static constexpr std::uint32_t maxTries = 3;            ///< Upstreams tried for one request.
    static constexpr std::uint32_t maxResumes = 8;          ///< Without a token between them.
    static constexpr std::uint32_t maxDeadResumes = 3;      ///< Connection failures in a row.

private:
    struct Open
    {
        Request request;
        bool running = false;
        AttemptNumber attempt = 0;
        std::uint32_t tries = 0;
        std::uint32_t resumes = 0;     ///< Since the last token.
        std::uint32_t deadResumes = 0; ///< Connection failures in a row.
        std::string upstream;
        std::string generation;
        std::uint64_t boot = 0; ///< Life of the upstream at the start; 0 if it never reported.
        Tokens received = 0;
        Tokens receivedAtDeath = 0; ///< Of the attempt whose upstream died.
        bool mayHaveRun = false;
        bool suspect = false;
        bool callerStalled = false;
        std::vector<std::string> failedOn;
        Instant arrived;
        Instant started;
        Instant lastToken;
        MemoryProfile profile;
        Tokens nextProfile = 0;
        double charged = 0.0;
    };

    // One handler for each event.
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
    void resumeForCaller(Open &open);
    void admit(Open &open);
    void dispatch();
    bool tryPlaceOneOf(const QueuedRequest &head);
    bool tryPlace(const QueuedRequest &queued, bool patient);
    void giveUp(Open &open);
    void start(Open &open, Upstream &upstream, std::size_t chosen);
    void askLeases(bool urgent);
    void askLease(Upstream &upstream, std::uint32_t wanted);
    void refuseExpired();

    // Streams and failures (dispatcher_streams.cpp).
    void accept(Open &open, const TokensArrived &event);
    void noteEvidence(Open &open, Tokens count);
    void refreshProfile(Open &open);
    void finish(Open &open);
    void handleFailure(Open &open, FailureKind kind, const std::string &detail);
    void failUnrepeatable(Open &open, const std::string &detail);
    void failStream(Open &open, FailureKind kind, const std::string &detail);
    void resume(Open &open, milliseconds delay);
    void loseGeneration(Open &open, const std::string &detail);
    void restart(Open &open, const std::string &detail);
    void blame(const Open &open);
    void blame(const std::string &upstream, const UnresolvedLoss &loss);
    void resolveLosses(Upstream &upstream);
    void acquit(const Open &open);
    std::uint64_t bootOf(const Open &open) const;
    void checkSilence();
    void leaveUpstream(Open &open);
    void refuse(Open &open, Refusal refusal);
    void close(RequestId id);

    Open *find(RequestId id);
    Open *findCurrent(RequestId id, AttemptNumber attempt);
    void emit(Effect effect) { this->effects.push_back(std::move(effect)); }
    void journal(journal::EventId id, std::vector<journal::Field> fields);
    static journal::Field requestField(const Open &open);
    void charge(Open &open, double served);
    MemoryProfile profileOf(const Open &open) const;

    DispatcherOptions options;
    Instant now;
    Instant lastTick;
    Effects effects;
    bool stopping = false;
    std::uint64_t turns = 0;
    UpstreamTable upstreams;
    FairQueue queue;
    ShareMeter shares;
    LengthForecast forecast;
    RetryBudget retries;
    CrashTracker crashes;
    std::unordered_map<RequestId, Open> open;
    std::vector<Candidate> candidates; ///< Reused between placements.
};

} // namespace azurespindle::decision

#endif
