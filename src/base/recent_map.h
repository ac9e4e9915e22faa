#ifndef AZURESPINDLE_BASE_RECENT_MAP_H
#define AZURESPINDLE_BASE_RECENT_MAP_H

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>

#include <cstddef>
#include <functional>
#include <utility>

namespace azurespindle {

/// Map of bounded size that evicts its least recently used entry when it is full.
///
/// It is used for all tables whose keys come from outside the process (workspaces, prompts,
/// fingerprints, idempotency keys), so that no caller can make them grow without bound.
///
///     RecentMap<std::string, int> seen(2);
///     seen.touch("a") = 1;
///     seen.touch("b") = 2;
///     seen.touch("c") = 3; // "a" is evicted
template<typename Key, typename Value> class RecentMap
{
public:
    explicit RecentMap(std::size_t capacity) : maxEntries(capacity) { }

    // Commands

    /// Returns the value of \a key, inserting a default value if the key is missing, and marks the
    /// entry as most recently used.
    Value &touch(const Key &key)
    {
        auto &byKey = this->entries.template get<1>();
        auto found = byKey.find(key);
        if (found == byKey.end()) {
            this->evictIfFull();
            found = byKey.insert(Entry {key, Value {}}).first;
        }
        auto &byAge = this->entries.template get<0>();
        byAge.relocate(byAge.end(), this->entries.template project<0>(found));
        return found->value;
    }

    void erase(const Key &key) { this->entries.template get<1>().erase(key); }

    /// Erases every entry for which \a matches(key, value) returns true. The predicate may modify
    /// the value.
    void eraseIf(const std::function<bool(const Key &, Value &)> &matches)
    {
        auto &byAge = this->entries.template get<0>();
        for (auto entry = byAge.begin(); entry != byAge.end();) {
            entry = matches(entry->key, entry->value) ? byAge.erase(entry) : std::next(entry);
        }
    }

    // Queries

    /// Returns the value of \a key, or nullptr if the key is missing. Does not mark the entry as
    /// used.
    const Value *find(const Key &key) const
    {
        const auto &byKey = this->entries.template get<1>();
        const auto found = byKey.find(key);
        return found == byKey.end() ? nullptr : &found->value;
    }

    /// Calls \a visit(key, value) for each entry, starting with the least recently used one.
    void forEach(const std::function<void(const Key &, const Value &)> &visit) const
    {
        for (const Entry &entry : this->entries.template get<0>()) {
            visit(entry.key, entry.value);
        }
    }

    /// Returns the key of the least recently used entry, or nullptr if the map is empty.
    const Key *oldest() const
    {
        const auto &byAge = this->entries.template get<0>();
        return byAge.empty() ? nullptr : &byAge.front().key;
    }

    std::size_t size() const { return this->entries.size(); }
    std::size_t capacity() const { return this->maxEntries; }

private:
    struct Entry
    {
        Key key;
        mutable Value value; ///< Mutable, as no index depends on the value.
    };
    using Entries = boost::multi_index_container<
        Entry,
        boost::multi_index::indexed_by<
            boost::multi_index::sequenced<>,
            boost::multi_index::hashed_unique<boost::multi_index::member<Entry, Key, &Entry::key>,
                                              std::hash<Key>>>>;

    void evictIfFull()
    {
        auto &byAge = this->entries.template get<0>();
        if (byAge.size() >= this->maxEntries && !byAge.empty()) {
            byAge.pop_front();
        }
    }

    Entries entries;
    std::size_t maxEntries;
};

} // namespace azurespindle

#endif
