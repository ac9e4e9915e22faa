// Change of the store's era: the first listing of a new era comes from a copy, and is older than
// what is known.

#include "routing/published_view.h"

#include <algorithm>
#include <utility>

namespace azurespindle::routing {
namespace {

/// Returns true if the upstream wrote \a known after \a listed.
bool isNewer(const UpstreamRecord &known, const UpstreamRecord &listed)
{
    return known.incarnation > listed.incarnation
        || (known.incarnation == listed.incarnation && known.sequence > listed.sequence);
}

/// Returns true if both contents are upstreams and the writer of \a known wrote it later.
bool isNewer(const DecodedItem &known, const DecodedItem &listed)
{
    const auto *knownRecord = std::get_if<UpstreamRecord>(&known);
    const auto *listedRecord = std::get_if<UpstreamRecord>(&listed);
    return knownRecord != nullptr && listedRecord != nullptr
        && isNewer(*knownRecord, *listedRecord);
}

/// Returns the items of a listing by key, without those that it says are deleted.
std::map<std::string, const PublishedItem *> itemsByKey(const ViewUpdate &listing)
{
    std::map<std::string, const PublishedItem *> byKey;
    for (const PublishedItem &item : listing.items) {
        byKey[item.key] = &item;
    }
    std::erase_if(byKey, [](const auto &entry) { return entry.second->deleted; });
    return byKey;
}

} // namespace

void PublishedView::beginEra(const ViewUpdate &listing, Instant now)
{
    const StoreRevision before = this->knownRevision;
    const std::map<std::string, const PublishedItem *> listed = itemsByKey(listing);
    std::map<EraMerge, std::size_t> merged;
    std::size_t missing = 0;
    this->deferredItems.clear();
    for (auto &[key, stored] : this->items) {
        // What is kept is older in the new era than all that the store lists or will write.
        stored.item.revision = {listing.revision.era, 0};
        if (listed.count(key) == 0) {
            this->pendingRemovals[key] = now + eraGracePeriod;
            missing += 1;
        }
    }
    for (const auto &[key, item] : listed) {
        const EraMerge merge = this->mergeOf(*item, this->decode(*item), now);
        merged[merge] += 1;
        this->pendingRemovals.erase(key);
        if (merge == EraMerge::Taken) {
            this->store(*item, {});
        } else if (merge == EraMerge::Deferred) {
            this->deferredItems[key] = {*item, now + returnedItemDelay};
        }
    }
    // Peers of earlier eras get a snapshot.
    this->retainedChanges.clear();
    this->retainedBytes = 0;
    this->discarded = listing.revision;
    this->knownRevision = listing.revision;
    this->storeRecoveredAt = now;
    this->sawEraChange = true;
    this->entries.push_back({journal::EventId::StoreEraChanged,
                             {{"from", toText(before)},
                              {"to", toText(listing.revision)},
                              {"taken", std::to_string(merged[EraMerge::Taken])},
                              {"kept", std::to_string(merged[EraMerge::Kept])},
                              {"missing", std::to_string(missing)},
                              {"deferred", std::to_string(merged[EraMerge::Deferred])}}});
    this->rebuildState();
}

EraMerge PublishedView::mergeOf(const PublishedItem &item, const DecodedItem &listed,
                                Instant now) const
{
    const auto found = this->items.find(item.key);
    if (found != this->items.end()) {
        const auto *configuration = std::get_if<RoutingConfiguration>(&listed);
        const bool isOldVersion = configuration != nullptr && this->routeTable != nullptr
            && configuration->version < this->routeTable->configuration().version;
        return isOldVersion || isNewer(found->second.content, listed) ? EraMerge::Kept
                                                                      : EraMerge::Taken;
    }
    const Removal *removal = this->removals.find(item.key);
    if (removal == nullptr || now - removal->at > removalMemory) {
        return EraMerge::Taken;
    }
    const auto *removed = std::get_if<UpstreamRecord>(&removal->content);
    const auto *returned = std::get_if<UpstreamRecord>(&listed);
    const bool wroteSince
        = removed != nullptr && returned != nullptr && isNewer(*returned, *removed);
    return wroteSince ? EraMerge::Taken : EraMerge::Deferred;
}

bool PublishedView::wasKeptOver(const std::string &key, const DecodedItem &content) const
{
    const auto found = this->items.find(key);
    return this->sawEraChange && found != this->items.end()
        && found->second.item.revision.number == 0 && isNewer(found->second.content, content);
}

bool PublishedView::storeDeferredItems(Instant now)
{
    std::vector<PublishedItem> due;
    for (const auto &[key, deferred] : this->deferredItems) {
        if (deferred.until <= now) {
            due.push_back(deferred.item);
        }
    }
    for (const PublishedItem &item : due) {
        this->deferredItems.erase(item.key);
        this->store(item, {});
    }
    return !due.empty();
}

} // namespace azurespindle::routing
