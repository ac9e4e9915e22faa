#include "decision/stream_pace.h"

namespace azurespindle::decision {

bool StreamPace::countEvents(std::uint32_t count, Instant now)
{
    if (!this->begunAt) {
        return true;
    }
    this->events += count;
    return this->events >= minEvents && now - *this->begunAt >= minDuration;
}

std::optional<PaceStretch> StreamPace::endStretch(const ResourceClaim &claimed, Instant now)
{
    std::optional<PaceStretch> ended;
    if (this->begunAt && this->events > 0) {
        const ResourceClaim &before = this->claimedAtBegin;
        const WorkLoad load {(static_cast<double>(before.attempts) + claimed.attempts) / 2.0,
                             ((before.prefill > 0 ? 1.0 : 0.0) + (claimed.prefill > 0 ? 1.0 : 0.0))
                                 / 2.0};
        ended = PaceStretch {(now - *this->begunAt) / this->events, load};
    }
    this->begunAt = now;
    this->claimedAtBegin = claimed;
    this->events = 0;
    return ended;
}

} // namespace azurespindle::decision
