#include "decision/prefix_index.h"

#include <algorithm>

namespace azurespindle::decision {

void PrefixIndex::add(const std::vector<std::uint64_t> &blocks)
{
    // Last block first, so that a prompt is forgotten from its end: without its leading blocks
    // the others are of no use.
    std::for_each(blocks.rbegin(), blocks.rend(),
                  [this](std::uint64_t block) { this->known.touch(block); });
}

void PrefixIndex::drop(const std::vector<std::uint64_t> &blocks)
{
    for (const std::uint64_t block : blocks) {
        this->known.erase(block);
    }
}

void PrefixIndex::clear()
{
    this->known.eraseIf([](std::uint64_t, const Mark &) { return true; });
}

Tokens PrefixIndex::cachedTokens(const std::vector<std::uint64_t> &blocks) const
{
    Tokens tokens = 0;
    for (const std::uint64_t block : blocks) {
        if (this->known.find(block) == nullptr) {
            break;
        }
        tokens += prefixBlockTokens;
    }
    return tokens;
}

} // namespace azurespindle::decision
