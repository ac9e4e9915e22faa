// The part of Router that sends requests, and decides what follows from how an attempt ended.

#include "routing/router.h"

#include <algorithm>
#include <utility>

namespace azurespindle::routing {
namespace {

constexpr int statusOk = 200;
constexpr int statusServerError = 500;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

/// How long an upstream that could not be reached is the last choice.
constexpr milliseconds unreachablePenalty {1'500};
/// How long an upstream that refused a request for want of room is the last choice.
constexpr milliseconds refusedPenalty {250};
/// How long an upstream that failed a request is the last choice.
constexpr milliseconds failedPenalty {500};
/// Sends of one request, of which at most Route::maxAttempts may have run.
constexpr std::uint32_t maxTries = 5;
/// Time below which another try is not worth its while.
constexpr milliseconds leastTimeLeft {40};
/// An idempotent call is tried elsewhere after so many times its objective without an answer.
constexpr int silentObjectives = 2;
constexpr milliseconds silentMargin {100};
/// A stream whose engine says nothing for so long is taken for cut off.
constexpr milliseconds silentStream {1'500};
/// A stream that has not begun is tried elsewhere after so long, if it may be.
constexpr milliseconds silentStart {2'200};
constexpr milliseconds rescueInterval {600};
/// The death of an upstream is blamed on what it ran, if it shows within this time.
constexpr seconds blameTime {6};
constexpr std::size_t maxLosses = 256;
/// A run's claim is reckoned anew after so many events.
constexpr std::uint64_t claimStep = 48;
constexpr std::uint32_t highestPriority = 0;
constexpr std::uint32_t lowestPriority = 9;

std::string millisecondsSince(Instant from, Instant to)
{
    return std::to_string((to - from).count() / 1'000);
}

} // namespace

AttemptPlan Router::planFor(const Open &open, const UpstreamRecord &upstream) const
{
    AttemptPlan plan;
    plan.upstream = upstream;
    plan.timeLeft = std::max(milliseconds(1),
                             std::chrono::duration_cast<milliseconds>(open.deadline - this->now));
    plan.workspace = open.workspace;
    plan.toEngine = open.service != nullptr && open.service->engine;
    plan.priority = std::clamp(open.priority, highestPriority, lowestPriority);
    return plan;
}

void Router::start(Open &open, const UpstreamRecord &upstream, const decision::Claim &claim,
                   const std::optional<Takeover> &takeover)
{
    open.lastNumber += 1;
    open.attempt = open.lastNumber;
    open.tries += 1;
    open.running = true;
    open.upstream = upstream;
    open.claim = claim;
    open.started = this->now;
    open.lastHeard = this->now;
    open.head = {};
    open.headSeen = false;
    open.isTakeover = takeover.has_value();
    open.resuming = open.relaying;
    open.takeover = takeover.value_or(Takeover {});
    this->loads.add(upstream.id, claim);
    open.backup = this->chooseBackup(open, upstream, claim);
    if (open.backup) {
        open.backupClaim = {0, claim.memory, 0};
        this->loads.add(open.backup->id, open.backupClaim);
    }
    if (open.arrivals > 0) {
        this->budget.noteRepeat(open.serviceName, this->now);
    }
    open.arrivals += 1;
    if (this->coldUntil.count(upstream.id) > 0) {
        this->coldShare.noteSent(upstream.id, this->now);
    }
    AttemptPlan plan = this->planFor(open, upstream);
    plan.takeover = takeover;
    plan.backupAddress = open.backup ? open.backup->address : "";
    const bool goesOn = takeover.has_value() || open.route->resumable;
    if (open.lastEventId > 0 && (goesOn || open.request->lastEventId)) {
        plan.resumeAfterEvent = open.lastEventId;
    }
    this->journalPlaced(open, open.attempt, plan);
    this->emit(StartAttempt {{open.id, open.attempt}, std::move(plan)});
}

void Router::journalPlaced(const Open &open, AttemptNumber number, const AttemptPlan &plan)
{
    const decision::Claim there = this->loads.total(plan.upstream.id);
    this->journal(open, journal::EventId::RequestPlaced,
                  {{"attempt", std::to_string(number)},
                   {"upstream", plan.upstream.id},
                   {"workspace", open.workspace},
                   {"route", open.route->name},
                   {"waitedMs", millisecondsSince(open.arrived, this->now)},
                   {"leftMs", std::to_string(plan.timeLeft.count())},
                   {"attemptsThere", std::to_string(there.attempts)},
                   {"memoryThere", std::to_string(there.memory)},
                   {"afterEvent", std::to_string(plan.resumeAfterEvent.value_or(0))},
                   {"takeover", plan.takeover ? plan.takeover->source : ""},
                   {"backup", plan.backupAddress},
                   {"promptTokens", std::to_string(open.request->promptTokens)},
                   {"maxTokens", std::to_string(open.request->maxOutputTokens)},
                   {"expectedTokens", std::to_string(this->expectedOutput(open, 0))},
                   {"version", std::to_string(open.table->configuration().version)},
                   {"revision", std::to_string(this->state->revision)}});
}

void Router::leaveUpstream(Open &open)
{
    if (std::exchange(open.running, false)) {
        this->loads.subtract(open.upstream.id, open.claim);
        open.claim = {};
        if (open.backup) {
            this->loads.subtract(open.backup->id, open.backupClaim);
        }
    }
}

void Router::cancel(Open &open)
{
    if (open.beside) {
        this->emit(CancelAttempt {{open.id, open.beside->number}});
        this->dropBeside(open);
    }
    if (open.running) {
        this->emit(CancelAttempt {{open.id, open.attempt}});
        this->leaveUpstream(open);
    }
}

void Router::on(const HeadArrived &event)
{
    Open *waiting = this->find(event.attempt.request);
    if (waiting != nullptr && waiting->beside && waiting->beside->number == event.attempt.number) {
        const ResponseHead &head = event.head;
        if (head.status == statusOk && head.eventStream && head.authentic) {
            this->promoteBeside(*waiting, head);
        }
        return;
    }
    Open *current = this->findCurrent(event.attempt);
    if (current == nullptr) {
        return;
    }
    Open &open = *current;
    open.head = event.head;
    open.headSeen = true;
    open.lastHeard = this->now;
    const bool stream = open.route->kind == RouteKind::Streaming;
    const bool begins = stream && event.head.status == statusOk && event.head.eventStream
        && event.head.authentic && !event.head.requestIdMismatch;
    if (begins) {
        open.relaying = true;
        this->emit(RelayStream {event.attempt});
    }
}

void Router::on(const EventsArrived &event)
{
    Open *current = this->findCurrent(event.attempt);
    if (current == nullptr) {
        return;
    }
    Open &open = *current;
    if (open.claim.prefill > 0 || open.resuming) {
        open.begun = this->now;
    }
    if (std::exchange(open.resuming, false)) {
        this->journal(open, journal::EventId::GenerationResumed,
                      {{"upstream", open.upstream.id},
                       {"events", std::to_string(open.events)},
                       {"pauseMs", millisecondsSince(open.lastEvent, this->now)}});
    }
    this->notePause(open);
    open.lastHeard = this->now;
    open.lastEvent = this->now;
    if (open.claim.prefill > 0) {
        const decision::Claim read {0, 0, open.claim.prefill};
        this->loads.subtract(open.upstream.id, read);
        open.claim.prefill = 0;
    }
    open.events += event.count;
    open.lastEventId = std::max(open.lastEventId, event.lastEventId);
    if (open.events - open.claimedAt >= claimStep) {
        this->growClaim(open);
    }
    if (open.move && open.move->stopAtOnce && open.move->stage == MoveStage::Choosing) {
        this->dropMove(open, false); // It speaks again.
    }
}

void Router::growClaim(Open &open)
{
    open.claimedAt = open.events;
    if (!open.running || open.service == nullptr || !open.service->engine) {
        return;
    }
    const Tokens memory = this->movedClaim(open).memory;
    this->loads.subtract(open.upstream.id, open.claim);
    open.claim.memory = memory;
    this->loads.add(open.upstream.id, open.claim);
    if (open.backup) {
        this->loads.subtract(open.backup->id, open.backupClaim);
        open.backupClaim.memory = memory;
        this->loads.add(open.backup->id, open.backupClaim);
    }
}

void Router::notePause(Open &open) const
{
    if (open.events == 0) {
        open.firstEvent = this->now;
        return;
    }
    const microseconds pause = this->now - open.lastEvent;
    if (pause > open.longestPause) {
        open.longestPause = pause;
        open.longestPauseAfter = open.events;
    }
}

void Router::on(const AttemptEnded &event)
{
    Open *waiting = this->find(event.attempt.request);
    if (waiting != nullptr && waiting->beside && waiting->beside->number == event.attempt.number) {
        this->endBeside(*waiting, event.end, event.detail);
        this->dispatch();
        return;
    }
    Open *current = this->findCurrent(event.attempt);
    if (current == nullptr || !current->running) {
        return;
    }
    this->leaveUpstream(*current);
    this->conclude(*current, event.end, event.detail);
    this->dispatch();
}

void Router::conclude(Open &open, AttemptEnd end, const std::string &detail)
{
    if (end == AttemptEnd::ConnectionRefused) {
        const UpstreamObservation refusing {open.upstream.id, open.upstream.incarnation,
                                            UpstreamObservation::Kind::ConnectionRefused,
                                            milliseconds(0)};
        this->note(refusing);
        this->heed(refusing);
    }
    const bool handedOver = open.move
        && (open.move->stage == MoveStage::Stopping || open.move->stage == MoveStage::Stopped);
    if (!handedOver && (end != AttemptEnd::Complete || open.head.status != statusOk)) {
        this->journal(open, journal::EventId::AttemptFailed,
                      {{"attempt", std::to_string(open.attempt)},
                       {"upstream", open.upstream.id},
                       {"end", name(end)},
                       {"status", std::to_string(open.head.status)},
                       {"notRun", open.head.notRun || open.head.wrongInstance ? "yes" : "no"},
                       {"events", std::to_string(open.events)},
                       {"tookMs", millisecondsSince(open.started, this->now)},
                       {"detail", detail}});
    }
    const bool begun
        = open.headSeen && open.relaying && open.head.eventStream && open.head.status == statusOk;
    if (open.isTakeover && !begun) {
        this->concludeTakeover(open, end, detail);
    } else if (begun) {
        this->concludeStream(open, end, detail);
    } else if (end == AttemptEnd::NotSent || end == AttemptEnd::ConnectionRefused
               || (end == AttemptEnd::Complete && (open.head.notRun || open.head.wrongInstance))) {
        this->concludeUnrun(open, end, detail);
    } else if (end == AttemptEnd::Complete && open.head.authentic && !open.head.requestIdMismatch
               && !open.relaying
               && (open.head.status < statusServerError || !this->mayRunAgain(open))) {
        this->crashes.clearSuspect(open.fingerprint);
        this->emit(ForwardResponse {{open.id, open.attempt}});
        this->finish(open);
    } else {
        this->concludeMayHaveRun(open, end, detail);
    }
}

bool Router::mayRunAgain(const Open &open) const
{
    const bool repeatable = open.route->kind == RouteKind::Idempotent
        || (open.route->kind == RouteKind::Streaming && open.route->resumable);
    // What was just concluded is not in ranOn yet.
    const bool attemptsLeft = open.ranOn.size() + 1 < open.route->maxAttempts;
    return repeatable && attemptsLeft && open.tries < maxTries
        && open.deadline - this->now > leastTimeLeft
        && this->budget.allows(open.serviceName, open.events > 0, this->now);
}

void Router::concludeUnrun(Open &open, AttemptEnd end, const std::string &detail)
{
    const bool unreachable = end != AttemptEnd::Complete;
    if (end == AttemptEnd::NotSent) {
        this->noteUnreachable(open.upstream);
    }
    this->troubledUntil[open.upstream.id]
        = this->now + (unreachable ? unreachablePenalty : refusedPenalty);
    open.avoided.push_back(open.upstream.id);
    if (unreachable) {
        open.arrivals -= 1;
    }
    const bool affordable
        = open.arrivals == 0 || this->budget.allows(open.serviceName, false, this->now);
    if (open.tries < maxTries && affordable && open.deadline - this->now > leastTimeLeft) {
        this->enqueue(open);
        return;
    }
    const int status = open.ranOn.empty() ? statusUnavailable : statusBadGateway;
    this->answer(open, {status, this->retryAfter(open), "upstreams had no room: " + detail});
}

void Router::concludeMayHaveRun(Open &open, AttemptEnd end, const std::string &detail)
{
    this->troubledUntil[open.upstream.id] = this->now + failedPenalty;
    if (end == AttemptEnd::Lost) {
        this->blameFor(open);
    }
    const bool again = this->mayRunAgain(open);
    open.ranOn.push_back(open.upstream.id);
    if (again) {
        this->enqueue(open);
        return;
    }
    this->answer(open, {statusBadGateway, milliseconds(0), "the upstream failed: " + detail});
}

void Router::concludeStream(Open &open, AttemptEnd end, const std::string &detail)
{
    const bool complete = end == AttemptEnd::Complete;
    const bool stopped = open.move
        && (open.move->stage == MoveStage::Stopping || open.move->stage == MoveStage::Stopped);
    if (stopped) {
        open.move->sourceEnded = true;
        open.move->sourceComplete = complete;
        this->checkMove(open);
        return;
    }
    if (complete) {
        this->crashes.clearSuspect(open.fingerprint);
        this->cancel(open);
        this->dropMove(open, true);
        const bool whole
            = !open.request->lastEventId && open.service != nullptr && open.service->engine;
        if (whole) {
            this->forecasts.touch(open.route->name)
                .observe("", "",
                         static_cast<Tokens>(open.events) * open.service->engine->tokensPerEvent);
        }
        this->emit(EndStream {open.id});
        this->finish(open);
        return;
    }
    if (open.events == 0) {
        this->blameFor(open);
    }
    if (open.beside) {
        return; // The takeover that was begun beside it will go on, or end the stream.
    }
    const bool copied = open.move && open.move->stage == MoveStage::Copied;
    if (!copied && this->backupUsable(open)) {
        this->dropMove(open, true);
        this->goOnFromBackup(open);
        return;
    }
    if (open.move && open.move->stage == MoveStage::Copied) {
        const Move move = *open.move;
        this->takeOver(open, move.to, open.upstream.address, move.handle);
        return;
    }
    this->dropMove(open, false);
    if (this->mayRunAgain(open)) {
        open.ranOn.push_back(open.upstream.id);
        this->troubledUntil[open.upstream.id] = this->now + failedPenalty;
        this->enqueue(open);
        return;
    }
    if (!this->rescue(open, "stream " + std::string(name(end)))) {
        this->breakOff(open, "the stream ended early: " + detail);
    }
}

void Router::checkTime(Open &open)
{
    if (this->now < open.deadline) {
        return;
    }
    if (open.relaying) {
        this->breakOff(open, "the time ran out");
        return;
    }
    const bool mayHaveRun = open.running || !open.ranOn.empty();
    const bool queuedOnly = open.queued && !mayHaveRun;
    this->answer(open,
                 {queuedOnly ? statusUnavailable : statusGatewayTimeout, milliseconds(0),
                  "the time ran out"});
}

void Router::checkSilence(Open &open)
{
    if (!open.running) {
        return;
    }
    const microseconds silence = this->now - open.lastHeard;
    if (open.relaying) {
        const bool busy = open.move || open.beside;
        if (silence < silentStream || busy || this->now < open.nextRescue) {
            return;
        }
        open.nextRescue = this->now + rescueInterval;
        if (this->mayRunAgain(open)) {
            this->cancel(open);
            this->concludeStream(open, AttemptEnd::TimedOut, "silent");
            this->dispatch();
        } else if (this->backupUsable(open) && this->backupSettled(open)) {
            this->goOnFromBackup(open);
        } else if (this->movable(open)) {
            this->rescue(open, "silent");
        }
        return;
    }
    const auto patience = open.route->kind == RouteKind::Streaming
        ? std::max(silentStart, open.route->latencyObjective)
        : open.route->latencyObjective * silentObjectives + silentMargin;
    if (silence > patience && this->mayRunAgain(open)) {
        this->cancel(open);
        this->concludeMayHaveRun(open, AttemptEnd::TimedOut, "silent");
        this->dispatch();
    }
}

void Router::answer(Open &open, LocalReply answer)
{
    if (open.relaying) {
        this->breakOff(open, answer.reason);
        return;
    }
    this->cancel(open);
    this->dropMove(open, false);
    this->journal(open, journal::EventId::RequestRefused,
                  {{"status", std::to_string(answer.status)},
                   {"reason", answer.reason},
                   {"retryAfterMs", std::to_string(answer.retryAfter.count())},
                   {"workspace", open.workspace},
                   {"route", open.route == nullptr ? "" : open.route->name},
                   {"tries", std::to_string(open.tries)},
                   {"mayHaveRunOn", std::to_string(open.ranOn.size())},
                   {"afterMs", millisecondsSince(open.arrived, this->now)},
                   {"revision", std::to_string(this->state->revision)}});
    this->emit(SendLocalReply {open.id, std::move(answer)});
    this->close(open.id);
}

void Router::breakOff(Open &open, const std::string &reason)
{
    this->cancel(open);
    this->dropMove(open, true);
    this->counts.generationsLost += 1;
    this->journal(open, journal::EventId::GenerationLost,
                  {{"upstream", open.upstream.id},
                   {"events", std::to_string(open.events)},
                   {"reason", reason},
                   {"afterMs", millisecondsSince(open.arrived, this->now)}});
    this->emit(AbortStream {open.id});
    this->close(open.id);
}

void Router::finish(Open &open)
{
    std::vector<journal::Field> fields {{"upstream", open.upstream.id},
                                        {"workspace", open.workspace},
                                        {"route", open.route->name},
                                        {"status", std::to_string(open.head.status)},
                                        {"events", std::to_string(open.events)},
                                        {"tries", std::to_string(open.tries)},
                                        {"tookMs", millisecondsSince(open.arrived, this->now)}};
    if (open.events > 0) {
        fields.push_back({"firstEventMs", millisecondsSince(open.arrived, open.firstEvent)});
        fields.push_back({"longestPauseMs", std::to_string(open.longestPause.count() / 1'000)});
        fields.push_back({"pauseAfterEvents", std::to_string(open.longestPauseAfter)});
    }
    this->journal(open, journal::EventId::RequestFinished, std::move(fields));
    this->close(open.id);
}

void Router::close(RequestId id)
{
    Open &closing = this->open.at(id);
    this->unqueue(closing);
    this->dropBeside(closing);
    this->leaveUpstream(closing);
    this->dropMove(closing, true);
    this->open.erase(id);
    this->emit(RequestClosed {id});
}

void Router::blameFor(const Open &open)
{
    if (this->losses.size() >= maxLosses) {
        this->losses.erase(this->losses.begin());
    }
    this->losses.push_back(
        {open.fingerprint, open.id, open.upstream.id, open.upstream.incarnation, this->now});
}

void Router::resolveLosses()
{
    std::vector<UnresolvedLoss> unresolved;
    for (const UnresolvedLoss &loss : std::exchange(this->losses, {})) {
        if (this->now - loss.at > blameTime) {
            continue;
        }
        const UpstreamRecord *record = this->record(loss.upstream);
        if (record != nullptr && (record->incarnation == loss.incarnation || record->draining)) {
            unresolved.push_back(loss);
            continue;
        }
        if (this->crashes.recordCrash(loss.fingerprint, loss.upstream, loss.incarnation,
                                      this->now)) {
            this->emit(WriteJournal {{journal::EventId::CrashSuspected,
                                      {{"fingerprint", std::to_string(loss.fingerprint)},
                                       {"upstream", loss.upstream}}}});
            this->emit(BroadcastCrash {loss.fingerprint, loss.upstream, loss.incarnation});
        }
    }
    this->losses = std::move(unresolved);
}

} // namespace azurespindle::routing
