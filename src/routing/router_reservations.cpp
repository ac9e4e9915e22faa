// Reservations at engines without much free capacity. A request stays in the queue until an engine
// has reserved for it, so a refusal or a lost answer leaves it as it was: it has not run.

#include "routing/router.h"

#include <algorithm>
#include <utility>

namespace azurespindle::routing {

bool Router::mustReserve(const ActiveRequest &active,
                         const decision::UpstreamCandidate &chosen) const
{
    const auto cold = this->coldUntil.find(chosen.upstream);
    const bool isCold = cold != this->coldUntil.end() && cold->second > this->now;
    return active.service->engine->maxHoldTime.count() > 0 && !isCold
        && !this->rateLimits.rateOf(chosen.upstream)
        && this->timeLeft(active) >= std::chrono::milliseconds(1)
        && decision::ReservationPolicy::isContended(chosen, this->demandOf(active).memory);
}

void Router::requestReservation(ActiveRequest &active, const UpstreamRecord &upstream,
                                const decision::ResourceClaim &claim)
{
    const EngineTraits &engine = *active.service->engine;
    const double expected
        = active.request->promptTokens + this->outputForecast(active, 0).expectedRemaining();
    const decision::ReservationSize size = decision::ReservationPolicy::sizeOf(
        expected, engine.memoryTokens, engine.maxHoldTime,
        std::chrono::duration_cast<milliseconds>(this->timeLeft(active)));
    active.lastReservation += 1;
    active.reservation = internal::PendingReservation {active.lastReservation, upstream, claim,
                                                       this->now + size.lifetime};
    this->loads.add(upstream.id, claim);
    this->placements.push_back({upstream.id, claim});
    this->emit(
        RequestReservation {{active.id, active.lastReservation, upstream.id, upstream.address},
                            size.tokens,
                            size.lifetime});
}

void Router::endReservation(ActiveRequest &active)
{
    if (const auto pending = std::exchange(active.reservation, std::nullopt)) {
        this->loads.subtract(pending->upstream.id, pending->claim);
    }
}

void Router::on(const ReservationAnswered &event)
{
    ActiveRequest *active = this->findRequest(event.id.request);
    const bool taken = event.response.status == ReservationStatus::Taken;
    const bool awaited = active != nullptr && active->reservation
        && active->reservation->number == event.id.number;
    const std::string callerRequestId = active == nullptr ? "" : active->request->callerRequestId;
    const auto release = [&](const char *reason) {
        this->counters.reservationsUnused += 1;
        this->emit(WriteJournal {
            {journal::EventId::ReservationUnused,
             {{"request", callerRequestId}, {"upstream", event.id.upstream}, {"reason", reason}}}});
        this->emit(ReleaseReservation {event.id.address, event.response.handle});
    };
    if (!awaited) {
        if (taken) {
            release("the request has ended");
        }
        return;
    }
    const internal::PendingReservation pending = *active->reservation;
    this->endReservation(*active);
    if (!taken) {
        this->reservationPolicy.recordRefusal(pending.upstream.id, pending.upstream.incarnation,
                                              pending.claim.memory, this->now);
        this->counters.reservationsRefused += 1;
        this->journal(
            *active, journal::EventId::ReservationRefused,
            {{"upstream", pending.upstream.id},
             {"answered", event.response.status == ReservationStatus::Refused ? "yes" : "no"},
             {"memory", std::to_string(pending.claim.memory)}});
        this->placeQueued();
        return;
    }
    this->counters.reservationsTaken += 1;
    const UpstreamRecord *current = this->findUpstream(pending.upstream.id);
    const bool usable = current != nullptr && current->incarnation == pending.upstream.incarnation
        && this->now < pending.expiresAt && this->now < active->deadline
        && this->isEligible(*active, *current);
    if (!usable) {
        release("the engine may not be used any more, or the reservation has expired");
    } else if (!this->rejectIfCrashing(*active)) {
        this->beginOutput(*active);
        this->dequeue(*active);
        active->reservationHandle = event.response.handle;
        this->startAttempt(*active, pending.upstream, pending.claim, std::nullopt);
    } else {
        release("the request was refused");
    }
    this->placeQueued();
}

} // namespace azurespindle::routing
