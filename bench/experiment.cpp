#include "experiment.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>

namespace azurespindle::bench {
namespace {

using namespace decision;
using standins::Emission;
using standins::EngineModel;

constexpr milliseconds reportInterval {250};
constexpr double stallSeconds = 0.5;
constexpr double lostCacheEvents = 0.2; ///< Part of the cache events that never arrive.

std::string engineName(std::size_t index)
{
    return "e" + std::to_string(index);
}

/// Percentile of values that are sorted in place.
double percentile(std::vector<float> &values, double part)
{
    if (values.empty()) {
        return 0.0;
    }
    const auto rank = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank),
                     values.end());
    return values[rank];
}

PlacementPolicy placementOf(const ExperimentOptions &options)
{
    switch (options.policy) {
    case Policy::RoundRobin:
        return roundRobinPlacement();
    case Policy::LeastOutstanding:
        return leastOutstandingPlacement();
    case Policy::ExpectedMemory:
        break;
    }
    return expectedMemoryPlacement(options.weights);
}

/// Drives dispatcher, steward and engines through one workload.
class Run
{
public:
    explicit Run(const ExperimentOptions &options);

    ExperimentResult result();

private:
    struct Caller
    {
        Arrival arrival;
        Instant lastToken;
        Tokens received = 0;
        Tokens counted = 0; ///< Of these, delivered while measuring.
    };
    struct Attempt
    {
        std::size_t engine = 0;
        AttemptNumber number = 0;
    };

    void list();
    void step();
    void post(const Event &event);
    void perform(const Effect &effect);
    void perform(const StartAttempt &start);
    void perform(const ResumeAttempt &resume);
    void perform(const CancelAttempt &cancel);
    void perform(const Deliver &deliver);
    void perform(const Refuse &refuse);
    void perform(const AskLease &ask);
    void advanceEngine(std::size_t index);
    void noteDeaths(std::size_t index);
    void report();
    bool measured() const { return this->now >= Instant(this->options.warmUp); }
    static std::string generationName(RequestId request, AttemptNumber attempt);

    ExperimentOptions options;
    Workload workload;
    Arrival upcoming;
    Instant now;
    Instant nextTick;
    Instant nextReport;
    Dispatcher dispatcher;
    LeaseManager steward;
    std::vector<EngineModel> engines;
    std::vector<std::uint64_t> seenDeaths;
    std::unordered_map<RequestId, Caller> callers;
    std::unordered_map<std::string, Attempt> attempts; ///< By generation.
    std::deque<Event> pending;
    bool posting = false;
    std::vector<float> gaps;
    std::vector<float> firstTokens;
    std::map<std::string, std::vector<float>> workspaceGaps;
    std::uint64_t preemptionsAtStart = 0;
    bool startNoted = false;
    double deliveredTokens = 0.0;
    std::mt19937_64 random;
    std::uniform_real_distribution<double> published {0.0, 1.0};
    ExperimentResult outcome;
};

DispatcherOptions dispatcherOptions(const ExperimentOptions &options)
{
    DispatcherOptions chosen;
    chosen.placement = placementOf(options);
    chosen.leasing = options.policy == Policy::ExpectedMemory;
    chosen.memoryDeviations = options.memoryDeviations;
    return chosen;
}

Run::Run(const ExperimentOptions &options)
    : options(options), workload(options.workload, options.seed), upcoming(this->workload.next()),
      dispatcher(dispatcherOptions(options)), seenDeaths(options.engines, 0), random(options.seed)
{
    for (std::size_t index = 0; index < options.engines; ++index) {
        standins::EngineOptions engine = options.engine;
        engine.seed = index + 1;
        this->engines.emplace_back(engine);
    }
    this->list();
}

void Run::list()
{
    UpstreamsListed listed;
    configuration::UpstreamPolicy policy;
    policy.maxConcurrency = this->options.engine.maxBatch;
    for (std::size_t index = 0; index < this->engines.size(); ++index) {
        listed.upstreams.push_back({engineName(index), "z", Condition::Serving, policy});
        this->steward.manage(engineName(index), policy, this->now, false);
    }
    PoliciesChanged policies;
    policies.defaults.maxQueued = 4'096;
    this->post(policies);
    this->post(listed);
}

std::string Run::generationName(RequestId request, AttemptNumber attempt)
{
    return std::to_string(request) + "." + std::to_string(attempt);
}

void Run::post(const Event &event)
{
    this->pending.push_back(event);
    if (this->posting) {
        return;
    }
    this->posting = true;
    while (!this->pending.empty()) {
        const Event next = this->pending.front();
        this->pending.pop_front();
        for (const Effect &effect : this->dispatcher.handle(next, this->now)) {
            this->perform(effect);
        }
    }
    this->posting = false;
}

