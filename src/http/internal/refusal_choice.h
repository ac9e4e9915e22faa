#ifndef AZURESPINDLE_HTTP_INTERNAL_REFUSAL_CHOICE_H
#define AZURESPINDLE_HTTP_INTERNAL_REFUSAL_CHOICE_H

#include "base/time_types.h"

#include <cstdint>
#include <vector>

namespace azurespindle::http::internal {

/// Memory that one connection holds for input that is not a complete request.
struct HeldInput
{
    std::uint64_t connection = 0;
    std::size_t bytes = 0;            ///< Allocated, not only used.
    microseconds withoutProgress {0}; ///< Time since its request last made progress.

    bool operator==(const HeldInput &other) const = default;
};

/// Input up to this size is that of an ordinary caller: a header, or a small request.
constexpr std::size_t ordinaryInputBytes = 16'384;
/// A connection without progress for this time counts as stalled.
constexpr milliseconds stalledAfter {250};

/// Chooses the connections to refuse when memory is short: first stalled ones, then those that make
/// progress, and only then ordinary ones. Among equals, those with the largest product of bytes and
/// time without progress come first, then those that connected last.
/// \param excessBytes memory to release.
/// \return the connections in order of refusal: as few as release \a excessBytes, or all.
std::vector<std::uint64_t> chooseRefusals(std::vector<HeldInput> held, std::size_t excessBytes);

} // namespace azurespindle::http::internal

#endif
