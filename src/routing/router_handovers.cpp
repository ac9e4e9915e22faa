// Hand-overs: a running generation is stopped at its engine before another one continues it,
// because an engine may work on after its connection was closed. The source's stream ends as soon
// as it has stopped, long before the rest is copied, so the destination continues from a copy that
// it has already and recomputes what that lacks. The final copy is the fallback.

#include "routing/internal/attempt_outcome.h"
#include "routing/router.h"

#include <algorithm>
#include <utility>

namespace azurespindle::routing {
namespace {

/// Time for which the last events of a stopped generation may still arrive.
constexpr milliseconds lastEventsTimeout {80};
/// Time after which a source that neither answers nor sends events counts as unreachable.
constexpr milliseconds stopAnswerTimeout {200};
/// Time after which a takeover without an event is given up.
constexpr milliseconds takeoverTimeout {1'500};
/// Delay after a source did not stop, multiplied by the number of failures, which counts up to
/// maxFailures.
constexpr milliseconds stopRetryDelay {100};
constexpr std::uint32_t maxFailures = 4;

} // namespace

void Router::handOverToBackup(ActiveRequest &active, const std::string &reason)
{
    this->startMigration(active, reason);
    Migration &migration = *active.migration;
    migration.earlierCopy = active.backup->address + "/" + active.request->callerRequestId;
    migration.earlierCopyHolder = *active.backup;
    migration.sourceEnded = !active.running;
    if (!active.service->engine->supportsMigration) {
        migration.stopStatus = MigrationStatus::Failed;
        this->takeOverEarlierCopy(active);
        return;
    }
    // The engine that holds the backup may lack the room for a second copy.
    migration.rejectedBy.push_back(active.backup->id);
    this->chooseDestination(active);
}

void Router::stopSource(ActiveRequest &active)
{
    Migration &migration = *active.migration;
    migration.stage = MigrationStage::Stopping;
    migration.stopStatus.reset();
    migration.stopRequestedAt = this->now;
    migration.endedUnasked = migration.sourceEnded;
    this->stopRun(active, migration.sourceAttempt, migration.source, migration.destination.address);
}

void Router::onStopResponse(ActiveRequest &active, const MigrationResponse &response)
{
    Migration &migration = *active.migration;
    migration.stopStatus = response.status;
    if (!response.handle.empty()) {
        migration.handle = response.handle;
    }
    if (migration.stage == MigrationStage::TakingOver) {
        return; // The final copy is needed only if the takeover fails.
    }
    const bool stopped = response.status == MigrationStatus::Copied
        || (response.status == MigrationStatus::NoCapacity && !response.handle.empty());
    if (stopped) {
        migration.stage = MigrationStage::Stopped;
        migration.stoppedAt = this->now;
    } else if (!migration.sourceEnded) {
        this->onStopRefused(active);
        return;
    }
    this->advanceStop(active);
}

void Router::onStopRefused(ActiveRequest &active)
{
    Migration &migration = *active.migration;
    if (!migration.earlierCopy.empty()) {
        this->askAgainToStop(active);
        return;
    }
    this->forgetRunStop({active.id, migration.sourceAttempt});
    if (!this->canMigrate(active)) {
        this->discardMigration(active, false);
        return;
    }
    // The generation still streams, or has just completed.
    migration.failures = std::min(migration.failures + 1, maxFailures);
    this->loads.subtract(migration.destination.id, migration.claim);
    migration.claim = {};
    migration.stage = MigrationStage::ChoosingDestination;
    migration.retryAt = this->now + stopRetryDelay * migration.failures;
}

void Router::askAgainToStop(ActiveRequest &active)
{
    Migration &migration = *active.migration;
    const bool wasRejected = std::find(migration.rejectedBy.begin(), migration.rejectedBy.end(),
                                       migration.destination.id)
        != migration.rejectedBy.end();
    if (migration.stopStatus != MigrationStatus::NoCapacity || wasRejected) {
        return; // The same request is repeated, or the stream ends or falls silent.
    }
    this->forgetRunStop({active.id, migration.sourceAttempt});
    this->loads.subtract(migration.destination.id, migration.claim);
    migration.claim = {};
    migration.rejectedBy.push_back(migration.destination.id);
    this->chooseDestination(active);
}

bool Router::continueWithoutSource(ActiveRequest &active, AttemptEnd end)
{
    if (!internal::leavesCurrentAttempt(active)) {
        return false;
    }
    Migration &migration = *active.migration;
    migration.sourceEnded = true;
    if (active.parallel) {
        return true; // The parallel takeover continues or ends the stream.
    }
    if (migration.stage == MigrationStage::Copied) {
        this->stopSource(active);
        return true;
    }
    const bool stopping
        = migration.stage == MigrationStage::Stopping || migration.stage == MigrationStage::Stopped;
    const bool mayBeCopied = !migration.earlierCopy.empty() || !internal::wasNotRun(active, end);
    if (stopping && mayBeCopied) {
        this->advanceStop(active);
        return true;
    }
    this->discardMigration(active, true);
    return false;
}

void Router::advanceStop(ActiveRequest &active)
{
    const Migration &migration = *active.migration;
    if (migration.stage == MigrationStage::Stopped) {
        if (migration.sourceEnded || this->now - migration.stoppedAt >= lastEventsTimeout) {
            this->continueElsewhere(active);
        }
        return;
    }
    if (!migration.sourceEnded) {
        const Instant silentSince = std::max(active.lastActivityAt, migration.stopRequestedAt);
        const bool unreachable = this->now - silentSince >= stopAnswerTimeout;
        if (!migration.earlierCopy.empty() && unreachable && this->now >= migration.retryAt) {
            this->continueElsewhere(active);
        }
        return;
    }
    // The end of a stopped stream without chunks looks like that of a complete one.
    if (migration.sourceCompleted && migration.stopStatus == MigrationStatus::NotRunning) {
        this->completeStream(active);
        return;
    }
    const bool answered
        = migration.stopStatus && *migration.stopStatus != MigrationStatus::InProgress;
    const bool endedByStop = !migration.endedUnasked && !migration.sourceCompleted;
    const bool waitedLongEnough = this->now - migration.stopRequestedAt >= stopAnswerTimeout;
    const bool hasCopy = !migration.earlierCopy.empty();
    if (answered || (hasCopy && (endedByStop || waitedLongEnough))) {
        this->continueElsewhere(active);
    }
}

void Router::continueElsewhere(ActiveRequest &active)
{
    if (active.migration->stage == MigrationStage::Stopped) {
        this->cancelAttempts(active);
    }
    const Migration migration = *active.migration;
    if (migration.stopStatus == MigrationStatus::Copied) {
        this->takeOver(active, migration.destination, migration.source, migration.handle);
    } else if (!migration.earlierCopy.empty()) {
        this->takeOverEarlierCopy(active);
    } else if (migration.stopStatus == MigrationStatus::NoCapacity && !migration.handle.empty()) {
        // The KV cache is still at the source, so the generation continues there.
        this->takeOver(active, migration.source, migration.source, migration.handle);
    } else {
        this->abortStream(active, "the engine failed to copy the generation");
    }
}

void Router::takeOverEarlierCopy(ActiveRequest &active)
{
    Migration &migration = *active.migration;
    const UpstreamRecord holder = migration.earlierCopyHolder;
    const std::string copy = migration.earlierCopy;
    migration.stage = MigrationStage::TakingOver;
    this->loads.subtract(migration.destination.id, migration.claim);
    migration.claim = {};
    if (!this->acceptsTakeover(holder)) {
        this->onEarlierCopyRefused(active);
    } else if (active.running) {
        this->startParallelTakeover(active, holder, copy);
    } else {
        active.takeoverSource.reset();
        this->startAttempt(active, holder, this->currentClaim(active), Takeover {copy});
    }
}

void Router::onEarlierCopyRefused(ActiveRequest &active)
{
    Migration &migration = *active.migration;
    migration.earlierCopy.clear();
    migration.stage = MigrationStage::Stopping;
    if (active.running) {
        if (migration.stopStatus) {
            this->onStopRefused(active);
        }
        return;
    }
    migration.sourceEnded = true;
    const bool pending
        = !migration.stopStatus || *migration.stopStatus == MigrationStatus::InProgress;
    if (!pending) {
        this->continueElsewhere(active);
    }
}

void Router::checkTakeoverTime(ActiveRequest &active)
{
    if (active.parallel || this->now - active.attemptStartedAt < takeoverTimeout) {
        return;
    }
    const Migration migration = *active.migration;
    const bool sourceStopped = migration.stopStatus == MigrationStatus::Copied
        || migration.stopStatus == MigrationStatus::NoCapacity;
    if (!sourceStopped || migration.handle.empty() || !this->acceptsTakeover(migration.source)) {
        this->discardMigration(active, false);
        return;
    }
    this->noteUnconfirmedEnd(active);
    this->cancelAttempts(active);
    this->takeOver(active, migration.source, migration.source, migration.handle);
}

void Router::takeOver(ActiveRequest &active, const UpstreamRecord &destination,
                      const UpstreamRecord &source, const std::string &handle)
{
    const bool destinationAccepts = this->acceptsTakeover(destination);
    if (!destinationAccepts && !this->acceptsTakeover(source)) {
        this->abortStream(
            active,
            "the destination's zone is evacuated, or the engine has been draining for too long");
        return;
    }
    const decision::ResourceClaim claim = this->currentClaim(active);
    if (active.migration) {
        this->loads.subtract(active.migration->destination.id, active.migration->claim);
        active.migration.reset();
    }
    active.takeoverSource = source;
    this->startAttempt(active, destinationAccepts ? destination : source, claim,
                       Takeover {source.address + "/" + handle});
}

} // namespace azurespindle::routing