void Run::perform(const Effect &effect)
{
    std::visit(
        [this](const auto &each) {
            using Kind = std::decay_t<decltype(each)>;
            constexpr bool ignored
                = std::is_same_v<
                      Kind,
                      Journal> || std::is_same_v<Kind, ReportCrash> || std::is_same_v<Kind, ReportSuspectCleared> || std::is_same_v<Kind, DeliverAnswer>;
            if constexpr (!ignored) {
                this->perform(each);
            }
        },
        effect);
}

void Run::perform(const StartAttempt &start)
{
    const std::size_t index = std::stoul(start.upstream.substr(1));
    const Caller &caller = this->callers.at(start.request);
    const Request &request = caller.arrival.request;
    const std::string generation = generationName(start.request, start.attempt);
    EngineModel &engine = this->engines[index];
    if (!engine.up(this->now)) {
        this->post(
            AttemptFailed {start.request, start.attempt, FailureKind::ConnectionRefused, "down"});
        return;
    }
    this->attempts[generation] = {index, start.attempt};
    engine.admit({generation, request.promptTokens, caller.arrival.outputTokens,
                  request.prefixBlocks, request.priority, false},
                 this->now);
    this->noteDeaths(index);
}

void Run::perform(const ResumeAttempt &resume)
{
    const std::size_t index = std::stoul(resume.upstream.substr(1));
    EngineModel &engine = this->engines[index];
    if (!engine.up(this->now)) {
        this->post(
            AttemptFailed {resume.request, resume.attempt, FailureKind::ConnectionRefused, "down"});
    } else if (!engine.knows(resume.generation)) {
        this->post(
            AttemptFailed {resume.request, resume.attempt, FailureKind::GenerationGone, "gone"});
    } else {
        this->attempts[resume.generation].number = resume.attempt;
    }
}

void Run::perform(const CancelAttempt &cancel)
{
    if (cancel.keep) {
        return;
    }
    const std::string generation = cancel.generation.empty()
        ? generationName(cancel.request, cancel.attempt)
        : cancel.generation;
    const auto found = this->attempts.find(generation);
    if (found != this->attempts.end()) {
        this->engines[found->second.engine].cancel(generation);
        this->attempts.erase(found);
    }
}

void Run::perform(const Deliver &deliver)
{
    Caller &caller = this->callers.at(deliver.request);
    if (this->measured()) {
        const double gap = inSeconds(this->now - caller.lastToken);
        if (caller.received == 0) {
            this->firstTokens.push_back(static_cast<float>(gap));
        } else {
            this->gaps.push_back(static_cast<float>(gap));
            this->workspaceGaps[caller.arrival.request.workspace].push_back(
                static_cast<float>(gap));
            this->outcome.stallSeconds += gap > stallSeconds ? gap : 0.0;
        }
    }
    caller.lastToken = this->now;
    caller.received += deliver.count;
    if (this->measured()) {
        this->deliveredTokens += deliver.count;
        caller.counted += deliver.count;
        this->outcome.workspaceTokens[caller.arrival.request.workspace] += deliver.count;
    }
    if (!deliver.last) {
        return;
    }
    if (this->measured()) {
        this->outcome.finished += 1;
    }
    this->attempts.erase(deliver.generation);
    this->callers.erase(deliver.request);
}

void Run::perform(const Refuse &refuse)
{
    if (this->measured()) {
        const bool broken = refuse.refusal.outcome == Outcome::Ran;
        (broken ? this->outcome.broken : this->outcome.refused) += 1;
    }
    this->deliveredTokens -= this->callers.at(refuse.request).counted;
    this->callers.erase(refuse.request);
}

void Run::perform(const AskLease &ask)
{
    std::vector<journal::Entry> entries;
    const LeaseGrant grant
        = this->steward.handle(makeLeaseRequest("h", ask), 1, this->now, entries);
    this->post(makeLeaseGranted(grant, this->now));
}

void Run::noteDeaths(std::size_t index)
{
    if (this->engines[index].deaths() == this->seenDeaths[index]) {
        return;
    }
    this->seenDeaths[index] = this->engines[index].deaths();
    std::vector<std::pair<RequestId, AttemptNumber>> lost;
    for (auto each = this->attempts.begin(); each != this->attempts.end();) {
        if (each->second.engine != index) {
            ++each;
            continue;
        }
        lost.emplace_back(std::stoull(each->first), each->second.number);
        each = this->attempts.erase(each);
    }
    std::sort(lost.begin(), lost.end());
    for (const auto &[request, attempt] : lost) {
        this->post(AttemptFailed {request, attempt, FailureKind::ConnectionLost, "engine died"});
    }
}

