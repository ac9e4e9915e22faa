#include "decision/sender_choice.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>

namespace azurespindle::decision {
namespace {

std::uint64_t weightOf(const std::string &process, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(process.data(), process.size(), seed);
}

} // namespace

bool isSender(const std::vector<std::string> &processes, const std::string &self,
              const std::string &upstream, std::size_t count)
{
    const std::uint64_t seed = XXH3_64bits(upstream.data(), upstream.size());
    const std::uint64_t own = weightOf(self, seed);
    const auto higher
        = std::count_if(processes.begin(), processes.end(),
                        [&](const std::string &process) { return weightOf(process, seed) > own; });
    return static_cast<std::size_t>(higher) < count;
}

} // namespace azurespindle::decision
