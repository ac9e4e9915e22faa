// Continuation of generations from copies of their KV cache: backup copies, and copies that a
// migration made.

#include "routing/internal/attempt_outcome.h"
#include "routing/router.h"

#include <algorithm>
#include <utility>

namespace azurespindle::routing {
namespace {

constexpr int statusOk = 200;
/// Fraction of an engine's memory up to which it is given backup copies. The rest is reserved for
/// running generations.
constexpr double maxBackupMemoryFraction = 0.62;
/// Cost of a backup copy outside this process's zone if the generation is outside it as well, as a
/// fraction of an engine's memory. A network partition may make both unreachable.
constexpr double remoteBackupCost = 0.25;
/// Cost of a backup copy on an engine that takes twice as long as usual, as a fraction of an
/// engine's memory.
constexpr double slowBackupCost = 0.15;
/// Time after the first event until a backup copy is available: engines send backups several times
/// a second.
constexpr milliseconds backupReadyDelay {600};
/// Interval at which an engine is asked whether it is draining while the store is unavailable.
constexpr milliseconds reportInterval {500};
/// Delay after a failed parallel takeover.
constexpr milliseconds parallelTakeoverRetryDelay {300};

} // namespace

std::optional<UpstreamRecord> Router::chooseBackup(const ActiveRequest &active,
                                                   const UpstreamRecord &upstream,
                                                   const decision::ResourceClaim &claim)
{
    const bool needsBackup = active.route->kind == RouteKind::Streaming && !active.route->resumable
        && active.service != nullptr && active.service->engine
        && active.service->engine->supportsBackup;
    if (!needsBackup) {
        return std::nullopt;
    }
    const auto capacity = static_cast<double>(active.service->engine->memoryTokens);
    const UpstreamRecord *best = nullptr;
    double bestCost = 0.0;
    for (const auto &[id, record] : this->state->upstreams) {
        if (id == upstream.id || this->isSilentZone(record.zone)
            || !this->isEligible(active, record)) {
            continue;
        }
        const bool unreliable = this->isUnreliable(record);
        const double memoryFraction = (this->loads.totalClaim(id).memory + claim.memory) / capacity;
        // If the generation runs in another zone and a partition makes it unreachable, a copy in
        // this process's zone remains available.
        const bool survivesPartition
            = upstream.zone == this->options.zone || record.zone == this->options.zone;
        const double slowness = 1.0 / this->speeds.speed(id, record.incarnation) - 1.0;
        const double cost = memoryFraction + (survivesPartition ? 0.0 : remoteBackupCost)
            + slowBackupCost * slowness;
        const bool hasRoom = memoryFraction < maxBackupMemoryFraction;
        if (!unreliable && hasRoom && (best == nullptr || cost < bestCost)) {
            best = &record;
            bestCost = cost;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

bool Router::canUseBackup(const ActiveRequest &active) const
{
    if (!active.backup || active.eventCount == 0) {
        return false;
    }
    const UpstreamRecord *current = this->findUpstream(active.backup->id);
    return current != nullptr && !this->isUnavailable(*current)
        && current->incarnation == active.backup->incarnation && this->acceptsTakeover(*current)
        && this->pauses.allows(current->id, current->incarnation, this->now) && !active.parallel
        && this->now >= active.nextParallelTakeover;
}

bool Router::backupReady(const ActiveRequest &active) const
{
    return active.attemptFirstEventAt
        && this->now - *active.attemptFirstEventAt >= backupReadyDelay;
}

void Router::pollEngineReport(const ActiveRequest &active)
{
    if (!this->storeUnavailable) {
        return;
    }
    const auto [requested, isFirst]
        = this->reportRequestedAt.try_emplace(active.upstream.id, this->now);
    if (isFirst || this->now - requested->second >= reportInterval) {
        requested->second = this->now;
        this->emit(RequestEngineReport {active.upstream.id, active.upstream.address});
    }
}

void Router::startParallelTakeover(ActiveRequest &active, const UpstreamRecord &destination,
                                   const std::string &source)
{
    this->counters.takeoversBeside += 1;
    active.lastAttempt += 1;
    active.attemptCount += 1;
    active.possibleDeliveries += 1;
    ParallelTakeover parallel {active.lastAttempt, destination, this->currentClaim(active),
                               this->now};
    this->loads.add(destination.id, parallel.claim);
    this->rateLimits.recordSend(destination.id, this->now);
    this->retryBudget.recordResend(active.serviceName, this->now);
    AttemptPlan plan = this->makePlan(active, destination);
    plan.takeover = Takeover {source};
    plan.resumeAfterEvent = active.lastEventId;
    this->journalPlacement(active, parallel.number, plan);
    this->emit(StartAttempt {{active.id, parallel.number}, std::move(plan), true});
    active.parallel = std::move(parallel);
}

void Router::promoteParallelTakeover(ActiveRequest &active, const ResponseHead &head)
{
    const ParallelTakeover parallel = *active.parallel;
    active.parallel.reset();
    // Ending the current attempt also releases the claim of its backup copy.
    if (active.running) {
        this->emit(CancelAttempt {{active.id, active.attempt}});
    }
    this->releaseUpstream(active);
    this->discardMigration(active, true);
    active.backup.reset();
    active.attempt = parallel.number;
    active.relayedAttempt = parallel.number;
    active.running = true;
    active.upstream = parallel.upstream;
    active.claim = parallel.claim;
    active.attemptStartedAt = this->now;
    active.attemptFirstEventAt.reset();
    active.head = head;
    active.headReceived = true;
    active.isTakeover = true;
    active.resuming = true;
    active.takeoverSource.reset();
    this->counters.migrationsCompleted += 1;
    this->emit(RelayStream {{active.id, active.attempt}});
}

void Router::handleParallelTakeoverFailure(ActiveRequest &active, AttemptEnd end,
                                           const std::string &detail)
{
    this->journal(active, journal::EventId::AttemptFailed,
                  {{"attempt", std::to_string(active.parallel->number)},
                   {"upstream", active.parallel->upstream.id},
                   {"end", name(end)},
                   {"beside", "yes"},
                   {"detail", detail}});
    const ParallelTakeover failed = *active.parallel;
    this->releaseParallelTakeover(active);
    active.nextParallelTakeover = this->now + parallelTakeoverRetryDelay;
    const bool mayRun = end == AttemptEnd::Lost || end == AttemptEnd::TimedOut;
    if (mayRun && active.service->engine->supportsMigration) {
        this->stopRun(active, failed.number, failed.upstream, active.upstream.address);
    }
    const bool unreachable = end == AttemptEnd::NotSent || end == AttemptEnd::TimedOut;
    if (active.running && unreachable && !this->sourceUnavailable(active)) {
        // The connection may recover, or the current attempt may send events again.
        active.migration->stage = MigrationStage::Stopping;
        active.migration->retryAt = active.nextParallelTakeover;
        return;
    }
    this->releaseBackup(active);
    this->onEarlierCopyRefused(active);
}

void Router::releaseParallelTakeover(ActiveRequest &active)
{
    if (active.parallel) {
        this->loads.subtract(active.parallel->upstream.id, active.parallel->claim);
        active.parallel.reset();
    }
}

void Router::releaseBackup(ActiveRequest &active)
{
    if (active.backup && active.running) {
        this->loads.subtract(active.backup->id, active.backupClaim);
    }
    active.backup.reset();
}

void Router::handleTakeoverFailure(ActiveRequest &active, AttemptEnd end, const std::string &detail)
{
    const bool notRun = internal::wasNotRun(active, end);
    if (active.migration && notRun) {
        this->onEarlierCopyRefused(active);
        return;
    }
    this->discardMigration(active, true);
    if (notRun && this->sourceCanContinue(active)) {
        const UpstreamRecord source = *active.takeoverSource;
        const Takeover takeover = active.takeover;
        this->startAttempt(active, source, this->currentClaim(active), takeover);
        return;
    }
    if (this->canRetry(active)) {
        if (end != AttemptEnd::Complete) {
            this->noteUnconfirmedEnd(active);
        }
        active.mayHaveRunOn.push_back(active.upstream.id);
        this->enqueue(active);
        return;
    }
    this->abortStream(active, "the generation could not be resumed on another engine: " + detail);
}

bool Router::sourceCanContinue(const ActiveRequest &active) const
{
    if (!active.takeoverSource || active.upstream.id == active.takeoverSource->id) {
        return false;
    }
    const UpstreamRecord *current = this->findUpstream(active.takeoverSource->id);
    return current != nullptr && current->incarnation == active.takeoverSource->incarnation
        && this->acceptsTakeover(*current);
}

} // namespace azurespindle::routing