void Run::advanceEngine(std::size_t index)
{
    for (const Emission &emission : this->engines[index].advance(this->now)) {
        const auto attempt = this->attempts.find(emission.generation);
        if (attempt == this->attempts.end()) {
            continue;
        }
        const RequestId request = std::stoull(emission.generation);
        this->post(TokensArrived {request, attempt->second.number, emission.generation,
                                  emission.offset, 1, emission.finished});
    }
    this->noteDeaths(index);
}

void Run::report()
{
    for (std::size_t index = 0; index < this->engines.size(); ++index) {
        EngineModel &engine = this->engines[index];
        if (!engine.up(this->now)) {
            continue;
        }
        const standins::LoadReport load = engine.report(this->now);
        EngineReport report {this->now,    load.boot,    load.memoryTokens, load.memoryUsed,
                             load.running, load.waiting, load.preemptions};
        std::vector<journal::Entry> entries;
        this->steward.recordBoot(engineName(index), load.boot, this->now, entries);
        this->post(UpstreamReported {engineName(index), report});
        const auto [added, dropped] = engine.takeCacheChanges();
        if (this->published(this->random) >= lostCacheEvents) {
            this->post(CacheChanged {engineName(index), added, dropped});
        }
    }
}

void Run::step()
{
    Instant next = std::min({this->upcoming.at, this->nextTick, this->nextReport});
    std::optional<std::size_t> engine;
    for (std::size_t index = 0; index < this->engines.size(); ++index) {
        if (this->engines[index].nextStep() < next) {
            next = this->engines[index].nextStep();
            engine = index;
        }
    }
    this->now = next;
    if (!this->startNoted && this->measured()) {
        this->startNoted = true;
        for (const EngineModel &each : this->engines) {
            this->preemptionsAtStart += each.preemptions();
        }
    }
    if (engine) {
        this->advanceEngine(*engine);
    } else if (next == this->upcoming.at) {
        this->callers[this->upcoming.request.id] = {this->upcoming, this->now, 0, 0};
        const Request request = this->upcoming.request;
        this->upcoming = this->workload.next();
        this->post(RequestArrived {request});
    } else if (next == this->nextTick) {
        this->nextTick += Dispatcher::tickInterval;
        std::vector<journal::Entry> entries;
        this->steward.advanceTime(this->now, entries);
        this->post(Tick {});
    } else {
        this->nextReport += reportInterval;
        this->report();
    }
}

ExperimentResult Run::result()
{
    const Instant end {this->options.duration};
    while (this->now < end) {
        this->step();
    }
    const double span = inSeconds(this->options.duration - this->options.warmUp);
    for (const EngineModel &engine : this->engines) {
        this->outcome.preemptions += engine.preemptions();
        this->outcome.collapses += engine.collapses();
    }
    this->outcome.preemptions -= this->preemptionsAtStart;
    this->outcome.gapP95 = percentile(this->gaps, 0.95);
    this->outcome.gapP99 = percentile(this->gaps, 0.99);
    this->outcome.firstTokenP95 = percentile(this->firstTokens, 0.95);
    this->outcome.tokensPerSecond = this->deliveredTokens / span;
    for (auto &[workspace, values] : this->workspaceGaps) {
        this->outcome.workspaceGapP95[workspace] = percentile(values, 0.95);
    }
    return this->outcome;
}

} // namespace

const char *name(Policy policy)
{
    switch (policy) {
    case Policy::ExpectedMemory:
        return "policy";
    case Policy::RoundRobin:
        return "round-robin";
    case Policy::LeastOutstanding:
        return "least-outstanding";
    }
    return "policy";
}

ExperimentResult runExperiment(const ExperimentOptions &options)
{
    return Run(options).result();
}

double bestThroughput(const ExperimentOptions &options)
{
    constexpr std::size_t tried[] = {4, 8, 12, 16, 20, 24, 28, 32, 40, 48};
    const Instant end {seconds(120)};
    double best = 0.0;
    for (const std::size_t concurrency : tried) {
        standins::EngineOptions engineOptions = options.engine;
        engineOptions.startsWarm = true;
        EngineModel engine(engineOptions);
        Workload workload(options.workload, options.seed);
        std::uint64_t tokens = 0;
        std::size_t running = 0;
        Instant now;
        while (now < end) {
            while (running < concurrency) {
                const Arrival arrival = workload.next();
                const Request &request = arrival.request;
                engine.admit({std::to_string(request.id), request.promptTokens,
                              arrival.outputTokens, request.prefixBlocks, request.priority, false},
                             now);
                running += 1;
            }
            now = engine.nextStep();
            for (const Emission &emission : engine.advance(now)) {
                tokens += 1;
                running -= emission.finished ? 1 : 0;
            }
        }
        best = std::max(best, static_cast<double>(tokens) / inSeconds(end.time_since_epoch()));
    }
    return best;
}

} // namespace azurespindle::bench
