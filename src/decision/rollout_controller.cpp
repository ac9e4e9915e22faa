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

void RolloutController::logEvent(journal::EventId id, const Engine &engine,
                                 const std::string &detail, RolloutEffects &effects)
{
    effects.push_back(LogRolloutEvent {{id,
                                        {{"upstream", engine.desired.upstream},
                                         {"image", toText(engine.observed.image)},
                                         {"wanted", toText(engine.desired.image)},
                                         {"revision", std::to_string(engine.desired.revision)},
                                         {"detail", detail}}}});
}

// Events ----------------------------------------------------------------------------------------

RolloutEffects RolloutController::setDesiredImage(const DesiredImage &desired, Instant at)
{
    this->now = at;
    RolloutEffects effects;
    const bool added = this->engines.count(desired.upstream) == 0;
    Engine &engine = this->engines[desired.upstream];
    if (!added && engine.desired == desired) {
        return effects;
    }
    if (added) {
        engine.managedSince = at;
        // Its loaded image is not known yet and may not be one that the pool serves.
        engine.observed.upstream = desired.upstream;
    }
    const bool changed = added || engine.desired.image != desired.image;
    engine.desired = desired;
    if (changed) {
        engine.retryNotBefore = Instant();
    }
    this->reconcile(engine, effects);
    return effects;
}

void RolloutController::removeEngine(const std::string &upstream)
{
    this->engines.erase(upstream);
}

RolloutEffects RolloutController::recordObservation(const EngineObservation &observed, Instant at)
{
    this->now = at;
    RolloutEffects effects;
    const auto found = this->engines.find(observed.upstream);
    if (found == this->engines.end()) {
        return effects;
    }
    Engine &engine = found->second;
    const bool reloaded = engine.reportsImage && engine.observed.image != observed.image
        && interrupts(engine.observed.image, observed.image);
    engine.observed = observed;
    engine.reportsImage = !observed.image.version.empty() || !observed.loading.empty();
    engine.observedAt = at;
    if (reloaded) {
        effects.push_back(MarkCold {observed.upstream});
    }
    this->reconcile(engine, effects);
    return effects;
}

