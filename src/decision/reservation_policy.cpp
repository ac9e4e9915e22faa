#include "decision/reservation_policy.h"

#include <algorithm>

namespace azurespindle::decision {

void ReservationPolicy::recordRefusal(const std::string &engine, std::uint64_t incarnation,
                                      Tokens memory, Instant now)
{
    this->refusals.eraseIf(
        [now](const std::string &, const Refusal &refusal) { return refusal.until <= now; });
    this->refusals.touch(engine) = {incarnation, memory, now + refusalLifetime};
}

bool ReservationPolicy::accepts(const std::string &engine, std::uint64_t incarnation, Tokens memory,
                                Instant now) const
{
    const Refusal *refusal = this->refusals.find(engine);
    return refusal == nullptr || refusal->until <= now || refusal->incarnation != incarnation
        || memory < refusal->memory;
}

bool ReservationPolicy::isContended(const UpstreamCandidate &engine, Tokens memory)
{
    const double usedMemory = static_cast<double>(engine.claimed.memory) + memory;
    const double usedSlots = static_cast<double>(engine.claimed.attempts) + 1.0;
    return usedMemory > contendedShare * engine.memoryCapacity
        || usedSlots > contendedShare * engine.slots;
}

ReservationSize ReservationPolicy::sizeOf(double expected, Tokens capacity,
                                          milliseconds maxHoldTime, milliseconds timeLeft)
{
    const double tokens = std::clamp<double>(expected, 1.0, std::max<Tokens>(capacity, 1));
    return {static_cast<Tokens>(tokens), std::min({maxLifetime, maxHoldTime, timeLeft})};
}

} // namespace azurespindle::decision
