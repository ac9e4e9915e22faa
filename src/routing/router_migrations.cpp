// Migration of running generations to other engines.

#include "routing/router.h"

#include <algorithm>
#include <utility>

namespace azurespindle::routing {
namespace {

/// Delay after NotRunning, as the engine may not have started the generation yet.
constexpr milliseconds notRunningRetryDelay {120};
constexpr milliseconds inProgressRetryDelay {60};
/// Delay after a failed copy, multiplied by the number of failures, which counts up to maxFailures.
constexpr milliseconds failedRetryDelay {100};
constexpr milliseconds noDestinationRetryDelay {100};
constexpr std::uint32_t maxFailures = 4;
/// Time after the drain notice up to which the final copy waits for the first copies of the other
/// generations, if the engine does not report when it exits. A generation that stops earlier would
/// be queued behind these copies on the engine's link, and its caller's stream would pause.
constexpr milliseconds maxFinalCopyDelay {1'000};
/// Time before the exit of an engine that is reserved for the final copy.
constexpr milliseconds finalCopyReserve {350};
/// Factor on the estimated duration of the first copies. Copies between zones take twice as long,
/// and some of an engine's copies stay in its zone while others leave it.
constexpr double copyDurationMargin = 1.4;
constexpr double megabitsPerByte = 8.0 / 1e6;
/// Time for which the last events of a stopped generation may still arrive.
constexpr milliseconds lastEventsTimeout {80};
/// Fraction of the expected remaining output that is claimed as memory.
constexpr double claimedOutputFraction = 0.5;

bool contains(const std::vector<std::string> &list, const std::string &item)
{
    return std::find(list.begin(), list.end(), item) != list.end();
}

} // namespace

bool Router::canMigrate(const ActiveRequest &active) const
{
    return active.relaying && active.eventCount > 0 && active.service != nullptr
        && active.service->engine && active.service->engine->supportsMigration;
}

bool Router::sourceUnavailable(const ActiveRequest &active) const
{
    const UpstreamRecord *current = this->findUpstream(active.upstream.id);
    return current == nullptr || this->isUnavailable(*current)
        || current->incarnation != active.upstream.incarnation;
}

microseconds Router::copyDuration(const ActiveRequest &active, Tokens tokens) const
{
    const EngineTraits &engine = *active.service->engine;
    const double megabits = engine.bytesPerToken * megabitsPerByte * tokens;
    const double duration = megabits / std::max(1.0, engine.linkMegabitsPerSecond);
    return std::chrono::duration_cast<microseconds>(std::chrono::duration<double>(duration));
}

decision::ResourceClaim Router::currentClaim(const ActiveRequest &active) const
{
    const Tokens produced
        = static_cast<Tokens>(active.eventCount) * active.service->engine->tokensPerEvent;
    const Tokens remaining = this->expectedOutputTokens(active, produced);
    const auto claimedOutput = static_cast<Tokens>(claimedOutputFraction * remaining);
    return {1, active.request->promptTokens + produced + claimedOutput, 0};
}

void Router::noteDraining(const ActiveRequest &active)
{
    const DrainNotice notice {this->now, {}, active.upstream.incarnation};
    const auto [known, added] = this->drainNotices.try_emplace(active.upstream.id, notice);
    const bool asksAgain = known->second.stated && !known->second.exitsAt;
    const bool wasAsked = std::exchange(known->second.reportRequested, true);
    if (added || (asksAgain && !wasAsked)) {
        this->emit(RequestEngineReport {active.upstream.id, active.upstream.address});
    }
}

Instant Router::handoverDeadline(const ActiveRequest &active) const
{
    const auto found = this->drainNotices.find(active.upstream.id);
    if (found == this->drainNotices.end()) {
        return this->now;
    }
    const DrainNotice &notice = found->second;
    return notice.exitsAt ? *notice.exitsAt - finalCopyReserve
                          : notice.noticedAt + maxFinalCopyDelay;
}

void Router::startMigration(ActiveRequest &active, const std::string &reason)
{
    Migration migration;
    migration.reason = reason;
    migration.startedAt = this->now;
    migration.retryAt = this->now;
    // The generations of all processes at the engine share its link.
    const Tokens engineMemory = this->loads.totalClaim(active.upstream.id).memory;
    const microseconds allCopies = std::chrono::duration_cast<microseconds>(
        this->copyDuration(active, engineMemory) * copyDurationMargin);
    migration.finalCopyAt = this->now + allCopies;
    active.migration = migration;
    this->counters.migrationsStarted += 1;
}

void Router::advanceMigration(ActiveRequest &active)
{
    if (!active.migration) {
        if (!active.running || !this->canMigrate(active) || active.parallel) {
            return;
        }
        if (!this->sourceUnavailable(active)) {
            this->pollEngineReport(active);
            return;
        }
        if (!this->retryBudget.allows(active.serviceName, true, this->now)) {
            return;
        }
        this->noteDraining(active);
        if (this->canUseBackup(active)) {
            if (this->now >= this->handoverDeadline(active) && this->backupReady(active)) {
                this->takeOverFromBackup(active);
            }
            return;
        }
        this->startMigration(active, "upstream is draining");
    }
    Migration &migration = *active.migration;
    const bool destinationLost = [&] {
        const UpstreamRecord *destination = this->findUpstream(migration.destination.id);
        return destination == nullptr || this->isUnavailable(*destination)
            || destination->incarnation != migration.destination.incarnation
            || !this->acceptsTakeover(*destination);
    }();
    const bool holdsDestination
        = migration.stage == MigrationStage::Copying || migration.stage == MigrationStage::Copied;
    if (holdsDestination && destinationLost) {
        this->loads.subtract(migration.destination.id, migration.claim);
        migration.claim = {};
        migration.rejectedBy.push_back(migration.destination.id);
        migration.stage = MigrationStage::ChoosingDestination;
        migration.retryAt = this->now;
    }
    switch (migration.stage) {
    case MigrationStage::ChoosingDestination:
        if (this->now >= migration.retryAt) {
            this->chooseDestination(active);
        }
        break;
    case MigrationStage::Copied:
        if (!migration.handoverFailed) {
            this->handOver(active);
        } else if (this->now >= std::min(migration.finalCopyAt, this->handoverDeadline(active))) {
            this->requestFinalCopy(active);
        }
        break;
    case MigrationStage::Stopped:
        if (migration.sourceEnded || this->now - migration.stoppedAt >= lastEventsTimeout) {
            const Migration completed = migration;
            this->cancelAttempts(active);
            this->takeOver(active, completed.destination, active.upstream.address,
                           completed.handle);
        }
        break;
    case MigrationStage::Copying:
    case MigrationStage::HandingOver:
    case MigrationStage::Stopping:
        break; // Waits for a response.
    }
}

void Router::chooseDestination(ActiveRequest &active)
{
    Migration &migration = *active.migration;
    std::vector<decision::UpstreamCandidate> candidates;
    for (const auto &[id, record] : this->state->upstreams) {
        const bool isCandidate = record.service == active.serviceName
            && !this->isUnavailable(record) && this->regionAllowed(active, record)
            && this->pauses.allows(record.id, record.incarnation, this->now)
            && id != active.upstream.id && !contains(migration.rejectedBy, id)
            && this->state->evacuatedZones.count(record.zone) == 0
            && this->rateLimits.allows(id, this->now);
        if (!isCandidate) {
            continue;
        }
        // Copies between zones take twice as long and delay the other copies on the link, so the
        // engine's zone is preferred. If the stream is silent, however, that zone may be
        // partitioned off, and this process's zone is preferred.
        const std::string &preferredZone
            = migration.stopImmediately ? this->options.zone : active.upstream.zone;
        candidates.push_back(this->makeCandidate(record, active.service, preferredZone));
    }
    this->assumeSilentZonesBusy(candidates);
    const decision::ResourceClaim claim = this->currentClaim(active);
    const auto chosen = decision::chooseEngine(
        candidates, {active.request->promptTokens, claim.memory, true, true},
        this->nextTieBreaker());
    if (!chosen) {
        migration.retryAt = this->now + noDestinationRetryDelay;
        migration.rejectedBy.clear();
        return;
    }
    migration.destination = *this->findUpstream(candidates[*chosen].upstream);
    migration.claim = claim;
    migration.handoverFailed = false;
    this->loads.add(migration.destination.id, claim);
    const bool stopSource = migration.sourceEnded || migration.stopImmediately;
    migration.stage = stopSource ? MigrationStage::Stopping : MigrationStage::Copying;
    this->journal(active, journal::EventId::MoveBegun,
                  {{"from", active.upstream.id},
                   {"to", migration.destination.id},
                   {"reason", migration.reason},
                   {"events", std::to_string(active.eventCount)},
                   {"final", stopSource ? "yes" : "no"}});
    this->emit(RequestMigration {{active.id, active.attempt},
                                 active.upstream.address,
                                 migration.destination.address,
                                 active.request->callerRequestId,
                                 stopSource});
}

void Router::handOver(ActiveRequest &active)
{
    // The first copy lacks only the tokens generated since, which the destination recomputes
    // quickly. A final copy would be queued behind all other copies on both links, and the stream
    // would pause.
    Migration &migration = *active.migration;
    migration.stage = MigrationStage::HandingOver;
    this->startParallelTakeover(active, migration.destination,
                                active.upstream.address + "/" + migration.handle, true);
}

void Router::requestFinalCopy(ActiveRequest &active)
{
    Migration &migration = *active.migration;
    migration.stage = MigrationStage::Stopping;
    this->emit(RequestMigration {{active.id, active.attempt},
                                 active.upstream.address,
                                 migration.destination.address,
                                 active.request->callerRequestId,
                                 true});
}

void Router::on(const MigrationResponseArrived &event)
{
    ActiveRequest *current = this->findByCurrentAttempt(event.attempt);
    if (current == nullptr || !current->migration) {
        return;
    }
    ActiveRequest &active = *current;
    this->journal(
        active, journal::EventId::MoveAnswered,
        {{"from", active.upstream.id},
         {"to", active.migration->destination.id},
         {"final", event.final ? "yes" : "no"},
         {"status", name(event.response.status)},
         {"created", std::to_string(event.response.eventsGenerated)},
         {"events", std::to_string(active.eventCount)},
         {"sinceMs", std::to_string((this->now - active.migration->startedAt).count() / 1'000)}});
    if (!event.final && active.migration->stage == MigrationStage::Copying) {
        this->onFirstCopyResponse(active, event.response);
    } else if (event.final && active.migration->stage == MigrationStage::Stopping) {
        this->onFinalCopyResponse(active, event.response);
    }
    this->placeQueued();
}

void Router::onFirstCopyResponse(ActiveRequest &active, const MigrationResponse &response)
{
    Migration &migration = *active.migration;
    if (response.status == MigrationStatus::Copied) {
        migration.handle = response.handle;
        migration.stage = MigrationStage::Copied;
        this->advanceMigration(active);
        return;
    }
    this->loads.subtract(migration.destination.id, migration.claim);
    migration.claim = {};
    migration.stage = MigrationStage::ChoosingDestination;
    switch (response.status) {
    case MigrationStatus::NoCapacity:
        migration.rejectedBy.push_back(migration.destination.id);
        migration.retryAt = this->now;
        break;
    case MigrationStatus::InProgress:
        migration.retryAt = this->now + inProgressRetryDelay;
        break;
    case MigrationStatus::NotRunning:
        migration.retryAt = this->now + notRunningRetryDelay;
        break;
    default:
        migration.failures = std::min(migration.failures + 1, maxFailures);
        migration.retryAt = this->now + failedRetryDelay * migration.failures;
        break;
    }
    this->advanceMigration(active);
}

void Router::onFinalCopyResponse(ActiveRequest &active, const MigrationResponse &response)
{
    Migration &migration = *active.migration;
    if (response.status == MigrationStatus::Copied) {
        migration.handle = response.handle;
        migration.stage = MigrationStage::Stopped;
        migration.stoppedAt = this->now;
        this->advanceMigration(active);
        return;
    }
    if (response.status == MigrationStatus::NoCapacity && !response.handle.empty()) {
        // The generation has stopped and its KV cache is still at the source, so it continues
        // there.
        const UpstreamRecord source = active.upstream;
        this->cancelAttempts(active);
        this->takeOver(active, source, source.address, response.handle);
        return;
    }
    if (response.status == MigrationStatus::InProgress) {
        migration.retryAt = this->now + inProgressRetryDelay;
        migration.stage = MigrationStage::ChoosingDestination;
        this->loads.subtract(migration.destination.id, migration.claim);
        migration.claim = {};
        return;
    }
    if (!migration.sourceEnded) {
        // The generation still streams, or has just completed.
        migration.failures = std::min(migration.failures + 1, maxFailures);
        this->loads.subtract(migration.destination.id, migration.claim);
        migration.claim = {};
        migration.stage = MigrationStage::ChoosingDestination;
        migration.retryAt = this->now + failedRetryDelay * migration.failures;
        return;
    }
    // The end of a stopped stream without chunks looks like that of a complete one.
    const bool completed = migration.sourceCompleted
        && (!active.head.endsWithConnection || response.status == MigrationStatus::NotRunning);
    if (completed) {
        this->discardMigration(active, true);
        this->emit(EndStream {active.id});
        this->finishRequest(active);
        return;
    }
    if (!migration.handle.empty()) {
        const Migration copied = migration;
        this->takeOver(active, copied.destination, active.upstream.address, copied.handle);
        return;
    }
    this->abortStream(active, "the engine failed to copy the generation");
}

bool Router::recoverGeneration(ActiveRequest &active, const std::string &reason)
{
    if (!this->canMigrate(active) || this->findUpstream(active.upstream.id) == nullptr
        || !this->retryBudget.allows(active.serviceName, true, this->now)) {
        return false;
    }
    this->startMigration(active, reason);
    active.migration->sourceEnded = !active.running;
    active.migration->stopImmediately = true;
    this->chooseDestination(active);
    if (active.migration->stage == MigrationStage::ChoosingDestination && !active.running) {
        this->discardMigration(active, false);
        return false;
    }
    return true;
}

void Router::discardMigration(ActiveRequest &active, bool releaseCopy)
{
    if (!active.migration) {
        return;
    }
    this->loads.subtract(active.migration->destination.id, active.migration->claim);
    if (releaseCopy && !active.migration->handle.empty()) {
        this->emit(ReleaseCopy {active.upstream.address, active.migration->handle});
    }
    active.migration.reset();
}

} // namespace azurespindle::routing