RolloutEffects RolloutController::handlePermitAnswer(const PermitAnswer &answer, Instant at)
{
    this->now = at;
    RolloutEffects effects;
    const auto found = this->engines.find(answer.upstream);
    if (found == this->engines.end() || found->second.desired.revision != answer.revision) {
        return effects;
    }
    Engine &engine = found->second;
    engine.rolloutActive = answer.rolloutActive;
    if (answer.granted) {
        engine.permitExpires = at + answer.duration;
    }
    if (engine.phase == OrderPhase::Waiting && answer.granted) {
        this->startDraining(engine, effects);
    } else if (engine.phase == OrderPhase::Waiting && !answer.reason.empty()
               && engine.reason != answer.reason) {
        engine.reason = answer.reason;
        logEvent(journal::EventId::OrderPostponed, engine, answer.reason, effects);
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
    logEvent(journal::EventId::OrderRefused, engine, std::string(name(reply)) + ": " + detail,
             effects);
    engine.retryNotBefore = at + retryDelay;
    this->waitForPermit(engine, "the last order was not taken: " + detail, effects);
    return effects;
}

RolloutEffects RolloutController::tick(Instant at)
{
    this->now = at;
    const bool paused = this->lastTick != Instant() && at - this->lastTick > pauseThreshold;
    this->lastTick = at;
    RolloutEffects effects;
    for (auto &[name, engine] : this->engines) {
        if (paused) {
            // Observations made before the pause are too old to act on.
            engine.permitExpires = Instant();
            engine.managedSince = at;
            engine.observedAt = Instant();
        }
        this->reconcile(engine, effects);
        this->requestPermitIfDue(engine, effects);
    }
    return effects;
}

// Reconciliation --------------------------------------------------------------------------------

void RolloutController::reconcile(Engine &engine, RolloutEffects &effects)
{
    const bool unseen = !engine.reportsImage || this->now - engine.observedAt > observationTimeout;
    if (unseen && engine.phase != OrderPhase::Unseen) {
        // The engine has died or cannot be reached. The permit granter need not wait for it.
        engine.phase = OrderPhase::Unseen;
        engine.reason = "it does not answer";
        engine.permitExpires = Instant();
        this->requestPermit(engine, effects);
    } else if (!unseen) {
        const bool loading = !engine.observed.loading.empty();
        const bool settled = !loading && satisfies(engine.observed.image, engine.desired.image);
        if (engine.phase == OrderPhase::Ordered) {
            // The reply to the order decides.
        } else if (settled) {
            this->markSettled(engine, effects);
        } else if (loading || engine.phase == OrderPhase::Loading) {
            this->checkLoading(engine, effects);
        } else if (engine.phase == OrderPhase::Draining) {
            this->orderIfDrained(engine, effects);
        } else if (engine.phase != OrderPhase::Waiting) {
            this->waitForPermit(engine, "", effects);
        }
    }
    this->updateAccepting(engine, effects);
}

void RolloutController::markSettled(Engine &engine, RolloutEffects &effects)
{
    if (engine.phase == OrderPhase::Settled) {
        return;
    }
    const bool wasLoading = engine.phase == OrderPhase::Loading;
    engine.phase = OrderPhase::Settled;
    engine.reason.clear();
    engine.permitExpires = Instant();
    if (wasLoading) {
        logEvent(journal::EventId::OrderAccepted, engine, "it runs what is wanted", effects);
    }
    this->updateAccepting(engine, effects);
    this->requestPermit(engine, effects);
}

void RolloutController::waitForPermit(Engine &engine, const std::string &reason,
                                      RolloutEffects &effects)
{
    engine.phase = OrderPhase::Waiting;
    engine.reason = reason;
    engine.permitExpires = Instant();
    this->updateAccepting(engine, effects);
    this->requestPermit(engine, effects);
}

void RolloutController::startDraining(Engine &engine, RolloutEffects &effects)
{
    engine.phase = OrderPhase::Draining;
    engine.reason.clear();
    logEvent(journal::EventId::EngineDraining, engine, "it takes no new work until it has loaded",
             effects);
    this->updateAccepting(engine, effects);
    this->orderIfDrained(engine, effects);
}

bool RolloutController::isDrained(const Engine &engine) const
{
    const bool interrupted = interrupts(engine.observed.image, engine.desired.image);
    return !interrupted
        || (engine.observed.committed == 0 && engine.observed.activeGenerations == 0);
}

void RolloutController::orderIfDrained(Engine &engine, RolloutEffects &effects)
{
    if (!this->hasPermit(engine)) {
        this->waitForPermit(engine, "the permit ran out", effects);
        return;
    }
    const bool recentlyObserved = this->now - engine.observedAt <= maxObservationAge;
    const bool predecessorOrdersDelivered = engine.desired.honoursFencing
        || this->now - engine.managedSince >= predecessorOrderTimeout;
    if (!recentlyObserved || !predecessorOrdersDelivered || !this->isDrained(engine)) {
        return;
    }
    engine.phase = OrderPhase::Ordered;
    engine.orderedAt = this->now;
    logEvent(journal::EventId::OrderSent, engine, "", effects);
    effects.push_back(
        SendOrder {{engine.desired.upstream, engine.desired.revision, engine.desired.image,
                    std::min(this->now + maxObservationAge, engine.permitExpires)}});
}

void RolloutController::checkLoading(Engine &engine, RolloutEffects &effects)
{
    if (engine.phase != OrderPhase::Loading) {
        // The order came from another process: a predecessor, or one that manages the engine at the
        // same time.
        engine.phase = OrderPhase::Loading;
        engine.orderedAt = this->now;
        return;
    }
    const bool idle = engine.observed.loading.empty()
        && engine.observedAt > engine.orderedAt + maxObservationAge;
    if (idle || this->now - engine.orderedAt > loadTimeout) {
        engine.retryNotBefore = this->now + retryDelay;
        this->waitForPermit(engine, "it did not load what it was ordered to", effects);
    }
}

void RolloutController::updateAccepting(Engine &engine, RolloutEffects &effects)
{
    const bool draining = engine.phase == OrderPhase::Draining
        && interrupts(engine.observed.image, engine.desired.image);
    const bool ordering
        = engine.phase == OrderPhase::Ordered || engine.phase == OrderPhase::Loading;
    const bool unableToServe = engine.reportsImage
        && (!engine.observed.loading.empty()
            || !servesPool(engine.observed.image, engine.desired.pool));
    const bool accepting = !draining && !ordering && !unableToServe;
    if (accepting != engine.accepting) {
        engine.accepting = accepting;
        effects.push_back(SetAccepting {engine.desired.upstream, accepting});
    }
}

void RolloutController::requestPermitIfDue(Engine &engine, RolloutEffects &effects)
{
    if (engine.phase == OrderPhase::Unseen) {
        return;
    }
    const milliseconds statusPeriod = engine.rolloutActive ? rolloutStatusInterval : statusInterval;
    const milliseconds interval
        = engine.phase == OrderPhase::Settled ? statusPeriod : permitRequestInterval;
    if (this->now - engine.lastRequested >= interval) {
        this->requestPermit(engine, effects);
    }
}

void RolloutController::requestPermit(Engine &engine, RolloutEffects &effects)
{
    engine.lastRequested = this->now;
    // A failed order is retried only after retryDelay; until then the engine is reported as one
    // that needs no order.
    const bool retryPending
        = engine.phase == OrderPhase::Waiting && this->now < engine.retryNotBefore;
    PermitRequest request;
    request.requester = this->requester;
    request.pool = engine.desired.pool;
    request.upstream = engine.desired.upstream;
    request.revision = engine.desired.revision;
    request.phase = retryPending ? OrderPhase::Settled : engine.phase;
    request.ready = engine.accepting && engine.phase != OrderPhase::Unseen;
    request.warm = engine.observed.warm;
    effects.push_back(RequestPermit {request});
}

// Queries ---------------------------------------------------------------------------------------

std::vector<OrderStatus> RolloutController::status() const
{
    std::vector<OrderStatus> all;
    for (const auto &[name, engine] : this->engines) {
        all.push_back({name, engine.observed.image, engine.desired.image, engine.desired.revision,
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
