// The part of Router that takes requests in, queues them, places them, and refuses them.

#include "routing/router.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace azurespindle::routing {
namespace {

constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;

/// Wait before the next try where no configuration is known yet.
constexpr milliseconds unreadyRetry {500};
/// A stopping process is passed over by the balancer, so the next try may come at once.
constexpr milliseconds stoppingRetry {20};
constexpr milliseconds leastRetry {100};
constexpr milliseconds mostRetry {1'500};
/// Part of the response-time objective for which a request waits for room.
constexpr double waitPart = 0.6;
/// Requests that may wait, of all services together.
constexpr std::size_t maxQueued = 512;
/// Part of an output that is reckoned as held at the time of need: runs end at different times.
constexpr double heldOutputPart = 0.5;
/// Output reckoned with where nothing is declared, in tokens.
constexpr Tokens unknownOutput = 512;
/// Part of the longest output that is allowed, which one is expected to make.
constexpr double declaredPart = 0.42;
/// Outputs of a route at which what was learned of it weighs as much as what is declared.
constexpr double fewOutputs = 24.0;
constexpr double turnScale = 1.0 / 2'147'483'648.0; ///< From a turn (31 bits) to [0, 1).

std::uint64_t fingerprintOf(const RoutedRequest &request)
{
    const std::string text
        = request.method + "\n" + request.target + "\n" + request.key + "\n" + request.body;
    return XXH3_64bits(text.data(), text.size());
}

const std::string &pickService(const Route &route, std::uint64_t turn)
{
    double total = 0.0;
    for (const ServiceShare &share : route.services) {
        total += share.weight;
    }
    double left = total * static_cast<double>(turn) * turnScale;
    for (const ServiceShare &share : route.services) {
        left -= share.weight;
        if (left < 0.0) {
            return share.service;
        }
    }
    return route.services.back().service;
}

bool contains(const std::vector<std::string> &list, const std::string &item)
{
    return std::find(list.begin(), list.end(), item) != list.end();
}

} // namespace

void Router::on(const RequestArrived &event)
{
    Open arrived;
    arrived.id = event.id;
    arrived.request = event.request;
    arrived.arrived = this->now;
    arrived.lastHeard = this->now;
    arrived.lastEventId = event.request->lastEventId.value_or(0);
    Open &entered = this->open.insert_or_assign(event.id, std::move(arrived)).first->second;
    if (const auto refusal = this->resolve(entered)) {
        this->answer(entered, *refusal);
        return;
    }
    this->budget.recordRequest(entered.serviceName, this->now);
    this->enqueue(entered);
    this->dispatch();
}

std::optional<LocalReply> Router::resolve(Open &arrived)
{
    const RoutedRequest &request = *arrived.request;
    if (this->state->routeTable == nullptr) {
        return LocalReply {statusUnavailable, unreadyRetry, "no configuration is known yet"};
    }
    arrived.table = this->state->routeTable;
    arrived.route = arrived.table->find(request.host, request.path);
    if (arrived.route == nullptr || arrived.route->services.empty()) {
        return LocalReply {statusNotFound, milliseconds(0), "no route matches"};
    }
    const Route &route = *arrived.route;
    arrived.priority = route.priority;
    const bool keyed = !route.keyless && !arrived.table->configuration().workspaces.empty();
    const Workspace *workspace = arrived.table->workspaceOf(request.key);
    if (keyed && workspace == nullptr) {
        return LocalReply {statusUnauthorized, milliseconds(0), "the key is not known"};
    }
    if (workspace != nullptr) {
        arrived.workspace = workspace->name;
        arrived.workspaceRegions = workspace->regions;
        arrived.priority = workspace->priority.value_or(route.priority);
    }
    arrived.serviceName = pickService(route, this->nextTurn());
    arrived.service = arrived.table->service(arrived.serviceName);
    const milliseconds allowed = request.deadline.value_or(route.timeout);
    arrived.deadline = this->now + std::min(allowed, route.timeout);
    arrived.fingerprint = fingerprintOf(request);
    if (this->crashes.isBlocked(arrived.fingerprint, this->now)) {
        return LocalReply {statusUnavailable, milliseconds(0), "upstreams died running it"};
    }
    const bool longRun = route.kind == RouteKind::Streaming && !route.resumable;
    if (this->stopping && longRun) {
        return LocalReply {statusUnavailable, stoppingRetry, "this process is stopping"};
    }
    if (this->queue.size() >= maxQueued) {
        return LocalReply {statusUnavailable, this->retryAfter(arrived), "the queue is full"};
    }
    return std::nullopt;
}

void Router::enqueue(Open &open)
{
    open.queued = true;
    open.queuedAt = this->now;
    const auto before = [this](RequestId a, RequestId b) {
        const Open &first = this->open.at(a);
        const Open &second = this->open.at(b);
        return std::pair(first.priority, first.arrived)
            < std::pair(second.priority, second.arrived);
    };
    const auto place = std::upper_bound(this->queue.begin(), this->queue.end(), open.id, before);
    this->queue.insert(place, open.id);
}

void Router::unqueue(Open &open)
{
    if (std::exchange(open.queued, false)) {
        this->queue.erase(std::remove(this->queue.begin(), this->queue.end(), open.id),
                          this->queue.end());
    }
}

void Router::dispatch()
{
    const std::vector<RequestId> waiting = this->queue;
    std::vector<std::string> full; ///< Services whose engines had no room for a request.
    for (const RequestId id : waiting) {
        Open *each = this->find(id);
        if (each == nullptr || !each->queued || contains(full, each->serviceName)) {
            continue;
        }
        if (!this->tryPlace(*each)) {
            full.push_back(each->serviceName);
        }
    }
}

bool Router::isHome(const Open &open, const UpstreamRecord &record) const
{
    const auto found = this->options.regionOfZone.find(record.zone);
    const std::string region = found == this->options.regionOfZone.end() ? "" : found->second;
    const auto lets = [&](const std::vector<std::string> &regions) {
        return regions.empty() || contains(regions, region);
    };
    return lets(open.route->regions) && lets(open.workspaceRegions);
}

bool Router::usable(const Open &open, const UpstreamRecord &record) const
{
    if (record.service != open.serviceName || this->goesAway(record)
        || this->state->evacuatedZones.count(record.zone) > 0 || contains(open.avoided, record.id)
        || contains(open.ranOn, record.id) || !this->isHome(open, record)) {
        return false;
    }
    const auto cold = this->coldUntil.find(record.id);
    const bool isCold = cold != this->coldUntil.end() && cold->second > this->now;
    return !isCold || open.service == nullptr
        || this->coldShare.allows(record.id, open.service->coldRequestsPerSecond, this->now);
}

decision::UpstreamCandidate Router::candidate(const UpstreamRecord &record, const Service *service,
                                              const std::string &nearZone) const
{
    decision::UpstreamCandidate candidate;
    candidate.upstream = record.id;
    candidate.claimed = this->loads.totalClaim(record.id);
    candidate.slots = record.slots;
    const bool engine = service != nullptr && service->engine;
    candidate.memoryCapacity = engine ? service->engine->memoryTokens : 0;
    candidate.sameZone = record.zone == nearZone;
    candidate.recentlyFailing = this->troubled(record);
    candidate.claimsDelayed = this->loads.hasZoneTotal(record.zone);
    return candidate;
}

std::vector<decision::UpstreamCandidate> Router::candidatesFor(const Open &open) const
{
    std::vector<decision::UpstreamCandidate> candidates;
    for (const auto &[id, record] : this->state->upstreams) {
        if (this->usable(open, record)) {
            candidates.push_back(this->candidate(record, open.service, this->options.zone));
        }
    }
    this->assumeUnheardZonesBusy(candidates);
    return candidates;
}

void Router::assumeUnheardZonesBusy(std::vector<decision::UpstreamCandidate> &candidates) const
{
    if (this->unheardZones.empty()) {
        return;
    }
    const auto isUnheard = [this](const decision::UpstreamCandidate &candidate) {
        return this->unheard(this->record(candidate.upstream)->zone);
    };
    decision::ResourceClaim sum;
    std::uint32_t heard = 0;
    for (const decision::UpstreamCandidate &each : candidates) {
        if (!isUnheard(each)) {
            sum += each.claimed;
            heard += 1;
        }
    }
    for (decision::UpstreamCandidate &each : candidates) {
        if (heard > 0 && isUnheard(each)) {
            each.claimed.attempts = std::max(each.claimed.attempts, sum.attempts / heard);
            each.claimed.memory = std::max(each.claimed.memory, sum.memory / heard);
            each.claimed.prefill = std::max(each.claimed.prefill, sum.prefill / heard);
        }
    }
}

Tokens Router::expectedOutput(const Open &open, Tokens made) const
{
    const Tokens most
        = open.request->maxOutputTokens > 0 ? open.request->maxOutputTokens : unknownOutput;
    const double undeclared = declaredPart * (most > made ? most - made : 0);
    const decision::LengthForecast *learned = this->forecasts.find(open.route->name);
    if (learned == nullptr) {
        return static_cast<Tokens>(undeclared);
    }
    // The outputs that end first are the short ones: what was learned of a few misleads.
    const decision::LengthEstimate estimate = learned->estimate("", "");
    const double trust = estimate.effectiveSamples() / (estimate.effectiveSamples() + fewOutputs);
    return static_cast<Tokens>(trust * estimate.expectedRemaining(made, most)
                               + (1.0 - trust) * undeclared);
}

bool Router::tryPlace(Open &open)
{
    const std::vector<decision::UpstreamCandidate> candidates = this->candidatesFor(open);
    const bool engine = open.service != nullptr && open.service->engine;
    const Tokens prompt = open.request->promptTokens;
    const auto held
        = static_cast<Tokens>(heldOutputPart * static_cast<double>(this->expectedOutput(open, 0)));
    const decision::RequestDemand need {prompt, prompt + held, false, false};
    const auto chosen = engine ? decision::chooseEngine(candidates, need, this->nextTurn())
                               : decision::choosePlainUpstream(candidates, this->nextTurn());
    if (!chosen) {
        return false;
    }
    const UpstreamRecord upstream = *this->record(candidates[*chosen].upstream);
    const decision::ResourceClaim claim = engine ? decision::ResourceClaim {1, need.memory, prompt}
                                                 : decision::ResourceClaim {1, 0, 0};
    this->unqueue(open);
    this->start(open, upstream, claim, std::nullopt);
    return true;
}

milliseconds Router::retryAfter(const Open &open) const
{
    // Room comes as runs end: about one of those that are queued or run for each of their number.
    const auto left = std::chrono::duration_cast<milliseconds>(open.deadline - this->now);
    const milliseconds quarter = left / 4;
    const auto spread = milliseconds(static_cast<std::int64_t>(open.id * 37 % 200));
    const milliseconds wanted = std::min(mostRetry, std::max(leastRetry, quarter));
    return wanted + spread;
}

void Router::refuseHopeless()
{
    const std::vector<RequestId> waiting = this->queue;
    for (const RequestId id : waiting) {
        Open *each = this->find(id);
        const auto patience
            = std::chrono::duration_cast<microseconds>(each->route->latencyObjective * waitPart);
        const bool listed = std::any_of(
            this->state->upstreams.begin(), this->state->upstreams.end(), [&](const auto &entry) {
                return entry.second.service == each->serviceName && !entry.second.draining;
            });
        if (listed && this->now - each->queuedAt < patience) {
            continue;
        }
        const char *reason = listed ? "no upstream had room in time" : "no upstream is in service";
        const bool ran = !each->ranOn.empty();
        this->answer(*each, {ran ? 502 : statusUnavailable, this->retryAfter(*each), reason});
    }
}

} // namespace azurespindle::routing
