#include "http/internal/refusal_choice.h"

#include <algorithm>
#include <tuple>

namespace azurespindle::http::internal {
namespace {

enum class Rank { Stalled, Progressing, Ordinary };

Rank rankOf(const HeldInput &input)
{
    if (input.bytes <= ordinaryInputBytes) {
        return Rank::Ordinary;
    }
    return input.withoutProgress >= stalledAfter ? Rank::Stalled : Rank::Progressing;
}

/// Returns bytes times seconds. A millisecond is added, so that size decides between connections
/// that have just made progress.
double occupation(const HeldInput &input)
{
    const microseconds time = std::max(input.withoutProgress, microseconds(0)) + milliseconds(1);
    return static_cast<double>(input.bytes) * inSeconds(time);
}

bool refusedBefore(const HeldInput &left, const HeldInput &right)
{
    return std::make_tuple(rankOf(left), -occupation(left), right.connection)
        < std::make_tuple(rankOf(right), -occupation(right), left.connection);
}

} // namespace

std::vector<std::uint64_t> chooseRefusals(std::vector<HeldInput> held, std::size_t excessBytes)
{
    std::sort(held.begin(), held.end(), refusedBefore);
    std::vector<std::uint64_t> refused;
    std::size_t released = 0;
    for (const HeldInput &input : held) {
        if (released >= excessBytes) {
            break;
        }
        if (input.bytes > 0) {
            refused.push_back(input.connection);
            released += input.bytes;
        }
    }
    return refused;
}

} // namespace azurespindle::http::internal
