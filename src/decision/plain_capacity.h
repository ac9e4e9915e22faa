#ifndef AZURESPINDLE_DECISION_PLAIN_CAPACITY_H
#define AZURESPINDLE_DECISION_PLAIN_CAPACITY_H

#include <algorithm>
#include <cstdint>

namespace azurespindle::decision {

/// Returns true if one more request may be sent to a plain upstream now.
///
/// This process sends as many requests at a time as the upstream has slots, and half as many again
/// that queue there. Claims of other processes are late, often by more than a request takes, and
/// show an average of their load: the fleet's claims are bounded by twice the slots.
/// \param own requests of this process that run there.
/// \param all requests of the fleet that run there, those of this process included.
inline bool hasPlainCapacity(std::uint32_t slots, std::uint32_t own, std::uint32_t all)
{
    const std::uint64_t used = std::max<std::uint32_t>(slots, 1);
    const std::uint64_t ownLimit = used + std::max<std::uint64_t>(1, used / 2);
    return own < ownLimit && all < std::max(ownLimit, 2 * used);
}

} // namespace azurespindle::decision

#endif
