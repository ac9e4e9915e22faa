#include "decision/cold_start_limiter.h"

namespace azurespindle::decision {

void ColdStartLimiter::recordSend(const std::string &upstream, Instant now)
{
    this->lastSends.touch(upstream) = now;
}

bool ColdStartLimiter::allows(const std::string &upstream, double requestsPerSecond,
                              Instant now) const
{
    if (requestsPerSecond <= 0.0) {
        return true;
    }
    const Instant *last = this->lastSends.find(upstream);
    if (last == nullptr) {
        return true;
    }
    const double spacingSeconds
        = static_cast<double>(this->processes) / (requestsPerSecond * usedShare);
    return inSeconds(now - *last) >= spacingSeconds;
}

} // namespace azurespindle::decision
