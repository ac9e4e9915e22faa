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
    const Tokens produced = producedTokens(active);
    const Tokens growth = this->outputForecast(active, produced).meanWhileRunning();
    return {1, active.request->promptTokens + produced + growth, 0};
}

void Router::updateClaim(ActiveRequest &active)
{
    active.claimUpdatedAtEvent = active.eventCount;
    if (!active.running || active.service == nullptr || !active.service->engine) {
        return;
    }
    this->recordOutput(active);
    const Tokens memory = this->currentClaim(active).memory;
    this->loads.subtract(active.upstream.id, active.claim);
    active.claim.memory = memory;
    this->loads.add(active.upstream.id, active.claim);
    if (active.backup) {
        this->loads.subtract(active.backup->id, active.backupClaim);
        active.backupClaim.memory = memory;
        this->loads.add(active.backup->id, active.backupClaim);
    }
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
    migration.source = active.upstream;
    migration.sourceAttempt = active.attempt;
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
                this->handOverToBackup(active, "upstream is draining");
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
        if (this->now >= std::min(migration.finalCopyAt, this->handoverDeadline(active))) {
            this->stopSource(active);
        }
        break;
    case MigrationStage::Stopping:
    case MigrationStage::Stopped:
        this->advanceStop(active);
        break;
    case MigrationStage::TakingOver:
        this->checkTakeoverTime(active);
        break;
    case MigrationStage::Copying:
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
    const decision::RequestDemand demand {active.request->promptTokens,
                                          claim.memory,
                                          true,
                                          true,
                                          this->gapObjectiveOf(active.serviceName),
                                          active.service->engine->tokensPerEvent};
    const auto chosen = decision::chooseEngine(candidates, demand, this->nextTieBreaker());
    const bool hasCopy = !migration.earlierCopy.empty();
    if (!chosen && !hasCopy) {
        migration.retryAt = this->now + noDestinationRetryDelay;
        migration.rejectedBy.clear();
        return;
    }
    migration.destination
        = chosen ? *this->findUpstream(candidates[*chosen].upstream) : migration.earlierCopyHolder;
    migration.claim = chosen ? claim : decision::ResourceClaim {};
    this->loads.add(migration.destination.id, migration.claim);
    const bool stopNow = migration.sourceEnded || migration.stopImmediately || hasCopy;
    this->journal(active, journal::EventId::MoveBegun,
                  {{"from", active.upstream.id},
                   {"to", migration.destination.id},
                   {"reason", migration.reason},
                   {"events", std::to_string(active.eventCount)},
                   {"final", stopNow ? "yes" : "no"}});
    if (stopNow) {
        this->stopSource(active);
        return;
    }
    migration.stage = MigrationStage::Copying;
    this->emit(RequestMigration {{active.id, active.attempt},
                                 active.upstream.address,
                                 migration.destination.address,
                                 active.request->callerRequestId,
                                 false});
}

void Router::on(const MigrationResponseArrived &event)
{
    ActiveRequest *current = this->findRequest(event.attempt.request);
    const bool awaited = current != nullptr && current->migration
        && current->migration->sourceAttempt == event.attempt.number;
    if (event.final) {
        this->noteRunStopAnswer(event, awaited);
    }
    if (!awaited) {
        return;
    }
    ActiveRequest &active = *current;
    this->journal(
        active, journal::EventId::MoveAnswered,
        {{"from", active.migration->source.id},
         {"to", active.migration->destination.id},
         {"final", event.final ? "yes" : "no"},
         {"status", name(event.response.status)},
         {"created", std::to_string(event.response.eventsGenerated)},
         {"events", std::to_string(active.eventCount)},
         {"sinceMs", std::to_string((this->now - active.migration->startedAt).count() / 1'000)}});
    if (!event.final && active.migration->stage == MigrationStage::Copying) {
        this->onFirstCopyResponse(active, event.response);
    } else if (event.final
               && (active.migration->stage == MigrationStage::Stopping
                   || active.migration->stage == MigrationStage::TakingOver)) {
        this->onStopResponse(active, event.response);
    }
    this->placeQueued();
}

void Router::onFirstCopyResponse(ActiveRequest &active, const MigrationResponse &response)
{
    Migration &migration = *active.migration;
    if (response.status == MigrationStatus::Copied) {
        migration.handle = response.handle;
        migration.earlierCopy = migration.source.address + "/" + response.handle;
        migration.earlierCopyHolder = migration.destination;
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
    const Migration &migration = *active.migration;
    this->loads.subtract(migration.destination.id, migration.claim);
    const bool inUse = migration.stage == MigrationStage::TakingOver
        && migration.earlierCopy == migration.source.address + "/" + migration.handle;
    if (releaseCopy && !migration.handle.empty() && !inUse) {
        this->emit(ReleaseCopy {migration.source.address, migration.handle});
    }
    active.migration.reset();
}

} // namespace azurespindle::routing
