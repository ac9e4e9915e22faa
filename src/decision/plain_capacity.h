#ifndef AZURESPINDLE_DECISION_PLAIN_CAPACITY_H
#define AZURESPINDLE_DECISION_PLAIN_CAPACITY_H

#include "decision/engine_choice.h"

#include <algorithm>
#include <cstdint>

namespace azurespindle::decision {

/// Returns the requests of the whole fleet that are sent to a plain upstream at a time: as many as
/// its slots, and half as many again that queue there, so that it has work while claims are on
/// their way.
inline std::uint32_t plainConcurrency(std::uint32_t slots)
{
    const std::uint64_t used = std::max<std::uint32_t>(slots, 1);
    const std::uint64_t total = used + std::max<std::uint64_t>(1, used / 2);
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(total, UINT32_MAX));
}

/// Returns true if one more request may be sent to a plain upstream now.
inline bool hasPlainCapacity(const UpstreamCandidate &candidate)
{
    return candidate.claimed.attempts < plainConcurrency(candidate.slots);
}

} // namespace azurespindle::decision

#endif
