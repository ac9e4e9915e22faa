// The part of Router that takes running generations to other engines.

#include "routing/router.h"

#include <algorithm>
#include <utility>

namespace azurespindle::routing {
namespace {

constexpr milliseconds runUnknownRetry {120}; ///< The engine may not have begun the run yet.
constexpr milliseconds inProgressRetry {60};
constexpr milliseconds failedRetry {100};
constexpr milliseconds noDestinationRetry {100};
constexpr std::uint32_t maxFailures = 4;
/// Longest wait, from the notice on, for the other copies on the engine's link, where the engine
/// does not say when it is gone. A run that stops sooner would wait in their queue, and its caller
/// with it.
constexpr milliseconds longestHold {1'000};
/// Time that is kept for the last part of a copy, before the engine is gone.
constexpr milliseconds lastPartTime {350};
/// Copies between zones take twice as long; the first copies of an engine go to both kinds.
constexpr double linkMargin = 1.4;
constexpr double megabitsPerByte = 8.0 / 1e6;
/// After the run has stopped, its last events are on their way for so long at most.
constexpr milliseconds lastEventsTime {80};
constexpr double remainingPart = 0.5;

bool contains(const std::vector<std::string> &list, const std::string &item)
{
    return std::find(list.begin(), list.end(), item) != list.end();
}

} // namespace

bool Router::movable(const Open &open) const
{
    return open.relaying && open.events > 0 && open.service != nullptr && open.service->engine
        && open.service->engine->supportsMigration;
}

bool Router::sourceLeaves(const Open &open) const
{
    const UpstreamRecord *listed = this->record(open.upstream.id);
    return listed == nullptr || this->goesAway(*listed)
        || listed->incarnation != open.upstream.incarnation;
}

microseconds Router::copyTime(const Open &open, Tokens tokens) const
{
    const EngineTraits &engine = *open.service->engine;
    const double megabits = engine.bytesPerToken * megabitsPerByte * tokens;
    const double duration = megabits / std::max(1.0, engine.linkMegabitsPerSecond);
    return std::chrono::duration_cast<microseconds>(std::chrono::duration<double>(duration));
}

decision::ResourceClaim Router::movedClaim(const Open &open) const
{
    const Tokens made = static_cast<Tokens>(open.events) * open.service->engine->tokensPerEvent;
    const Tokens remaining = this->expectedOutput(open, made);
    const auto held = static_cast<Tokens>(remainingPart * remaining);
    return {1, open.request->promptTokens + made + held, 0};
}

void Router::noteLeaving(const Open &open)
{
    const Leaving leaving {this->now, {}, open.upstream.incarnation};
    const bool added = this->leaving.try_emplace(open.upstream.id, leaving).second;
    if (added) {
        this->emit(RequestEngineReport {open.upstream.id, open.upstream.address});
    }
}

Instant Router::latestHandover(const Open &open) const
{
    const auto found = this->leaving.find(open.upstream.id);
    if (found == this->leaving.end()) {
        return this->now;
    }
    const Leaving &leaving = found->second;
    return leaving.gone ? *leaving.gone - lastPartTime : leaving.noticed + longestHold;
}

void Router::beginMove(Open &open, const std::string &reason)
{
    Move move;
    move.reason = reason;
    move.since = this->now;
    move.nextTry = this->now;
    // What all processes run there shares the link.
    const Tokens there = this->loads.totalClaim(open.upstream.id).memory;
    const microseconds all
        = std::chrono::duration_cast<microseconds>(this->copyTime(open, there) * linkMargin);
    move.finalDue = this->now + all;
    open.move = move;
    this->counts.migrationsStarted += 1;
}

void Router::checkMove(Open &open)
{
    if (!open.move) {
        if (!open.running || !this->movable(open) || open.beside) {
            return;
        }
        if (!this->sourceLeaves(open)) {
            this->watchWithoutPublisher(open);
            return;
        }
        if (!this->budget.allows(open.serviceName, true, this->now)) {
            return;
        }
        this->noteLeaving(open);
        if (this->backupUsable(open)) {
            if (this->now >= this->latestHandover(open) && this->backupSettled(open)) {
                this->goOnFromBackup(open);
            }
            return;
        }
        this->beginMove(open, "upstream leaves");
    }
    Move &move = *open.move;
    const bool destinationGone = [&] {
        const UpstreamRecord *to = this->record(move.to.id);
        return to == nullptr || this->goesAway(*to) || to->incarnation != move.to.incarnation
            || !this->mayReceive(*to);
    }();
    const bool waits = move.stage == MoveStage::Copying || move.stage == MoveStage::Copied;
    if (waits && destinationGone) {
        this->loads.subtract(move.to.id, move.claim);
        move.claim = {};
        move.refusedBy.push_back(move.to.id);
        move.stage = MoveStage::Choosing;
        move.nextTry = this->now;
    }
    switch (move.stage) {
    case MoveStage::Choosing:
        if (this->now >= move.nextTry) {
            this->chooseDestination(open);
        }
        break;
    case MoveStage::Copied:
        if (!move.handedInVain) {
            this->handOver(open);
        } else if (this->now >= std::min(move.finalDue, this->latestHandover(open))) {
            this->askFinal(open);
        }
        break;
    case MoveStage::Stopped:
        if (move.sourceEnded || this->now - move.stoppedAt >= lastEventsTime) {
            const Move done = move;
            this->cancel(open);
            this->takeOver(open, done.to, open.upstream.address, done.handle);
        }
        break;
    case MoveStage::Copying:
    case MoveStage::Handing:
    case MoveStage::Stopping:
        break; // An answer is awaited.
    }
}

void Router::chooseDestination(Open &open)
{
    Move &move = *open.move;
    std::vector<decision::UpstreamCandidate> candidates;
    for (const auto &[id, record] : this->state->upstreams) {
        const bool fits = record.service == open.serviceName && !this->goesAway(record)
            && this->isHome(open, record) && id != open.upstream.id && !contains(move.refusedBy, id)
            && this->state->evacuatedZones.count(record.zone) == 0;
        if (!fits) {
            continue;
        }
        // Copies between zones take twice as long and hold up the others on the link; but where
        // the stream is silent, the link that is cut may be the one to the engine's zone.
        const std::string &near = move.stopAtOnce ? this->options.zone : open.upstream.zone;
        candidates.push_back(this->candidate(record, open.service, near));
    }
    this->assumeUnheardZonesBusy(candidates);
    const decision::ResourceClaim claim = this->movedClaim(open);
    const auto chosen = decision::chooseEngine(
        candidates, {open.request->promptTokens, claim.memory, true, true}, this->nextTurn());
    if (!chosen) {
        move.nextTry = this->now + noDestinationRetry;
        move.refusedBy.clear();
        return;
    }
    move.to = *this->record(candidates[*chosen].upstream);
    move.claim = claim;
    move.handedInVain = false;
    this->loads.add(move.to.id, claim);
    const bool stopNow = move.sourceEnded || move.stopAtOnce;
    move.stage = stopNow ? MoveStage::Stopping : MoveStage::Copying;
    this->journal(open, journal::EventId::MoveBegun,
                  {{"from", open.upstream.id},
                   {"to", move.to.id},
                   {"reason", move.reason},
                   {"events", std::to_string(open.events)},
                   {"final", stopNow ? "yes" : "no"}});
    this->emit(RequestMigration {{open.id, open.attempt},
                                 open.upstream.address,
                                 move.to.address,
                                 open.request->callerRequestId,
                                 stopNow});
}

void Router::handOver(Open &open)
{
    // The copy lacks only what was made since, which is read in a moment. A last part of the copy
    // would wait for all others on both links, and its caller with it.
    Move &move = *open.move;
    move.stage = MoveStage::Handing;
    this->startBeside(open, move.to, open.upstream.address + "/" + move.handle, true);
}

void Router::askFinal(Open &open)
{
    Move &move = *open.move;
    move.stage = MoveStage::Stopping;
    this->emit(RequestMigration {{open.id, open.attempt},
                                 open.upstream.address,
                                 move.to.address,
                                 open.request->callerRequestId,
                                 true});
}

void Router::on(const MigrationResponseArrived &event)
{
    Open *current = this->findCurrent(event.attempt);
    if (current == nullptr || !current->move) {
        return;
    }
    Open &open = *current;
    this->journal(open, journal::EventId::MoveAnswered,
                  {{"from", open.upstream.id},
                   {"to", open.move->to.id},
                   {"final", event.final ? "yes" : "no"},
                   {"status", name(event.answer.status)},
                   {"created", std::to_string(event.answer.eventsGenerated)},
                   {"events", std::to_string(open.events)},
                   {"sinceMs", std::to_string((this->now - open.move->since).count() / 1'000)}});
    if (!event.final && open.move->stage == MoveStage::Copying) {
        this->onCopied(open, event.answer);
    } else if (event.final && open.move->stage == MoveStage::Stopping) {
        this->onFinal(open, event.answer);
    }
    this->dispatch();
}

void Router::onCopied(Open &open, const MigrationResponse &answer)
{
    Move &move = *open.move;
    if (answer.status == MigrationStatus::Copied) {
        move.handle = answer.handle;
        move.stage = MoveStage::Copied;
        this->checkMove(open);
        return;
    }
    this->loads.subtract(move.to.id, move.claim);
    move.claim = {};
    move.stage = MoveStage::Choosing;
    switch (answer.status) {
    case MigrationStatus::NoCapacity:
        move.refusedBy.push_back(move.to.id);
        move.nextTry = this->now;
        break;
    case MigrationStatus::InProgress:
        move.nextTry = this->now + inProgressRetry;
        break;
    case MigrationStatus::NotRunning:
        move.nextTry = this->now + runUnknownRetry;
        break;
    default:
        move.failures = std::min(move.failures + 1, maxFailures);
        move.nextTry = this->now + failedRetry * move.failures;
        break;
    }
    this->checkMove(open);
}

void Router::onFinal(Open &open, const MigrationResponse &answer)
{
    Move &move = *open.move;
    if (answer.status == MigrationStatus::Copied) {
        move.handle = answer.handle;
        move.stage = MoveStage::Stopped;
        move.stoppedAt = this->now;
        this->checkMove(open);
        return;
    }
    if (answer.status == MigrationStatus::NoCapacity && !answer.handle.empty()) {
        // The run has stopped, and its memory is still at the source: it goes on there.
        const UpstreamRecord source = open.upstream;
        this->cancel(open);
        this->takeOver(open, source, source.address, answer.handle);
        return;
    }
    if (answer.status == MigrationStatus::InProgress) {
        move.nextTry = this->now + inProgressRetry;
        move.stage = MoveStage::Choosing;
        this->loads.subtract(move.to.id, move.claim);
        move.claim = {};
        return;
    }
    if (!move.sourceEnded) {
        // It still streams, or has just come to its end.
        move.failures = std::min(move.failures + 1, maxFailures);
        this->loads.subtract(move.to.id, move.claim);
        move.claim = {};
        move.stage = MoveStage::Choosing;
        move.nextTry = this->now + failedRetry * move.failures;
        return;
    }
    if (move.sourceComplete) {
        this->dropMove(open, true);
        this->emit(EndStream {open.id});
        this->finish(open);
        return;
    }
    if (!move.handle.empty()) {
        const Move copied = move;
        this->takeOver(open, copied.to, open.upstream.address, copied.handle);
        return;
    }
    this->breakOff(open, "the engine could not hand the generation over");
}

bool Router::rescue(Open &open, const std::string &reason)
{
    if (!this->movable(open) || this->record(open.upstream.id) == nullptr
        || !this->budget.allows(open.serviceName, true, this->now)) {
        return false;
    }
    this->beginMove(open, reason);
    open.move->sourceEnded = !open.running;
    open.move->stopAtOnce = true;
    this->chooseDestination(open);
    if (open.move->stage == MoveStage::Choosing && !open.running) {
        this->dropMove(open, false);
        return false;
    }
    return true;
}

void Router::dropMove(Open &open, bool freeCopy)
{
    if (!open.move) {
        return;
    }
    this->loads.subtract(open.move->to.id, open.move->claim);
    if (freeCopy && !open.move->handle.empty()) {
        this->emit(ReleaseCopy {open.upstream.address, open.move->handle});
    }
    open.move.reset();
}

} // namespace azurespindle::routing
