#ifndef AZURESPINDLE_DECISION_PREFIX_INDEX_H
#define AZURESPINDLE_DECISION_PREFIX_INDEX_H

#include "base/recent_map.h"
#include "decision/types.h"

#include <cstdint>
#include <vector>

namespace azurespindle::decision {

/// Number of prompt tokens covered by one block hash.
constexpr Tokens prefixBlockTokens = 64;

/// Index of the prompt blocks that an engine probably holds in its prefix cache.
///
/// It is derived from the prompts sent to the engine and from the engine's cache events. As these
/// events are delayed and may be incomplete, the index is approximate. An error may cause a prefix
/// to be computed again, but never a wrong result.
class PrefixIndex
{
public:
    static constexpr std::size_t maxBlocks = 1'024;

    // Commands

    /// Adds the blocks of a prompt, given in prompt order.
    void add(const std::vector<std::uint64_t> &blocks);
    void drop(const std::vector<std::uint64_t> &blocks);
    /// Removes all blocks, after the engine restarted.
    void clear();

    // Queries

    /// Returns the number of leading tokens of a prompt with \a blocks that are probably cached.
    Tokens cachedTokens(const std::vector<std::uint64_t> &blocks) const;
    std::size_t size() const { return this->cached.size(); }

private:
    struct Empty
    { };

    RecentMap<std::uint64_t, Empty> cached {maxBlocks};
};

} // namespace azurespindle::decision

#endif
