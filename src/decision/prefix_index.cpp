#include "decision/prefix_index.h"

#include <algorithm>

namespace azurespindle::decision {

void PrefixIndex::add(const std::vector<std::uint64_t> &blocks)
{
    // The last block is inserted first, so that a prompt's blocks are evicted from its end. Blocks
    // without their leading ones are useless.
    std::for_each(blocks.rbegin(), blocks.rend(),
                  [this](std::uint64_t block) { this->cached.touch(block); });
}

void PrefixIndex::drop(const std::vector<std::uint64_t> &blocks)
{
    for (const std::uint64_t block : blocks) {
        this->cached.erase(block);
    }
}

void PrefixIndex::clear()
{
    this->cached.eraseIf([](std::uint64_t, const Empty &) { return true; });
}

Tokens PrefixIndex::cachedTokens(const std::vector<std::uint64_t> &blocks) const
{
    Tokens tokens = 0;
    for (const std::uint64_t block : blocks) {
        if (this->cached.find(block) == nullptr) {
            break;
        }
        tokens += prefixBlockTokens;
    }
    return tokens;
}

} // namespace azurespindle::decision
