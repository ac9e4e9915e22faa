// Start of attempts, and the reaction to their progress, end and silence.

#include "routing/internal/attempt_outcome.h"
#include "routing/internal/journal_text.h"
#include "routing/router.h"

#include <algorithm>
#include <utility>

namespace azurespindle::routing {

using internal::leavesCurrentAttempt;
using internal::mayRepeat;
using internal::relayedCurrentAttempt;
using internal::statesNotRun;
using internal::wasNotRun;

namespace {

constexpr int statusOk = 200;
constexpr int statusServerError = 500;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

/// Time for which an upstream is deprioritized after a connection failure.
constexpr milliseconds unreachablePenalty {1'500};
/// Time for which an upstream is deprioritized after it rejected a request for lack of capacity.
constexpr milliseconds noCapacityPenalty {250};
/// Time for which an upstream is deprioritized after a failed request.
constexpr milliseconds failedPenalty {500};
/// Maximum number of attempts of one request. Route::maxAttempts limits those that may have been
/// executed.
constexpr std::uint32_t totalAttemptLimit = 5;
/// Time until the deadline below which no further attempt is started.
constexpr milliseconds minTimeForRetry {40};
/// An idempotent request is retried elsewhere if there is no response within this multiple of the
/// latency objective plus silenceMargin.
constexpr int silenceObjectiveFactor = 2;
constexpr milliseconds silenceMargin {100};
/// Pause in a stream after which its engine is assumed to be partitioned off.
constexpr milliseconds streamSilenceTimeout {1'500};
/// Time without a first event after which a stream is retried elsewhere, if it may be retried.
constexpr milliseconds streamStartTimeout {2'200};
/// Delay between attempts to recover a silent stream.
constexpr milliseconds recoveryInterval {600};
/// Number of events after which a generation's claim is updated.
constexpr std::uint64_t claimUpdateInterval = 48;
constexpr std::uint32_t highestPriority = 0;
constexpr std::uint32_t lowestPriority = 9;

} // namespace

AttemptPlan Router::makePlan(const ActiveRequest &active, const UpstreamRecord &upstream) const
{
    AttemptPlan plan;
    plan.upstream = upstream;
    plan.timeLeft = std::max(milliseconds(1),
                             std::chrono::duration_cast<milliseconds>(this->timeLeft(active)));
    plan.workspace = active.workspace;
    plan.toEngine = active.service != nullptr && active.service->engine;
    plan.priority = std::clamp(active.priority, highestPriority, lowestPriority);
    return plan;
}

void Router::startAttempt(ActiveRequest &active, const UpstreamRecord &upstream,
                          const decision::ResourceClaim &claim,
                          const std::optional<Takeover> &takeover)
{
    active.lastAttempt += 1;
    active.attempt = active.lastAttempt;
    active.attemptCount += 1;
    active.running = true;
    active.upstream = upstream;
    active.claim = claim;
    active.attemptStartedAt = this->now;
    active.lastActivityAt = this->now;
    active.attemptFirstEventAt.reset();
    active.head = {};
    active.headReceived = false;
    active.readingPaused = false;
    active.isTakeover = takeover.has_value();
    active.resuming = active.relaying;
    active.takeover = takeover.value_or(Takeover {});
    this->loads.add(upstream.id, claim);
    active.attemptsAtStart = this->loads.totalClaim(upstream.id).attempts;
    active.pace.restart();
    if (active.service != nullptr && active.service->engine) {
        this->placements.push_back({upstream.id, claim});
    }
    active.backup = this->chooseBackup(active, upstream, claim);
    if (active.backup) {
        active.backupClaim = {0, claim.memory, 0};
        this->loads.add(active.backup->id, active.backupClaim);
    }
    if (active.possibleDeliveries > 0) {
        this->retryBudget.recordResend(active.serviceName, this->now);
    }
    active.possibleDeliveries += 1;
    if (this->coldUntil.count(upstream.id) > 0) {
        this->coldStartLimiter.recordSend(upstream.id, this->now);
    }
    this->rateLimits.recordSend(upstream.id, this->now);
    this->pauses.recordSend(upstream.id, this->now);
    AttemptPlan plan = this->makePlan(active, upstream);
    plan.takeover = takeover;
    plan.backupAddress = active.backup ? active.backup->address : "";
    const bool continues = takeover.has_value() || active.route->resumable;
    if (active.lastEventId > 0 && (continues || active.request->lastEventId)) {
        plan.resumeAfterEvent = active.lastEventId;
    }
    this->journalPlacement(active, active.attempt, plan);
    if (const auto unconfirmed = std::exchange(active.unconfirmedEnd, std::nullopt)) {
        this->stopRun(active, unconfirmed->attempt, unconfirmed->engine, upstream.address);
    }
    this->emit(StartAttempt {{active.id, active.attempt}, std::move(plan)});
}

void Router::journalPlacement(const ActiveRequest &active, AttemptNumber number,
                              const AttemptPlan &plan)
{
    const decision::ResourceClaim load = this->loads.totalClaim(plan.upstream.id);
    const auto expectedTokens
        = static_cast<Tokens>(this->outputForecast(active, 0).expectedRemaining());
    this->journal(
        active, journal::EventId::RequestPlaced,
        {{"attempt", std::to_string(number)},
         {"upstream", plan.upstream.id},
         {"workspace", active.workspace},
         {"route", active.route->name},
         {"waitedMs", internal::millisecondsSince(active.arrivedAt, this->now)},
         {"leftMs", std::to_string(plan.timeLeft.count())},
         {"attemptsThere", std::to_string(load.attempts)},
         {"memoryThere", std::to_string(load.memory)},
         {"speedThere",
          internal::speedText(this->speeds.speed(plan.upstream.id, plan.upstream.incarnation))},
         {"afterEvent", std::to_string(plan.resumeAfterEvent.value_or(0))},
         {"takeover", plan.takeover ? plan.takeover->source : ""},
         {"backup", plan.backupAddress},
         {"promptTokens", std::to_string(active.request->promptTokens)},
         {"promptParts", internal::partsText(active.request->promptParts)},
         {"maxTokens", std::to_string(active.request->maxOutputTokens)},
         {"expectedTokens", std::to_string(expectedTokens)},
         {"version", std::to_string(active.routeTable->configuration().version)},
         {"revision", toText(this->state->revision)}});
}

void Router::releaseUpstream(ActiveRequest &active)
{
    if (std::exchange(active.running, false)) {
        this->loads.subtract(active.upstream.id, active.claim);
        active.claim = {};
        if (active.backup) {
            this->loads.subtract(active.backup->id, active.backupClaim);
        }
    }
}

void Router::cancelAttempts(ActiveRequest &active)
{
    if (active.parallel) {
        this->emit(CancelAttempt {{active.id, active.parallel->number}});
        this->releaseParallelTakeover(active);
    }
    if (active.running) {
        this->emit(CancelAttempt {{active.id, active.attempt}});
        this->releaseUpstream(active);
    }
}

void Router::on(const HeadArrived &event)
{
    ActiveRequest *found = this->findRequest(event.attempt.request);
    if (found != nullptr && found->parallel && found->parallel->number == event.attempt.number) {
        const ResponseHead &head = event.head;
        this->noteStatements(found->parallel->upstream, head, found->parallel->startedAt);
        if (head.status == statusOk && head.eventStream && head.authentic) {
            this->promoteParallelTakeover(*found, head);
        }
        return;
    }
    ActiveRequest *current = this->findByCurrentAttempt(event.attempt);
    if (current == nullptr) {
        return;
    }
    ActiveRequest &active = *current;
    this->noteStatements(active.upstream, event.head, active.attemptStartedAt);
    active.head = event.head;
    active.headReceived = true;
    active.lastActivityAt = this->now;
    const bool isStream = active.route->kind == RouteKind::Streaming;
    const bool streamStarts = isStream && event.head.status == statusOk && event.head.eventStream
        && event.head.authentic && !event.head.requestIdMismatch;
    if (streamStarts) {
        if (active.migration && !leavesCurrentAttempt(active)) {
            this->discardMigration(active, true); // The takeover has succeeded.
        }
        this->counters.migrationsCompleted += active.isTakeover ? 1 : 0;
        active.relaying = true;
        active.relayedAttempt = active.attempt;
        this->emit(RelayStream {event.attempt});
    }
}

void Router::on(const EventsArrived &event)
{
    ActiveRequest *current = this->findByCurrentAttempt(event.attempt);
    if (current == nullptr) {
        return;
    }
    ActiveRequest &active = *current;
    if (!active.attemptFirstEventAt) {
        active.attemptFirstEventAt = this->now;
    }
    const bool resumed = std::exchange(active.resuming, false);
    if (resumed) {
        this->journal(active, journal::EventId::GenerationResumed,
                      {{"upstream", active.upstream.id},
                       {"events", std::to_string(active.eventCount)},
                       {"pauseMs", internal::millisecondsSince(active.lastEventAt, this->now)}});
    }
    this->recordPause(active);
    active.fruitlessTakeovers = 0;
    active.lastActivityAt = this->now;
    active.lastEventAt = this->now;
    if (active.claim.prefill > 0) {
        const decision::ResourceClaim prefill {0, 0, active.claim.prefill};
        this->loads.subtract(active.upstream.id, prefill);
        active.claim.prefill = 0;
    }
    if (active.eventCount == 0) {
        this->clearParts(active);
    }
    this->observePace(active, event.count, resumed);
    active.eventCount += event.count;
    active.lastEventId = std::max(active.lastEventId, event.lastEventId);
    if (active.eventCount - active.claimUpdatedAtEvent >= claimUpdateInterval) {
        this->updateClaim(active);
    }
    if (active.migration && active.migration->stopImmediately
        && active.migration->stage == MigrationStage::ChoosingDestination) {
        this->discardMigration(active, false); // The stream is no longer silent.
    }
}

void Router::on(const ReadingPaused &event)
{
    if (ActiveRequest *current = this->findByCurrentAttempt(event.attempt)) {
        current->readingPaused = event.paused;
        current->lastActivityAt = this->now;
    }
}

void Router::recordPause(ActiveRequest &active) const
{
    if (active.eventCount == 0) {
        active.firstEventAt = this->now;
        return;
    }
    const microseconds pause = this->now - active.lastEventAt;
    if (pause > active.longestPause) {
        active.longestPause = pause;
        active.longestPauseAfter = active.eventCount;
    }
}

void Router::on(const AttemptEnded &event)
{
    ActiveRequest *found = this->findRequest(event.attempt.request);
    if (found != nullptr && found->parallel && found->parallel->number == event.attempt.number) {
        this->handleParallelTakeoverFailure(*found, event.end, event.detail);
        this->placeQueued();
        return;
    }
    ActiveRequest *current = this->findByCurrentAttempt(event.attempt);
    if (current == nullptr || !current->running) {
        return;
    }
    this->releaseUpstream(*current);
    this->handleAttemptEnd(*current, event.end, event.detail);
    this->placeQueued();
    this->rejectBeyondLimits();
}

void Router::handleAttemptEnd(ActiveRequest &active, AttemptEnd end, const std::string &detail)
{
    if (end == AttemptEnd::Lost) {
        this->recordLoss(active.upstream.id);
    }
    if (end == AttemptEnd::ConnectionRefused) {
        const UpstreamObservation refused {active.upstream.id, active.upstream.incarnation,
                                           UpstreamObservation::Kind::ConnectionRefused,
                                           milliseconds(0)};
        this->recordObservation(refused);
        this->applyObservation(refused, ObservationSource::Self);
    }
    const bool stopping = active.migration
        && (active.migration->stage == MigrationStage::Stopping
            || active.migration->stage == MigrationStage::Stopped);
    if (!stopping && (end != AttemptEnd::Complete || active.head.status != statusOk)) {
        this->journal(active, journal::EventId::AttemptFailed,
                      {{"attempt", std::to_string(active.attempt)},
                       {"upstream", active.upstream.id},
                       {"end", name(end)},
                       {"status", std::to_string(active.head.status)},
                       {"notRun", statesNotRun(active, end) ? "yes" : "no"},
                       {"events", std::to_string(active.eventCount)},
                       {"tookMs", internal::millisecondsSince(active.attemptStartedAt, this->now)},
                       {"detail", detail}});
    }
    const bool streamed = active.relaying && relayedCurrentAttempt(active);
    if (!streamed && this->continueWithoutSource(active, end)) {
        return;
    }
    if (active.isTakeover && !streamed) {
        this->handleTakeoverFailure(active, end, detail);
    } else if (streamed) {
        this->handleStreamEnd(active, end, detail);
    } else if (wasNotRun(active, end)) {
        this->handleNotRun(active, end, detail);
    } else if (end == AttemptEnd::Complete && active.head.authentic
               && !active.head.requestIdMismatch && !active.relaying
               && (active.head.status < statusServerError || !this->canRetry(active))) {
        this->crashes.clearSuspect(active.fingerprint);
        if (active.head.status == statusOk) {
            this->observeResponse(active);
            this->clearParts(active);
        }
        this->emit(ForwardResponse {{active.id, active.attempt}});
        this->finishRequest(active);
    } else {
        this->handleMayHaveRun(active, end, detail);
    }
}

bool Router::canRetry(const ActiveRequest &active) const
{
    // The attempt that just ended is not in mayHaveRunOn yet.
    const bool attemptsLeft = active.mayHaveRunOn.size() + 1 < active.route->maxAttempts;
    return mayRepeat(active) && attemptsLeft
        && active.attemptCount<totalAttemptLimit &&this->timeLeft(active)> minTimeForRetry
        && this->retryBudget.allows(active.serviceName, active.eventCount > 0, this->now);
}

void Router::handleNotRun(ActiveRequest &active, AttemptEnd end, const std::string &detail)
{
    const bool unreachable = end != AttemptEnd::Complete;
    if (end == AttemptEnd::NotSent) {
        this->noteUnreachable(active.upstream);
    }
    this->unreliableUntil[active.upstream.id]
        = this->now + (unreachable ? unreachablePenalty : noCapacityPenalty);
    // After a pause the upstream may be asked again.
    if (this->pauses.allows(active.upstream.id, active.upstream.incarnation, this->now)) {
        active.excluded.push_back(active.upstream.id);
    }
    if (unreachable) {
        active.possibleDeliveries -= 1;
    }
    const bool withinBudget = active.possibleDeliveries == 0
        || this->retryBudget.allows(active.serviceName, false, this->now);
    if (active.attemptCount < totalAttemptLimit && withinBudget
        && this->timeLeft(active) > minTimeForRetry) {
        this->enqueue(active);
        return;
    }
    const int status = active.mayHaveRunOn.empty() ? statusUnavailable : statusBadGateway;
    this->sendReply(active, {status, this->retryAfter(active), "upstreams had no room: " + detail});
}

void Router::handleMayHaveRun(ActiveRequest &active, AttemptEnd end, const std::string &detail)
{
    this->unreliableUntil[active.upstream.id] = this->now + failedPenalty;
    if (end == AttemptEnd::Lost) {
        this->suspectCrash(active);
    }
    const bool mayCrash = end == AttemptEnd::Lost && this->mayCrashAgain(active);
    const bool retry = this->canRetry(active) && !mayCrash;
    active.mayHaveRunOn.push_back(active.upstream.id);
    if (retry) {
        if (end != AttemptEnd::Complete) {
            this->noteUnconfirmedEnd(active);
        }
        this->enqueue(active);
        return;
    }
    this->sendReply(active, {statusBadGateway, milliseconds(0), "the upstream failed: " + detail});
}

void Router::handleStreamEnd(ActiveRequest &active, AttemptEnd end, const std::string &detail)
{
    const bool complete = end == AttemptEnd::Complete;
    const bool stopping = active.migration
        && (active.migration->stage == MigrationStage::Stopping
            || active.migration->stage == MigrationStage::Stopped);
    // The end of a stopped stream without chunks looks like that of a complete one.
    if (complete && !(stopping && active.head.endsWithConnection)) {
        this->completeStream(active);
        return;
    }
    if (stopping) {
        active.migration->sourceEnded = true;
        active.migration->sourceCompleted = complete;
        this->advanceStop(active);
        return;
    }
    if (active.eventCount == 0) {
        this->suspectCrash(active);
    }
    if (active.parallel) {
        return; // The parallel takeover continues or ends the stream.
    }
    active.fruitlessTakeovers += active.resuming ? 1 : 0;
    if (active.fruitlessTakeovers >= totalAttemptLimit) {
        this->abortStream(active, "no upstream continues the stream: " + detail);
        return;
    }
    if (active.migration && active.migration->stage == MigrationStage::Copied) {
        active.migration->sourceEnded = true;
        this->stopSource(active);
        return;
    }
    if (this->canUseBackup(active)) {
        this->discardMigration(active, true);
        this->handOverToBackup(active, "stream " + std::string(name(end)));
        return;
    }
    this->discardMigration(active, false);
    if (this->canRetry(active) && !this->mayCrashAgain(active)) {
        this->noteUnconfirmedEnd(active);
        active.mayHaveRunOn.push_back(active.upstream.id);
        this->unreliableUntil[active.upstream.id] = this->now + failedPenalty;
        this->enqueue(active);
        return;
    }
    if (!this->recoverGeneration(active, "stream " + std::string(name(end)))) {
        this->abortStream(active, "the stream ended early: " + detail);
    }
}

void Router::checkDeadline(ActiveRequest &active)
{
    if (this->now < active.deadline) {
        return;
    }
    const bool mayHaveRun = active.running || !active.mayHaveRunOn.empty();
    const bool queuedOnly = active.queued && !mayHaveRun;
    this->sendReply(active,
                    {queuedOnly ? statusUnavailable : statusGatewayTimeout, milliseconds(0),
                     "the time ran out"});
}

void Router::checkInactivity(ActiveRequest &active)
{
    if (!active.running || active.readingPaused) {
        return;
    }
    const microseconds silence = this->now - active.lastActivityAt;
    if (active.relaying) {
        const bool takeoverPending = active.migration || active.parallel;
        if (silence < streamSilenceTimeout || takeoverPending
            || this->now < active.nextRecoveryAt) {
            return;
        }
        active.nextRecoveryAt = this->now + recoveryInterval;
        if (this->canRetry(active) && this->hasAlternative(active)) {
            this->cancelAttempts(active);
            this->handleStreamEnd(active, AttemptEnd::TimedOut, "silent");
            this->placeQueued();
        } else if (this->canUseBackup(active) && this->backupReady(active)) {
            this->handOverToBackup(active, "silent");
        } else if (this->canMigrate(active)) {
            this->recoverGeneration(active, "silent");
        }
        return;
    }
    const auto silenceTimeout = active.route->kind == RouteKind::Streaming
        ? std::max(streamStartTimeout, active.route->latencyObjective)
        : active.route->latencyObjective * silenceObjectiveFactor + silenceMargin;
    if (silence > silenceTimeout && this->canRetry(active) && this->hasAlternative(active)) {
        this->cancelAttempts(active);
        this->handleMayHaveRun(active, AttemptEnd::TimedOut, "silent");
        this->placeQueued();
    }
}

} // namespace azurespindle::routing
