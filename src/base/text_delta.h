#ifndef AZURESPINDLE_BASE_TEXT_DELTA_H
#define AZURESPINDLE_BASE_TEXT_DELTA_H

#include "base/error.h"

#include <cstdint>
#include <string>
#include <vector>

namespace azurespindle {

/// One step of applying a TextDelta: bytes copied from the base, followed by new bytes.
struct DeltaStep
{
    std::uint32_t copyFrom = 0;     ///< Offset in the base.
    std::uint32_t copyLength = 0;   ///< Number of bytes to copy from there.
    std::uint32_t insertLength = 0; ///< Number of bytes to take from TextDelta::inserted.
    bool operator==(const DeltaStep &other) const = default;
};

/// The difference between two versions of a text, the base and the result.
///
/// A text that many processes keep, such as a configuration, is large, and most of its changes are
/// small. Sending the difference costs what the change costs.
///
///     const TextDelta delta = makeDelta(before, after);
///     applyDelta(before, delta).value(); // Equals after.
struct TextDelta
{
    std::uint64_t baseHash = 0;
    std::uint64_t resultHash = 0;
    std::uint32_t resultBytes = 0;
    std::vector<DeltaStep> steps;
    std::string inserted; ///< The new bytes of all steps, in order.
    bool operator==(const TextDelta &other) const = default;
};

/// Largest text of which differences are made, in bytes.
constexpr std::size_t maxDeltaTextBytes = 4'194'304;

/// Returns the difference that turns \a base into \a result. Both have at most maxDeltaTextBytes.
TextDelta makeDelta(const std::string &base, const std::string &result);

/// Applies \a delta to \a base.
/// \return the result, or DocumentInvalid if the delta was made for another base or is malformed.
Result<std::string> applyDelta(const std::string &base, const TextDelta &delta);

} // namespace azurespindle

#endif
