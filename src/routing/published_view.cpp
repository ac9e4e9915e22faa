#include "routing/published_view.h"

#include <algorithm>
#include <utility>

namespace azurespindle::routing {

PublishedView::PublishedView(ItemDecoder decode) : decode(std::move(decode))
{ }

std::vector<PublishedItem> PublishedView::deletionsImpliedBy(const ViewUpdate &update) const
{
    std::set<std::string> listed;
    for (const PublishedItem &item : update.items) {
        listed.insert(item.key);
    }
    std::vector<PublishedItem> missing;
    for (const auto &[key, stored] : this->items) {
        if (listed.count(key) == 0 && stored.item.revision <= update.revision) {
            missing.push_back({key, {}, update.revision, true});
        }
    }
    return missing;
}

bool PublishedView::looksLikeExpiry(const std::vector<const PublishedItem *> &deletions,
                                    Instant now) const
{
    if (this->storeRecoveredAt != Instant::min()
        && now - this->storeRecoveredAt < postOutageWindow) {
        return true;
    }
    std::size_t removed = 0;
    std::size_t upstreams = 0;
    for (const auto &[key, stored] : this->items) {
        upstreams += std::holds_alternative<UpstreamRecord>(stored.content) ? 1 : 0;
    }
    for (const PublishedItem *item : deletions) {
        const auto found = this->items.find(item->key);
        const auto *record = found == this->items.end()
            ? nullptr
            : std::get_if<UpstreamRecord>(&found->second.content);
        removed += record != nullptr && !record->draining ? 1 : 0;
    }
    return removed > 1
        && static_cast<double>(removed) > massRemovalFraction * static_cast<double>(upstreams);
}

bool PublishedView::applyUpdate(const ViewUpdate &update, Instant now)
{
    if (!update.isSnapshot && update.sinceRevision > this->knownRevision) {
        return false;
    }
    if (update.revision < this->knownRevision) {
        return true;
    }
    std::vector<PublishedItem> items = update.items;
    if (update.isSnapshot) {
        const std::vector<PublishedItem> missing = this->deletionsImpliedBy(update);
        items.insert(items.end(), missing.begin(), missing.end());
    }
    std::stable_sort(items.begin(), items.end(),
                     [](const auto &a, const auto &b) { return a.revision < b.revision; });
    std::vector<const PublishedItem *> deletions;
    for (const PublishedItem &item : items) {
        if (item.deleted) {
            deletions.push_back(&item);
        }
    }
    const bool expired = !deletions.empty() && this->looksLikeExpiry(deletions, now);
    for (const PublishedItem &item : items) {
        const auto found = this->items.find(item.key);
        const std::uint64_t currentRevision
            = found == this->items.end() ? 0 : found->second.item.revision;
        if (currentRevision > item.revision
            || (currentRevision == item.revision && !item.deleted)) {
            continue;
        }
        if (!item.deleted) {
            this->store(item);
            continue;
        }
        const bool isUpstream = found != this->items.end()
            && std::holds_alternative<UpstreamRecord>(found->second.content);
        if (expired && isUpstream) {
            this->pendingRemovals.emplace(item.key, now + removalGracePeriod);
        } else {
            this->remove(item);
        }
    }
    if (update.isSnapshot) {
        this->retainedChanges.clear();
        this->discarded = update.revision;
    }
    this->knownRevision = std::max(this->knownRevision, update.revision);
    this->rebuildState();
    return true;
}

void PublishedView::store(const PublishedItem &item)
{
    DecodedItem content = this->decode(item);
    this->pendingRemovals.erase(item.key);
    if (const auto *error = std::get_if<Error>(&content)) {
        this->entries.push_back({journal::EventId::PublishedItemRefused,
                                 {{"key", item.key},
                                  {"revision", std::to_string(item.revision)},
                                  {"detail", error->message()}}});
    }
    if (auto *configuration = std::get_if<RoutingConfiguration>(&content)) {
        const std::uint64_t before
            = this->routeTable == nullptr ? 0 : this->routeTable->configuration().version;
        const bool newer = this->routeTable == nullptr || configuration->version > before;
        this->entries.push_back(
            {newer ? journal::EventId::ConfigurationAccepted : journal::EventId::ConfigurationStale,
             {{"version", std::to_string(configuration->version)},
              {"before", std::to_string(before)},
              {"revision", std::to_string(item.revision)},
              {"routes", std::to_string(configuration->routes.size())}}});
        if (newer) {
            this->routeTable = std::make_shared<RouteTable>(std::move(*configuration));
        }
        content = UnrelatedItem {};
    }
    StoredItem &stored = this->items[item.key];
    if (const auto *record = std::get_if<UpstreamRecord>(&content)) {
        this->journalChange(*record, std::get_if<UpstreamRecord>(&stored.content));
    }
    stored = {item, std::move(content)};
    this->retainedChanges.push_back(item);
    if (this->retainedChanges.size() > maxRetainedChanges) {
        this->discarded = this->retainedChanges.front().revision;
        this->retainedChanges.pop_front();
    }
}

void PublishedView::remove(const PublishedItem &item)
{
    const auto found = this->items.find(item.key);
    this->retainedChanges.push_back(item);
    this->pendingRemovals.erase(item.key);
    if (found == this->items.end()) {
        return;
    }
    if (const auto *record = std::get_if<UpstreamRecord>(&found->second.content)) {
        this->entries.push_back(
            {journal::EventId::UpstreamRemoved,
             {{"upstream", record->id}, {"revision", std::to_string(item.revision)}}});
    }
    this->items.erase(found);
}

void PublishedView::journalChange(const UpstreamRecord &record, const UpstreamRecord *previous)
{
    if (previous == nullptr || previous->incarnation != record.incarnation) {
        this->entries.push_back({journal::EventId::UpstreamAdded,
                                 {{"upstream", record.id},
                                  {"service", record.service},
                                  {"zone", record.zone},
                                  {"address", record.address},
                                  {"coldLeftMs", std::to_string(record.coldTimeLeft.count())}}});
    } else if (previous->draining != record.draining) {
        this->entries.push_back(
            {journal::EventId::UpstreamCondition,
             {{"upstream", record.id}, {"condition", record.draining ? "leaving" : "serving"}}});
    }
}

void PublishedView::rebuildState()
{
    auto state = std::make_shared<FleetState>();
    state->routeTable = this->routeTable;
    state->revision = this->knownRevision;
    for (const auto &[key, stored] : this->items) {
        if (const auto *record = std::get_if<UpstreamRecord>(&stored.content)) {
            state->upstreams[record->id] = *record;
        } else if (const auto *evacuated = std::get_if<EvacuatedZone>(&stored.content)) {
            state->evacuatedZones.insert(evacuated->zone);
        }
    }
    this->current = std::move(state);
}

bool PublishedView::expireRecords(Instant now)
{
    std::vector<std::string> expired;
    for (const auto &[key, until] : this->pendingRemovals) {
        if (until <= now) {
            expired.push_back(key);
        }
    }
    for (const std::string &key : expired) {
        this->remove({key, {}, this->knownRevision, true});
    }
    if (!expired.empty()) {
        this->rebuildState();
    }
    return !expired.empty();
}

std::vector<journal::Entry> PublishedView::takeJournalEntries()
{
    return std::exchange(this->entries, {});
}

ViewUpdate PublishedView::changesAfter(std::uint64_t revision) const
{
    ViewUpdate update;
    update.revision = this->knownRevision;
    update.sinceRevision = revision;
    update.isSnapshot = revision < this->discarded;
    if (!update.isSnapshot) {
        for (const PublishedItem &item : this->retainedChanges) {
            if (item.revision > revision) {
                update.items.push_back(item);
            }
        }
    } else {
        for (const auto &[key, stored] : this->items) {
            update.items.push_back(stored.item);
        }
    }
    // A peer that receives this revision does not ask for the changes again, so removals that are
    // still in their grace period here are included.
    for (const auto &[key, until] : this->pendingRemovals) {
        update.items.push_back({key, {}, this->knownRevision, true});
    }
    return update;
}

} // namespace azurespindle::routing
