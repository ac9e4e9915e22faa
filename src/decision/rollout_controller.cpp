#include "decision/rollout_controller.h"

#include <algorithm>

namespace azurespindle::decision {

const char *name(OrderReply reply)
{
    switch (reply) {
    case OrderReply::Accepted:
        return "accepted";
    case OrderReply::StaleFencingToken:
        return "old-fence";
    case OrderReply::Failed:
        return "failed";
    }
    return "failed";
}

void RolloutController::journal(journal::EventId id, const Engine &engine,
                                const std::string &detail, RolloutEffects &effects)
{
    effects.push_back(LogRolloutEvent {{id,
                                        {{"upstream", engine.wanted.upstream},
                                         {"image", toText(engine.seen.image)},
                                         {"wanted", toText(engine.wanted.image)},
                                         {"revision", std::to_string(engine.wanted.revision)},
                                         {"detail", detail}}}});
}

// Events ----------------------------------------------------------------------------------------

RolloutEffects RolloutController::setDesiredImage(const DesiredImage &wanted, Instant at)
{
    this->now = at;
    RolloutEffects effects;
    const bool added = this->engines.count(wanted.upstream) == 0;
    Engine &engine = this->engines[wanted.upstream];
    if (!added && engine.wanted == wanted) {
        return effects;
    }
    if (added) {
        engine.stewardedSince = at;
        // What it has loaded is not known yet, and may not be what the pool serves.
        engine.seen.upstream = wanted.upstream;
    }
    const bool changed = added || engine.wanted.image != wanted.image;
    engine.wanted = wanted;
    if (changed) {
        engine.notBefore = Instant();
    }
    this->review(engine, effects);
    return effects;
}

void RolloutController::removeEngine(const std::string &upstream)
{
    this->engines.erase(upstream);
}

RolloutEffects RolloutController::recordObservation(const EngineObservation &seen, Instant at)
{
    this->now = at;
    RolloutEffects effects;
    const auto found = this->engines.find(seen.upstream);
    if (found == this->engines.end()) {
        return effects;
    }
    Engine &engine = found->second;
    const bool reloaded = engine.known && engine.seen.image != seen.image
        && interrupts(engine.seen.image, seen.image);
    engine.seen = seen;
    engine.known = !seen.image.version.empty() || !seen.loading.empty();
    engine.seenAt = at;
    if (reloaded) {
        effects.push_back(MarkCold {seen.upstream});
    }
    this->review(engine, effects);
    return effects;
}

RolloutEffects RolloutController::handlePermitAnswer(const PermitAnswer &answer, Instant at)
{
    this->now = at;
    RolloutEffects effects;
    const auto found = this->engines.find(answer.upstream);
    if (found == this->engines.end() || found->second.wanted.revision != answer.revision) {
        return effects;
    }
    Engine &engine = found->second;
    engine.rolloutActive = answer.rolloutActive;
    if (answer.granted) {
        engine.permitUntil = at + answer.duration;
    }
    if (engine.phase == OrderPhase::Waiting && answer.granted) {
        this->drain(engine, effects);
    } else if (engine.phase == OrderPhase::Waiting && !answer.reason.empty()
               && engine.reason != answer.reason) {
        engine.reason = answer.reason;
        journal(journal::EventId::OrderPostponed, engine, answer.reason, effects);
    }
    return effects;
}

RolloutEffects RolloutController::handleOrderReply(const EngineOrder &order, OrderReply reply,
                                                   const std::string &detail, Instant at)
{
    this->now = at;
    RolloutEffects effects;
    const auto found = this->engines.find(order.upstream);
    if (found == this->engines.end() || found->second.phase != OrderPhase::Ordered) {
        return effects;
    }
    Engine &engine = found->second;
    if (reply == OrderReply::Accepted) {
        engine.phase = OrderPhase::Loading;
        this->updateAccepting(engine, effects);
        return effects;
    }
    journal(journal::EventId::OrderRefused, engine, std::string(name(reply)) + ": " + detail,
            effects);
    engine.notBefore = at + retryAfter;
    this->wait(engine, "the last order was not taken: " + detail, effects);
    return effects;
}

RolloutEffects RolloutController::tick(Instant at)
{
    this->now = at;
    const bool paused = this->lastTick != Instant() && at - this->lastTick > pausedAfter;
    this->lastTick = at;
    RolloutEffects effects;
    for (auto &[name, engine] : this->engines) {
        if (paused) {
            // What was seen before the pause is no ground to act on.
            engine.permitUntil = Instant();
            engine.stewardedSince = at;
            engine.seenAt = Instant();
        }
        this->review(engine, effects);
        this->askIfDue(engine, effects);
    }
    return effects;
}

// The way of an engine to its image ---------------------------------------------------------------

void RolloutController::review(Engine &engine, RolloutEffects &effects)
{
    const bool unseen = !engine.known || this->now - engine.seenAt > unseenAfter;
    if (unseen && engine.phase != OrderPhase::Unseen) {
        // It died, or cannot be reached; whoever gives out permits need not wait for it.
        engine.phase = OrderPhase::Unseen;
        engine.reason = "it does not answer";
        engine.permitUntil = Instant();
        this->ask(engine, effects);
    } else if (!unseen) {
        const bool loading = !engine.seen.loading.empty();
        const bool settled = !loading && satisfies(engine.seen.image, engine.wanted.image);
        if (engine.phase == OrderPhase::Ordered) {
            // The reply tells.
        } else if (settled) {
            this->settle(engine, effects);
        } else if (loading || engine.phase == OrderPhase::Loading) {
            this->watchLoad(engine, effects);
        } else if (engine.phase == OrderPhase::Draining) {
            this->orderIfDrained(engine, effects);
        } else if (engine.phase != OrderPhase::Waiting) {
            this->wait(engine, "", effects);
        }
    }
    this->updateAccepting(engine, effects);
}

void RolloutController::settle(Engine &engine, RolloutEffects &effects)
{
    if (engine.phase == OrderPhase::Settled) {
        return;
    }
    const bool worked = engine.phase == OrderPhase::Loading;
    engine.phase = OrderPhase::Settled;
    engine.reason.clear();
    engine.permitUntil = Instant();
    if (worked) {
        journal(journal::EventId::OrderAccepted, engine, "it runs what is wanted", effects);
    }
    this->updateAccepting(engine, effects);
    this->ask(engine, effects);
}

void RolloutController::wait(Engine &engine, const std::string &reason, RolloutEffects &effects)
{
    engine.phase = OrderPhase::Waiting;
    engine.reason = reason;
    engine.permitUntil = Instant();
    this->updateAccepting(engine, effects);
    this->ask(engine, effects);
}

void RolloutController::drain(Engine &engine, RolloutEffects &effects)
{
    engine.phase = OrderPhase::Draining;
    engine.reason.clear();
    journal(journal::EventId::EngineDraining, engine, "it takes no new work until it has loaded",
            effects);
    this->updateAccepting(engine, effects);
    this->orderIfDrained(engine, effects);
}

bool RolloutController::drained(const Engine &engine) const
{
    const bool interrupted = interrupts(engine.seen.image, engine.wanted.image);
    return !interrupted || (engine.seen.committed == 0 && engine.seen.activeGenerations == 0);
}

void RolloutController::orderIfDrained(Engine &engine, RolloutEffects &effects)
{
    if (!this->hasPermit(engine)) {
        this->wait(engine, "the permit ran out", effects);
        return;
    }
    const bool looked = this->now - engine.seenAt <= lookValid;
    const bool quiet
        = engine.wanted.honoursFencing || this->now - engine.stewardedSince >= quietTime;
    if (!looked || !quiet || !this->drained(engine)) {
        return;
    }
    engine.phase = OrderPhase::Ordered;
    engine.orderedAt = this->now;
    journal(journal::EventId::OrderSent, engine, "", effects);
    effects.push_back(
        SendOrder {{engine.wanted.upstream, engine.wanted.revision, engine.wanted.image,
                    std::min(this->now + lookValid, engine.permitUntil)}});
}

void RolloutController::watchLoad(Engine &engine, RolloutEffects &effects)
{
    if (engine.phase != OrderPhase::Loading) {
        // Somebody else's order: a predecessor's, or that of a process which acts at once.
        engine.phase = OrderPhase::Loading;
        engine.orderedAt = this->now;
        return;
    }
    const bool idle = engine.seen.loading.empty() && engine.seenAt > engine.orderedAt + lookValid;
    if (idle || this->now - engine.orderedAt > loadTimeout) {
        engine.notBefore = this->now + retryAfter;
        this->wait(engine, "it did not load what it was ordered to", effects);
    }
}

void RolloutController::updateAccepting(Engine &engine, RolloutEffects &effects)
{
    const bool leaving = engine.phase == OrderPhase::Draining
        && interrupts(engine.seen.image, engine.wanted.image);
    const bool working = engine.phase == OrderPhase::Ordered || engine.phase == OrderPhase::Loading;
    const bool unfit = engine.known
        && (!engine.seen.loading.empty() || !servesPool(engine.seen.image, engine.wanted.pool));
    const bool accepting = !leaving && !working && !unfit;
    if (accepting != engine.accepting) {
        engine.accepting = accepting;
        effects.push_back(SetAccepting {engine.wanted.upstream, accepting});
    }
}

void RolloutController::askIfDue(Engine &engine, RolloutEffects &effects)
{
    if (engine.phase == OrderPhase::Unseen) {
        return;
    }
    const milliseconds told = engine.rolloutActive ? rolloutInterval : standingInterval;
    const milliseconds interval = engine.phase == OrderPhase::Settled ? told : askInterval;
    if (this->now - engine.lastAsked >= interval) {
        this->ask(engine, effects);
    }
}

void RolloutController::ask(Engine &engine, RolloutEffects &effects)
{
    engine.lastAsked = this->now;
    // A failed order is not repeated at once: the engine stands as one that needs nothing.
    const bool held = engine.phase == OrderPhase::Waiting && this->now < engine.notBefore;
    PermitRequest request;
    request.requester = this->holder;
    request.pool = engine.wanted.pool;
    request.upstream = engine.wanted.upstream;
    request.revision = engine.wanted.revision;
    request.phase = held ? OrderPhase::Settled : engine.phase;
    request.ready = engine.accepting && engine.phase != OrderPhase::Unseen;
    request.warm = engine.seen.warm;
    effects.push_back(RequestPermit {request});
}

// Queries ---------------------------------------------------------------------------------------

std::vector<OrderStatus> RolloutController::status() const
{
    std::vector<OrderStatus> all;
    for (const auto &[name, engine] : this->engines) {
        all.push_back({name, engine.seen.image, engine.wanted.image, engine.wanted.revision,
                       engine.phase, engine.reason});
    }
    return all;
}

bool RolloutController::isAccepting(const std::string &upstream) const
{
    const auto found = this->engines.find(upstream);
    return found == this->engines.end() || found->second.accepting;
}

} // namespace azurespindle::decision
