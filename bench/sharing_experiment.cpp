#include "sharing_experiment.h"

#include "decision/dispatcher.h"
#include "decision/lease_manager.h"
#include "members/messages.h"

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace azurespindle::bench {
namespace {

using namespace decision;

constexpr milliseconds networkDelay {1};
constexpr milliseconds reportInterval {250};
constexpr std::size_t backlog = 20; ///< Open requests that a workspace's callers keep up.
constexpr double meanOutput = 120.0;
constexpr const char *concentrated = "concentrated";
constexpr const char *spread = "spread";

class Sharing
{
public:
    explicit Sharing(const SharingOptions &options);

    SharingResult run();

private:
    struct Process
    {
        Dispatcher dispatcher {DispatcherOptions {}};
        std::map<std::string, std::size_t> open; ///< Requests, by workspace.
        double leaseBytes = 0.0;
    };
    struct Call
    {
        std::size_t process = 0;
        std::string workspace;
        Tokens outputTokens = 0;
    };
    /// A lease request or grant on its way.
    struct Flight
    {
        Instant at;
        std::size_t process = 0;
        LeaseRequest request;
        Event granted;
        bool toSteward = false;
    };

    void step();
    void refill();
    void fillUp(std::size_t process, const std::string &workspace, std::size_t wanted);
    void post(std::size_t process, const Event &event);
    void perform(std::size_t process, const Effect &effect);
    void start(std::size_t process, const StartAttempt &start);
    void ask(std::size_t process, const AskLease &ask);
    void land(const Flight &flight);
    void advance(std::size_t engine);
    bool measured() const { return this->now >= Instant(this->options.warmUp); }

    SharingOptions options;
    Instant now;
    Instant nextTick;
    Instant nextReport;
    RequestId lastId = 0;
    LeaseManager steward;
    std::vector<Process> processes;
    std::vector<standins::EngineModel> engines;
    std::unordered_map<RequestId, Call> calls;
    std::vector<Flight> flights;
    std::map<std::string, double> served;
    std::mt19937_64 random;
};

Sharing::Sharing(const SharingOptions &options)
    : options(options), processes(options.processes), random(options.seed)
{
    UpstreamsListed listed;
    configuration::UpstreamPolicy policy;
    policy.maxConcurrency = options.engine.maxBatch;
    for (std::size_t index = 0; index < options.engines; ++index) {
        const std::string name = "e" + std::to_string(index);
        standins::EngineOptions engine = options.engine;
        engine.seed = index + 1;
        this->engines.emplace_back(engine);
        listed.upstreams.push_back({name, "z", Condition::Serving, policy});
        this->steward.manage(name, policy, this->now, false);
    }
    for (std::size_t process = 0; process < this->processes.size(); ++process) {
        this->post(process, PoliciesChanged {});
        this->post(process, listed);
    }
}

void Sharing::post(std::size_t process, const Event &event)
{
    for (const Effect &effect : this->processes[process].dispatcher.handle(event, this->now)) {
        this->perform(process, effect);
    }
}

void Sharing::perform(std::size_t process, const Effect &effect)
{
    if (const auto *started = std::get_if<StartAttempt>(&effect)) {
        this->start(process, *started);
    } else if (const auto *asked = std::get_if<AskLease>(&effect)) {
        this->ask(process, *asked);
    } else if (const auto *delivered = std::get_if<Deliver>(&effect)) {
        const Call &call = this->calls.at(delivered->request);
        this->served[call.workspace] += this->measured() ? delivered->count : 0.0;
        if (delivered->last) {
            this->processes[process].open[call.workspace] -= 1;
        }
    } else if (const auto *refused = std::get_if<Refuse>(&effect)) {
        this->processes[process].open[this->calls.at(refused->request).workspace] -= 1;
    }
}

void Sharing::start(std::size_t process, const StartAttempt &start)
{
    const std::size_t index = std::stoul(start.upstream.substr(1));
    const std::string generation
        = std::to_string(start.request) + "." + std::to_string(start.attempt);
    this->calls.at(start.request).process = process;
    this->engines[index].admit({generation,
                                100,
                                this->calls.at(start.request).outputTokens,
                                {},
                                Priority::Standard,
                                false},
                               this->now);
}

void Sharing::ask(std::size_t process, const AskLease &ask)
{
    const LeaseRequest request = makeLeaseRequest("p" + std::to_string(process), ask);
    const double bytes
        = static_cast<double>(members::encode(members::LeaseRequests {{request}}).size()) + 4.0;
    this->processes[process].leaseBytes += this->measured() ? bytes : 0.0;
    this->flights.push_back({this->now + networkDelay, process, request, Tick {}, true});
}

void Sharing::land(const Flight &flight)
{
    if (!flight.toSteward) {
        this->post(flight.process, flight.granted);
        return;
    }
    std::vector<journal::Entry> entries;
    const LeaseGrant grant
        = this->steward.handle(flight.request, this->processes.size(), this->now, entries);
    members::GrantWithReport sent;
    sent.grant = grant;
    const double bytes = static_cast<double>(members::encode(members::LeaseGrants {{sent}}).size());
    this->processes[flight.process].leaseBytes += this->measured() ? bytes + 4.0 : 0.0;
    this->flights.push_back({this->now + networkDelay,
                             flight.process,
                             {},
                             makeLeaseGranted(grant, this->now + networkDelay),
                             false});
}

void Sharing::advance(std::size_t engine)
{
    for (const standins::Emission &emission : this->engines[engine].advance(this->now)) {
        const RequestId request = std::stoull(emission.generation);
        const auto attempt = static_cast<AttemptNumber>(
            std::stoul(emission.generation.substr(emission.generation.find('.') + 1)));
        this->post(this->calls.at(request).process,
                   TokensArrived {request, attempt, emission.generation, emission.offset, 1,
                                  emission.finished});
    }
}

void Sharing::fillUp(std::size_t process, const std::string &workspace, std::size_t wanted)
{
    std::exponential_distribution<double> output(1.0 / meanOutput);
    while (this->processes[process].open[workspace] < wanted) {
        Request request;
        request.id = ++this->lastId;
        request.workspace = workspace;
        request.promptTokens = 100;
        request.maxTokens = 4'096;
        request.fingerprint = request.id;
        this->processes[process].open[workspace] += 1;
        this->calls[request.id]
            = {process, workspace, static_cast<Tokens>(1.0 + output(this->random))};
        this->post(process, RequestArrived {request});
    }
}

void Sharing::refill()
{
    const std::size_t open = backlog * this->processes.size();
    this->fillUp(0, concentrated, open);
    for (std::size_t process = 0; process < this->processes.size(); ++process) {
        this->fillUp(process, spread, backlog);
    }
}

void Sharing::step()
{
    Instant next = std::min(this->nextTick, this->nextReport);
    for (const standins::EngineModel &engine : this->engines) {
        next = std::min(next, engine.nextStep());
    }
    for (const Flight &flight : this->flights) {
        next = std::min(next, flight.at);
    }
    this->now = next;
    for (std::size_t engine = 0; engine < this->engines.size(); ++engine) {
        if (this->engines[engine].nextStep() <= this->now) {
            this->advance(engine);
        }
    }
    std::vector<Flight> landing;
    const auto due = std::stable_partition(this->flights.begin(), this->flights.end(),
                                           [&](const Flight &each) { return each.at > this->now; });
    std::move(due, this->flights.end(), std::back_inserter(landing));
    this->flights.erase(due, this->flights.end());
    for (const Flight &flight : landing) {
        this->land(flight);
    }
    if (this->now >= this->nextTick) {
        this->nextTick += Dispatcher::tickInterval;
        std::vector<journal::Entry> entries;
        this->steward.advanceTime(this->now, entries);
        this->refill();
        for (std::size_t process = 0; process < this->processes.size(); ++process) {
            this->post(process, Tick {});
        }
    }
    if (this->now >= this->nextReport) {
        this->nextReport += reportInterval;
        for (std::size_t index = 0; index < this->engines.size(); ++index) {
            const standins::LoadReport load = this->engines[index].report(this->now);
            const EngineReport report {this->now,       load.boot,    load.memoryTokens,
                                       load.memoryUsed, load.running, load.waiting,
                                       load.preemptions};
            for (std::size_t process = 0; process < this->processes.size(); ++process) {
                this->post(process, UpstreamReported {"e" + std::to_string(index), report});
            }
        }
    }
}

SharingResult Sharing::run()
{
    const Instant end {this->options.duration};
    while (this->now < end) {
        this->step();
    }
    const double span = inSeconds(this->options.duration - this->options.warmUp);
    SharingResult result;
    result.concentratedTokens = this->served[concentrated] / span;
    result.spreadTokens = this->served[spread] / span;
    for (const Process &process : this->processes) {
        result.leaseBytes = std::max(result.leaseBytes, process.leaseBytes / span);
    }
    return result;
}

} // namespace

SharingResult runSharing(const SharingOptions &options)
{
    return Sharing(options).run();
}

} // namespace azurespindle::bench
