#ifndef AZURESPINDLE_ROUTING_STORE_REVISION_H
#define AZURESPINDLE_ROUTING_STORE_REVISION_H

#include <cstdint>
#include <string>
#include <tuple>

namespace azurespindle::routing {

/// A revision in the history of the publishing store.
///
/// A store that comes back from a copy begins a new era: it loses the revisions after the copy, and
/// gives their numbers out again. A revision of a later era is therefore newer than any of an
/// earlier one, whatever their numbers.
struct StoreRevision
{
    /// A revision of a store that states no era.
    constexpr StoreRevision(std::uint64_t number = 0) : number(number) { }
    constexpr StoreRevision(std::uint64_t era, std::uint64_t number) : era(era), number(number) { }

    bool operator==(const StoreRevision &other) const = default;
    bool operator<(const StoreRevision &other) const
    {
        return std::tie(this->era, this->number) < std::tie(other.era, other.number);
    }
    bool operator>(const StoreRevision &other) const { return other < *this; }
    bool operator<=(const StoreRevision &other) const { return !(other < *this); }
    bool operator>=(const StoreRevision &other) const { return !(*this < other); }

    std::uint64_t era = 0; ///< 0 if the store states none.
    std::uint64_t number = 0;
};

/// Returns the number, preceded by "ERA:" unless the era is 0.
std::string toText(const StoreRevision &revision);

} // namespace azurespindle::routing

#endif
