// Admission, queueing, placement and rejection of requests.

#include "routing/router.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace azurespindle::routing {
namespace {

constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

/// Retry-After delay while no configuration is known.
constexpr milliseconds unreadyRetryAfter {500};
/// Retry-After delay while the process stops. It is short because the load balancer sends the retry
/// to another process.
constexpr milliseconds stoppingRetryAfter {20};
constexpr milliseconds minRetryAfter {100};
constexpr milliseconds maxRetryAfter {1'500};
/// Fraction of the latency objective for which a request may be queued.
constexpr double maxQueueTimeFraction = 0.6;
/// Number of requests that may be queued for all services.
constexpr std::size_t maxQueued = 512;
constexpr double tieBreakerScale = 1.0 / 2'147'483'648.0; ///< Maps a 31-bit tie breaker to [0, 1).

std::uint64_t fingerprintOf(const RoutedRequest &request)
{
    const std::string text
        = request.method + "\n" + request.target + "\n" + request.key + "\n" + request.body;
    return XXH3_64bits(text.data(), text.size());
}

/// Returns the ids of the prompt parts that other requests may share: all but the last.
std::vector<decision::PromptPartId> sharedPartsOf(const RoutedRequest &request)
{
    std::vector<decision::PromptPartId> shared;
    shared.reserve(request.promptParts.size());
    for (std::size_t part = 0; part + 1 < request.promptParts.size(); ++part) {
        shared.push_back(request.promptParts[part].id);
    }
    return shared;
}

const std::string &pickService(const Route &route, std::uint64_t tieBreaker)
{
    double total = 0.0;
    for (const ServiceShare &share : route.services) {
        total += share.weight;
    }
    double left = total * static_cast<double>(tieBreaker) * tieBreakerScale;
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
    ActiveRequest arrived;
    arrived.id = event.id;
    arrived.request = event.request;
    arrived.arrivedAt = this->now;
    arrived.lastActivityAt = this->now;
    arrived.lastEventId = event.request->lastEventId.value_or(0);
    ActiveRequest &stored
        = this->activeRequests.insert_or_assign(event.id, std::move(arrived)).first->second;
    if (const auto rejection = this->admit(stored)) {
        this->sendReply(stored, *rejection);
        return;
    }
    this->retryBudget.recordRequest(stored.serviceName, this->now);
    this->enqueue(stored);
    this->placeQueued();
    this->rejectBeyondLimits();
}

std::optional<LocalReply> Router::admit(ActiveRequest &arrived)
{
    const RoutedRequest &request = *arrived.request;
    if (this->state->routeTable == nullptr) {
        return LocalReply {statusUnavailable, unreadyRetryAfter, "no configuration is known yet"};
    }
    arrived.routeTable = this->state->routeTable;
    arrived.route = arrived.routeTable->find(request.host, request.path);
    if (arrived.route == nullptr || arrived.route->services.empty()) {
        return LocalReply {statusNotFound, milliseconds(0), "no route matches"};
    }
    const Route &route = *arrived.route;
    arrived.priority = route.priority;
    const bool requiresKey
        = !route.keyless && !arrived.routeTable->configuration().workspaces.empty();
    const Workspace *workspace = arrived.routeTable->workspaceOf(request.key);
    if (requiresKey && workspace == nullptr) {
        return LocalReply {statusUnauthorized, milliseconds(0), "the key is not known"};
    }
    if (workspace != nullptr) {
        arrived.workspace = workspace->name;
        arrived.workspaceRegions = workspace->regions;
        arrived.priority = workspace->priority.value_or(route.priority);
    }
    arrived.serviceName = pickService(route, this->nextTieBreaker());
    arrived.service = arrived.routeTable->service(arrived.serviceName);
    const milliseconds allowed = request.deadline.value_or(route.timeout);
    arrived.deadline = this->now + std::min(allowed, route.timeout);
    arrived.fingerprint = fingerprintOf(request);
    arrived.sharedParts = sharedPartsOf(request);
    if (auto rejection = this->crashRejection(arrived)) {
        return rejection;
    }
    if (this->outlastsStop(arrived)) {
        return this->stoppingReply(arrived);
    }
    if (this->queue.size() >= maxQueued) {
        return LocalReply {statusUnavailable, this->retryAfter(arrived), "the queue is full"};
    }
    return std::nullopt;
}

void Router::enqueue(ActiveRequest &active)
{
    active.queued = true;
    active.queuedAt = this->now;
    const auto isBefore = [this](RequestId a, RequestId b) {
        const ActiveRequest &first = this->activeRequests.at(a);
        const ActiveRequest &second = this->activeRequests.at(b);
        return std::pair(first.priority, first.arrivedAt)
            < std::pair(second.priority, second.arrivedAt);
    };
    const auto place
        = std::upper_bound(this->queue.begin(), this->queue.end(), active.id, isBefore);
    this->queue.insert(place, active.id);
}

void Router::dequeue(ActiveRequest &active)
{
    if (std::exchange(active.queued, false)) {
        this->queue.erase(std::remove(this->queue.begin(), this->queue.end(), active.id),
                          this->queue.end());
    }
}

void Router::placeQueued()
{
    const std::vector<RequestId> queued = this->queue;
    std::vector<std::string> full; ///< Services whose upstreams had no capacity for a request.
    for (const RequestId id : queued) {
        ActiveRequest *each = this->findRequest(id);
        if (each == nullptr || !each->queued) {
            continue;
        }
        // One that may have run is retried here, as its caller may not be able to send it again.
        if (this->outlastsStop(*each) && !each->relaying && each->mayHaveRunOn.empty()) {
            this->sendReply(*each, this->stoppingReply(*each));
            continue;
        }
        if (each->reservation || contains(full, each->serviceName)) {
            continue;
        }
        if (!this->rejectIfCrashing(*each) && !this->tryPlace(*each)) {
            full.push_back(each->serviceName);
        }
    }
}

bool Router::regionAllowed(const ActiveRequest &active, const UpstreamRecord &record) const
{
    const auto found = this->options.regionOfZone.find(record.zone);
    const std::string region = found == this->options.regionOfZone.end() ? "" : found->second;
    const auto permits = [&](const std::vector<std::string> &regions) {
        return regions.empty() || contains(regions, region);
    };
    return permits(active.route->regions) && permits(active.workspaceRegions);
}

bool Router::canServe(const ActiveRequest &active, const UpstreamRecord &record) const
{
    return record.service == active.serviceName && !this->isUnavailable(record)
        && this->state->evacuatedZones.count(record.zone) == 0
        && !contains(active.excluded, record.id) && !contains(active.mayHaveRunOn, record.id)
        && this->regionAllowed(active, record);
}

bool Router::isEligible(const ActiveRequest &active, const UpstreamRecord &record) const
{
    if (!this->canServe(active, record) || !this->rateLimits.allows(record.id, this->now)
        || !this->pauses.allows(record.id, record.incarnation, this->now)) {
        return false;
    }
    const auto cold = this->coldUntil.find(record.id);
    const bool isCold = cold != this->coldUntil.end() && cold->second > this->now;
    return !isCold || active.service == nullptr
        || this->coldStartLimiter.allows(record.id, active.service->coldRequestsPerSecond,
                                         this->upstreamsOfService.at(record.service), this->now);
}

decision::UpstreamCandidate Router::makeCandidate(const UpstreamRecord &record,
                                                  const Service *service,
                                                  const std::string &nearZone) const
{
    decision::UpstreamCandidate candidate;
    candidate.upstream = record.id;
    candidate.claimed = this->loads.totalClaim(record.id);
    candidate.slots = record.slots;
    const bool isEngine = service != nullptr && service->engine;
    candidate.memoryCapacity = isEngine ? service->engine->memoryTokens : 0;
    candidate.sameZone = record.zone == nearZone;
    candidate.recentlyFailing = this->isUnreliable(record);
    candidate.claimsDelayed = this->loads.usesFleetTotals() ? record.zone != this->options.zone
                                                            : this->loads.hasZoneTotal(record.zone);
    return candidate;
}

std::vector<decision::UpstreamCandidate> Router::candidatesFor(const ActiveRequest &active) const
{
    std::vector<decision::UpstreamCandidate> candidates;
    const Tokens memory = this->reservationPolicy.empty() ? 0 : this->demandOf(active).memory;
    for (const auto &[id, record] : this->state->upstreams) {
        if (this->isEligible(active, record)
            && this->reservationPolicy.accepts(id, record.incarnation, memory, this->now)) {
            candidates.push_back(this->makeCandidate(record, active.service, this->options.zone));
        }
    }
    this->assumeSilentZonesBusy(candidates);
    return candidates;
}

void Router::assumeSilentZonesBusy(std::vector<decision::UpstreamCandidate> &candidates) const
{
    if (this->silentZones.empty()) {
        return;
    }
    const auto isSilent = [this](const decision::UpstreamCandidate &candidate) {
        return this->isSilentZone(this->findUpstream(candidate.upstream)->zone);
    };
    decision::ResourceClaim sum;
    std::uint32_t reporting = 0;
    for (const decision::UpstreamCandidate &each : candidates) {
        if (!isSilent(each)) {
            sum += each.claimed;
            reporting += 1;
        }
    }
    for (decision::UpstreamCandidate &each : candidates) {
        if (reporting > 0 && isSilent(each)) {
            each.claimed.attempts = std::max(each.claimed.attempts, sum.attempts / reporting);
            each.claimed.memory = std::max(each.claimed.memory, sum.memory / reporting);
            each.claimed.prefill = std::max(each.claimed.prefill, sum.prefill / reporting);
        }
    }
}

decision::RequestDemand Router::demandOf(const ActiveRequest &active) const
{
    const Tokens prompt = active.request->promptTokens;
    return {prompt, prompt + this->outputForecast(active, 0).meanWhileRunning(), false, false};
}

std::optional<std::size_t>
Router::chooseCandidate(const ActiveRequest &active,
                        const std::vector<decision::UpstreamCandidate> &candidates)
{
    const bool isEngine = active.service != nullptr && active.service->engine;
    return isEngine
        ? decision::chooseEngine(candidates, this->demandOf(active), this->nextTieBreaker())
        : decision::choosePlainUpstream(candidates, this->nextTieBreaker());
}

bool Router::hasAlternative(const ActiveRequest &active)
{
    std::vector<decision::UpstreamCandidate> candidates = this->candidatesFor(active);
    std::erase_if(candidates, [&](const decision::UpstreamCandidate &candidate) {
        return candidate.upstream == active.upstream.id;
    });
    return this->chooseCandidate(active, candidates).has_value();
}

bool Router::tryPlace(ActiveRequest &active)
{
    const std::vector<decision::UpstreamCandidate> candidates = this->candidatesFor(active);
    const auto chosen = this->chooseCandidate(active, candidates);
    if (!chosen) {
        return false;
    }
    const UpstreamRecord upstream = *this->findUpstream(candidates[*chosen].upstream);
    const bool isEngine = active.service != nullptr && active.service->engine;
    const decision::ResourceClaim claim = isEngine
        ? decision::ResourceClaim {1, this->demandOf(active).memory, active.request->promptTokens}
        : decision::ResourceClaim {1, 0, 0};
    if (isEngine && this->mustReserve(active, candidates[*chosen])) {
        this->requestReservation(active, upstream, claim);
        return true;
    }
    this->beginOutput(active);
    this->dequeue(active);
    this->startAttempt(active, upstream, claim, std::nullopt);
    return true;
}

milliseconds Router::retryAfter(const ActiveRequest &active) const
{
    // Capacity becomes available only as running generations end, so the delay grows with the
    // remaining time. The spread keeps callers that were rejected together from retrying together.
    const auto left = std::chrono::duration_cast<milliseconds>(active.deadline - this->now);
    const milliseconds quarter = left / 4;
    const auto spread = milliseconds(static_cast<std::int64_t>(active.id * 37 % 200));
    const milliseconds delay = std::min(maxRetryAfter, std::max(minRetryAfter, quarter));
    return delay + spread;
}

bool Router::outlastsStop(const ActiveRequest &active) const
{
    return this->stop && active.deadline > this->stop->endsAt;
}

microseconds Router::timeLeft(const ActiveRequest &active) const
{
    const Instant end
        = this->stop ? std::min(active.deadline, this->stop->endsAt) : active.deadline;
    return end - this->now;
}

LocalReply Router::stoppingReply(const ActiveRequest &active) const
{
    const bool mayHaveRun = active.running || !active.mayHaveRunOn.empty();
    return mayHaveRun
        ? LocalReply {statusGatewayTimeout, milliseconds(0), "this process is stopping"}
        : LocalReply {statusUnavailable, stoppingRetryAfter, "this process is stopping"};
}

microseconds Router::maxQueueTime(const ActiveRequest &active)
{
    return std::chrono::duration_cast<microseconds>(active.route->latencyObjective
                                                    * maxQueueTimeFraction);
}

void Router::rejectUnplaceable()
{
    this->rejectBeyondLimits();
    const std::vector<RequestId> queued = this->queue;
    for (const RequestId id : queued) {
        ActiveRequest *each = this->findRequest(id);
        const bool inService = std::any_of(
            this->state->upstreams.begin(), this->state->upstreams.end(), [&](const auto &entry) {
                return entry.second.service == each->serviceName && !entry.second.draining;
            });
        if (inService && this->now - each->queuedAt < maxQueueTime(*each)) {
            continue;
        }
        const char *reason
            = inService ? "no upstream had room in time" : "no upstream is in service";
        const bool mayHaveRun = !each->mayHaveRunOn.empty();
        this->sendReply(*each,
                        {mayHaveRun ? 502 : statusUnavailable, this->retryAfter(*each), reason});
    }
}

} // namespace azurespindle::routing
