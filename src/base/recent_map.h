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

/// Map of bounded size that forgets its least recently used entry when it is full.
///
/// Every table whose keys come from outside (workspaces, prompts, fingerprints, idempotency keys)
/// is one of these, so that no caller can make it grow.
///
///     RecentMap<std::string, int> seen(2);
///     seen.touch("a") = 1;
///     seen.touch("b") = 2;
///     seen.touch("c") = 3; // "a" is forgotten
template<typename Key, typename Value> class RecentMap
{
public:
    explicit RecentMap(std::size_t capacity) : limit(capacity) { }

    // Commands

    /// Returns the value of \a key, made anew if there is none, and marks it as just used.
    Value &touch(const Key &key)
    {
        auto &byKey = this->entries.template get<1>();
        auto found = byKey.find(key);
        if (found == byKey.end()) {
            this->makeRoom();
            found = byKey.insert(Entry {key, Value {}}).first;
        }
        auto &byAge = this->entries.template get<0>();
        byAge.relocate(byAge.end(), this->entries.template project<0>(found));
        return found->value;
    }

    void erase(const Key &key) { this->entries.template get<1>().erase(key); }

    /// Erases every entry for which \a matches(key, value) is true; it may change the value.
    void eraseIf(const std::function<bool(const Key &, Value &)> &matches)
    {
        auto &byAge = this->entries.template get<0>();
        for (auto entry = byAge.begin(); entry != byAge.end();) {
            entry = matches(entry->key, entry->value) ? byAge.erase(entry) : std::next(entry);
        }
    }

    // Queries

    /// Returns the value of \a key, or nullptr.
    const Value *find(const Key &key) const
    {
        const auto &byKey = this->entries.template get<1>();
        const auto found = byKey.find(key);
        return found == byKey.end() ? nullptr : &found->value;
    }

    /// Calls \a visit(key, value) for each entry, the least recently used first.
    void forEach(const std::function<void(const Key &, const Value &)> &visit) const
    {
        for (const Entry &entry : this->entries.template get<0>()) {
            visit(entry.key, entry.value);
        }
    }

    /// Returns the key of the least recently used entry, or nullptr if there is none.
    const Key *oldest() const
    {
        const auto &byAge = this->entries.template get<0>();
        return byAge.empty() ? nullptr : &byAge.front().key;
    }

    std::size_t size() const { return this->entries.size(); }
    std::size_t capacity() const { return this->limit; }

private:
    struct Entry
    {
        Key key;
        mutable Value value; ///< No index depends on it.
    };
    using Entries = boost::multi_index_container<
        Entry,
        boost::multi_index::indexed_by<
            boost::multi_index::sequenced<>,
            boost::multi_index::hashed_unique<boost::multi_index::member<Entry, Key, &Entry::key>,
                                              std::hash<Key>>>>;

    void makeRoom()
    {
        auto &byAge = this->entries.template get<0>();
        if (byAge.size() >= this->limit && !byAge.empty()) {
            byAge.pop_front();
        }
    }

    Entries entries;
    std::size_t limit;
};

} // namespace azurespindle

#endif
