#ifndef AZURESPINDLE_DECISION_PREFIX_INDEX_H
#define AZURESPINDLE_DECISION_PREFIX_INDEX_H

#include "base/recent_map.h"
#include "decision/types.h"

#include <cstdint>
#include <vector>

namespace azurespindle::decision {

/// Tokens of prompt behind one block hash.
constexpr Tokens prefixBlockTokens = 64;

/// Which prompt blocks an engine probably has in its prefix cache.
///
/// Learned from what was sent there and from the engine's cache events. Events come late and with
/// gaps, so this is a guess whose error costs time only, never a wrong answer.
class PrefixIndex
{
public:
    static constexpr std::size_t maxBlocks = 1'024;

    // Commands

    void add(const std::vector<std::uint64_t> &blocks);
    void drop(const std::vector<std::uint64_t> &blocks);
    /// Forgets all, because the engine restarted.
    void clear();

    // Queries

    /// Returns how many leading tokens of a prompt with these blocks are probably cached.
    Tokens cachedTokens(const std::vector<std::uint64_t> &blocks) const;
    std::size_t size() const { return this->known.size(); }

private:
    struct Mark
    { };

    RecentMap<std::uint64_t, Mark> known {maxBlocks};
};

} // namespace azurespindle::decision

#endif
