#include "decision/dispatcher.h"

#include "base/text.h"
#include "decision/lease_manager.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace azurespindle::decision {
namespace {

/// Number of workspaces whose first requests dispatch() tries to place.
constexpr std::size_t maxHeadsTried = 10;
/// Number of a workspace's requests searched for one whose prompt is cached at an available engine.
constexpr std::size_t cacheSearchDepth = 8;
/// Queueing time after which a request is no longer overtaken by requests that are easier to place.
constexpr milliseconds maxOvertakingTime {2'000};
/// Number of rejected candidates listed in the journal entry of a placement.
constexpr std::size_t maxRejectedCandidatesLogged = 2;
/// Values of Refusal::retryAfter.
constexpr milliseconds overloadRetryDelay {1'000};
constexpr milliseconds shutdownRetryDelay {100};

std::string percent(double fraction)
{
    return std::to_string(std::lround(fraction * 100.0)) + "%";
}

std::string rejectedCandidates(const std::vector<Candidate> &candidates, std::size_t chosen)
{
    std::string text;
    std::size_t shown = 0;
    for (std::size_t index = 0; index < candidates.size() && shown < maxRejectedCandidatesLogged;
         ++index) {
        if (index == chosen) {
            continue;
        }
        const Candidate &candidate = candidates[index];
        text += (shown == 0 ? "" : ", ") + candidate.upstream->listed.name + " ("
            + name(candidate.obstacle) + ", peak " + percent(candidate.peakFraction) + ")";
        shown += 1;
    }
    return text.empty() ? "none" : text;
}

/// Returns true if the request failed on every serving upstream.
bool failedOnAllServing(const std::vector<Candidate> &candidates)
{
    const auto failed
        = [](const Candidate &each) { return each.obstacle == Obstacle::FailedBefore; };
    const auto open = [&](const Candidate &each) {
        return !failed(each) && each.obstacle != Obstacle::NotServing;
    };
    return std::any_of(candidates.begin(), candidates.end(), failed)
        && std::none_of(candidates.begin(), candidates.end(), open);
}

/// Returns the time between two renewals of a lease. It is long for a warm upstream with free
/// slots, and for a contended warm upstream, where more frequent renewals would not grant more.
microseconds renewalInterval(const Upstream &upstream, bool urgent, std::size_t servingUpstreams)
{
    const bool warm = upstream.lease.standalone > 0;
    if (warm && upstream.lease.contended) {
        return std::max<microseconds>(Dispatcher::contendedLeaseInterval,
                                      servingUpstreams
                                          * Dispatcher::contendedLeaseIntervalPerUpstream);
    }
    if (urgent) {
        return Dispatcher::urgentLeaseInterval;
    }
    const bool hasFreeSlot = upstream.outstanding < upstream.lease.concurrency;
    const UpstreamObservations &observed = upstream.observations;
    const std::uint32_t late = observed.gapsLate + observed.firstTokensLate;
    const bool unhealthy = observed.failures > 0 || late > observed.gapsInTime / 10;
    const bool canWaitLong = warm && hasFreeSlot && !unhealthy;
    return canWaitLong ? Dispatcher::leaseInterval : Dispatcher::rampingLeaseInterval;
}

} // namespace

Dispatcher::Dispatcher(DispatcherOptions options) : options(std::move(options))
{ }

Effects Dispatcher::handle(const Event &event, Instant at)
{
    this->now = at;
    std::visit([this](const auto &each) { this->on(each); }, event);
    return std::exchange(this->effects, {});
}

DispatcherStatus Dispatcher::status() const
{
    return {this->open.size() - this->queue.size(), this->queue.size(), this->upstreams.all()};
}

Dispatcher::OpenRequest *Dispatcher::find(RequestId id)
{
    const auto found = this->open.find(id);
    return found == this->open.end() ? nullptr : &found->second;
}

Dispatcher::OpenRequest *Dispatcher::findCurrent(RequestId id, AttemptNumber attempt)
{
    OpenRequest *found = this->find(id);
    const bool current = found != nullptr && found->running && found->attempt == attempt;
    if (current) {
        return found;
    }
    this->journal(journal::EventId::AnswerIgnored,
                  {{"request", std::to_string(id)}, {"attempt", std::to_string(attempt)}});
    return nullptr;
}

void Dispatcher::journal(journal::EventId id, std::vector<journal::Field> fields)
{
    this->emit(Journal {{id, std::move(fields)}});
}

journal::Field Dispatcher::requestField(const OpenRequest &open)
{
    return {"request", std::to_string(open.request.id)};
}

MemoryProfile Dispatcher::profileOf(const OpenRequest &open) const
{
    const Request &request = open.request;
    return MemoryProfile::forGeneration(
        this->forecast.estimate(request.workspace, request.trafficClass), request.promptTokens,
        open.received, request.maxTokens);
}

void Dispatcher::on(const RequestArrived &event)
{
    OpenRequest newRequest;
    newRequest.request = event.request;
    newRequest.arrived = this->now;
    newRequest.lastToken = this->now;
    const RequestId id = event.request.id;
    OpenRequest &inserted = this->open.insert_or_assign(id, std::move(newRequest)).first->second;
    if (this->stopping) {
        this->refuse(inserted,
                     {RefusalCode::Stopping, Outcome::NotRun, shutdownRetryDelay,
                      "this process is stopping"});
        return;
    }
    if (event.request.resume) {
        this->startCallerResume(inserted);
        return;
    }
    this->admit(inserted);
    this->dispatch();
}

void Dispatcher::startCallerResume(OpenRequest &resumed)
{
    const ResumePoint &point = *resumed.request.resume;
    Upstream *upstream = this->upstreams.find(point.upstream);
    if (upstream == nullptr) {
        this->refuse(resumed,
                     {RefusalCode::GenerationLost, Outcome::Ran, milliseconds(0),
                      "upstream " + point.upstream + " is no longer listed"});
        return;
    }
    resumed.upstream = point.upstream;
    resumed.generation = point.generation;
    resumed.received = point.offset;
    resumed.mayHaveRun = true;
    resumed.started = this->now;
    resumed.profile = this->profileOf(resumed);
    resumed.running = true;
    this->upstreams.addAttempt(*upstream, resumed.profile, false);
    this->resume(resumed, milliseconds(0));
}

void Dispatcher::admit(OpenRequest &arrived)
{
    const Request &request = arrived.request;
    if (this->crashes.isBlocked(request.fingerprint, this->now)) {
        this->refuse(arrived,
                     {RefusalCode::CrashSuspect, Outcome::NotRun, milliseconds(0),
                      "two upstreams died while they ran this request"});
        return;
    }
    if (this->upstreams.all().empty()) {
        this->refuse(arrived,
                     {RefusalCode::NoUpstream, Outcome::NotRun, overloadRetryDelay,
                      "no upstream is listed"});
        return;
    }
    const configuration::WorkspacePolicy &policy = this->queue.policy(request.workspace);
    const QueuedRequest queued {request.id, request.priority, this->now,
                                this->now + policy.queueTimeout};
    if (!this->queue.push(request.workspace, queued)) {
        this->refuse(arrived,
                     {RefusalCode::Overloaded, Outcome::NotRun, overloadRetryDelay,
                      "the queue of workspace " + request.workspace + " is full"});
        return;
    }
    this->retries.deposit();
}

void Dispatcher::dispatch()
{
    bool placedAny = true;
    while (placedAny && this->queue.size() > 0) {
        placedAny = false;
        for (const QueuedRequest &head : this->queue.headRequests(maxHeadsTried)) {
            placedAny = this->tryPlaceFromWorkspace(head);
            const bool mayBeOvertaken = this->now - head.arrived < maxOvertakingTime;
            if (placedAny || !mayBeOvertaken) {
                break;
            }
        }
    }
    if (this->queue.size() > 0) {
        this->renewLeases(true);
    }
}

bool Dispatcher::tryPlaceFromWorkspace(const QueuedRequest &head)
{
    if (this->tryPlace(head, true)) {
        return true;
    }
    // When all engines are full, slots become free at one engine at a time, which rarely has the
    // prompt of the first request cached. A later request of the workspace may fit better.
    const std::string &workspace = this->open.at(head.id).request.workspace;
    for (const QueuedRequest &each : this->queue.firstRequests(workspace, cacheSearchDepth)) {
        const bool other = each.id != head.id && each.priority == head.priority;
        if (other && this->tryPlace(each, true)) {
            return true;
        }
    }
    const bool mayWait = this->now - head.arrived < this->options.maxCacheWait;
    return !mayWait && this->tryPlace(head, false);
}

bool Dispatcher::tryPlace(const QueuedRequest &queued, bool mayWait)
{
    OpenRequest &waiting = this->open.at(queued.id);
    PlacementQuery query;
    query.request = &waiting.request;
    query.profile = this->profileOf(waiting);
    query.suspect = this->crashes.isSuspect(waiting.request.fingerprint, this->now);
    query.failedOn = waiting.failedOn;
    query.aboveShare = this->shares.isAboveShare(waiting.request.workspace);
    query.deviations = this->options.memoryDeviations;
    query.now = this->now;
    this->upstreams.assess(query, this->candidates);
    if (failedOnAllServing(this->candidates)) {
        this->refuseAfterFailures(waiting);
        return true;
    }
    const auto chosen = this->options.placement(this->candidates, this->placements, mayWait);
    if (!chosen) {
        return false;
    }
    if (!query.aboveShare) {
        this->upstreams.recordDisplacement(this->candidates, *chosen);
    }
    this->placements += 1;
    this->queue.remove(waiting.request.workspace, queued.id);
    waiting.profile = query.profile;
    waiting.suspect = query.suspect;
    Upstream *upstream = this->upstreams.find(this->candidates[*chosen].upstream->listed.name);
    this->start(waiting, *upstream, *chosen);
    return true;
}

void Dispatcher::refuseAfterFailures(OpenRequest &failed)
{
    const Outcome outcome = failed.mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    this->refuse(failed,
                 {RefusalCode::RetriesExhausted, outcome, overloadRetryDelay,
                  "it failed on every upstream that serves"});
}

void Dispatcher::start(OpenRequest &placed, Upstream &upstream, std::size_t chosen)
{
    const Request &request = placed.request;
    placed.running = true;
    placed.attempt += 1;
    placed.starts += 1;
    placed.resumes = 0;
    placed.connectFailures = 0;
    placed.upstream = upstream.listed.name;
    placed.generation.clear();
    placed.boot = upstream.report.boot;
    placed.received = 0;
    placed.nextProfileRefresh = 0;
    placed.started = this->now;
    placed.lastToken = this->now;
    const double expected = promptCost * request.promptTokens
        + this->forecast.estimate(request.workspace, request.trafficClass)
              .expectedRemaining(0, request.maxTokens);
    this->charge(placed, expected);
    const Instant leaseExpires = this->options.leasing
        ? std::max(upstream.lease.expires, upstream.lease.standaloneExpires)
        : Instant::max();
    this->journal(journal::EventId::RequestPlaced,
                  {requestField(placed),
                   {"workspace", request.workspace},
                   {"upstream", placed.upstream},
                   {"attempt", std::to_string(placed.attempt)},
                   {"waitedMs", millisecondsText(this->now - placed.arrived)},
                   {"expectedTokens", std::to_string(std::lround(expected))},
                   {"peak", percent(this->candidates[chosen].peakFraction)},
                   {"load", percent(this->candidates[chosen].loadFraction)},
                   {"uncached", std::to_string(this->candidates[chosen].uncachedTokens)},
                   {"passedOver", rejectedCandidates(this->candidates, chosen)}});
    this->upstreams.addAttempt(upstream, placed.profile, placed.suspect);
    upstream.prefixes.add(request.prefixBlocks);
    this->emit(StartAttempt {request.id, placed.attempt, placed.upstream, leaseExpires});
}

void Dispatcher::renewLeases(bool urgent)
{
    if (!this->options.leasing) {
        return;
    }
    std::size_t serving = 0;
    for (const Upstream &upstream : this->upstreams.all()) {
        serving += upstream.listed.condition == Condition::Serving ? 1 : 0;
    }
    if (serving == 0) {
        return;
    }
    // While there are requests, capacity for at least one further attempt is requested at each
    // upstream. Otherwise an idle upstream would stay cold while others fill up.
    const std::size_t minWantedPerUpstream = this->open.empty() ? 0 : 1;
    const std::size_t wantedPerUpstream
        = std::max(minWantedPerUpstream, (this->queue.size() + serving - 1) / serving);
    for (const Upstream &each : this->upstreams.all()) {
        Upstream &upstream = *this->upstreams.find(each.listed.name);
        const bool isServing = upstream.listed.condition == Condition::Serving;
        const auto wanted = static_cast<std::uint32_t>(isServing ? wantedPerUpstream : 0);
        const bool needed = wanted > 0 || upstream.outstanding > 0 || upstream.lease.concurrency > 0
            || upstream.observations != UpstreamObservations {};
        const microseconds interval = renewalInterval(upstream, urgent, serving);
        if (needed && this->now - upstream.lastLeaseRequest >= interval) {
            this->renewLease(upstream, wanted);
        }
    }
}

void Dispatcher::renewLease(Upstream &upstream, std::uint32_t wanted)
{
    upstream.lastLeaseRequest = this->now;
    constexpr std::size_t limit = LeaseManager::maxReportedWorkspaces;
    auto usage
        = UpstreamTable::takeUnreportedUsage(upstream, this->queue.waitingWorkspaces(limit), limit);
    this->emit(AskLease {upstream.listed.name, upstream.outstanding, wanted, upstream.observations,
                         std::move(usage)});
    upstream.observations = {};
    upstream.observations.peakOutstanding = 0;
}

void Dispatcher::refuseExpiredRequests()
{
    for (const RequestId id : this->queue.takeExpired(this->now)) {
        OpenRequest &expired = this->open.at(id);
        const Outcome outcome = expired.mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
        this->refuse(expired,
                     {RefusalCode::QueueTimeout, outcome, overloadRetryDelay,
                      "no upstream had room in time"});
    }
}

void Dispatcher::on(const UpstreamsListed &event)
{
    for (journal::Entry &entry : this->upstreams.setUpstreams(event.upstreams)) {
        this->emit(Journal {std::move(entry)});
    }
    if (!this->options.leasing) {
        for (const ListedUpstream &listed : event.upstreams) {
            LeaseGranted fullLease;
            fullLease.upstream = listed.name;
            fullLease.concurrency = static_cast<std::uint32_t>(listed.policy.maxConcurrency);
            fullLease.expires = Instant::max();
            this->upstreams.setLease(fullLease);
        }
    }
    this->dispatch();
}

void Dispatcher::on(const PoliciesChanged &event)
{
    this->queue.setPolicies(event.defaults, event.exceptions);
    this->retries.setRatio(event.retryShare);
}

void Dispatcher::on(const UpstreamReported &event)
{
    const auto entries = this->upstreams.setReport(event.upstream, event.report);
    for (const journal::Entry &entry : entries) {
        this->emit(Journal {entry});
    }
    if (!entries.empty()) {
        Upstream *upstream = this->upstreams.find(event.upstream);
        upstream->observations.failures += 1;
        this->resolveDisconnects(*upstream);
    }
    this->dispatch();
}

void Dispatcher::on(const CacheChanged &event)
{
    this->upstreams.updateCache(event);
}

void Dispatcher::on(const LeaseGranted &event)
{
    const Upstream *upstream = this->upstreams.find(event.upstream);
    if (upstream == nullptr) {
        return;
    }
    if (upstream->lease.concurrency != event.concurrency) {
        this->journal(journal::EventId::LeaseChanged,
                      {{"upstream", event.upstream},
                       {"from", std::to_string(upstream->lease.concurrency)},
                       {"to", std::to_string(event.concurrency)}});
    }
    this->upstreams.setLease(event);
    this->queue.chargeRemote(event.remoteUsage);
    this->dispatch();
}

void Dispatcher::on(const CrashReported &event)
{
    this->crashes.recordCrash(event.fingerprint, event.upstream, event.boot, this->now);
}

void Dispatcher::on(const CrashSuspectCleared &event)
{
    this->crashes.clearSuspect(event.fingerprint);
}

void Dispatcher::charge(OpenRequest &open, double served)
{
    const std::string &workspace = open.request.workspace;
    const double added = served - open.charged;
    const double weight = this->queue.policy(workspace).weight;
    this->queue.charge(workspace, added);
    Upstream *upstream = this->upstreams.find(open.upstream);
    if (upstream != nullptr && upstream->lease.contended) {
        UpstreamTable::recordUsage(*upstream, workspaceKey(workspace), weight,
                                   static_cast<std::int32_t>(added));
    }
    this->shares.recordUsage(workspace, added, weight, this->now);
    open.charged = served;
}

void Dispatcher::on(const Tick &)
{
    this->shares.decay(this->now);
    this->upstreams.recoverFractions(this->now - this->lastTick);
    this->lastTick = this->now;
    this->refuseExpiredRequests();
    this->checkTimeouts();
    this->dispatch();
    this->renewLeases(false);
}

void Dispatcher::on(const StopRequested &)
{
    this->stopping = true;
}

} // namespace azurespindle::decision
