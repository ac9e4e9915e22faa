#include "routing/published_view.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace azurespindle::routing {
namespace {

std::size_t sizeOf(const PublishedItem &change)
{
    const std::size_t fixed = change.key.size() + change.value.size();
    return change.delta ? fixed + change.delta->text.inserted.size()
            + change.delta->text.steps.size() * sizeof(DeltaStep)
                        : fixed;
}

} // namespace

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

std::optional<std::vector<PublishedItem>>
PublishedView::resolveDeltas(const std::vector<PublishedItem> &items) const
{
    std::vector<PublishedItem> resolved;
    resolved.reserve(items.size()); // Keeps the addresses of its elements.
    std::map<std::string_view, const PublishedItem *> latest;
    for (const PublishedItem &item : items) {
        if (!item.delta) {
            resolved.push_back(item);
            latest[resolved.back().key] = &resolved.back();
            continue;
        }
        const auto stored = this->items.find(item.key);
        const auto earlier = latest.find(item.key);
        const PublishedItem *base = earlier != latest.end() ? earlier->second
            : stored != this->items.end()                   ? &stored->second.item
                                                            : nullptr;
        if (base != nullptr && base->revision >= item.revision) {
            continue;
        }
        if (base == nullptr || base->revision != item.delta->baseRevision) {
            return std::nullopt;
        }
        Result<std::string> value = applyDelta(base->value, item.delta->text);
        if (!value.ok()) {
            return std::nullopt;
        }
        resolved.push_back({item.key, value.takeValue(), item.revision, false, item.delta});
        latest[resolved.back().key] = &resolved.back();
    }
    return resolved;
}

bool PublishedView::applyUpdate(const ViewUpdate &update, Instant now)
{
    if (!update.isSnapshot && update.sinceRevision > this->knownRevision) {
        return false;
    }
    if (update.revision < this->knownRevision) {
        return true;
    }
    const bool isFirst = this->knownRevision == StoreRevision();
    if (!isFirst && update.revision.era > this->knownRevision.era) {
        if (update.isSnapshot) {
            this->beginEra(update, now);
        }
        return update.isSnapshot;
    }
    std::vector<PublishedItem> sorted = update.items;
    if (update.isSnapshot) {
        const std::vector<PublishedItem> missing = this->deletionsImpliedBy(update);
        sorted.insert(sorted.end(), missing.begin(), missing.end());
    }
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const auto &a, const auto &b) { return a.revision < b.revision; });
    const std::optional<std::vector<PublishedItem>> items = this->resolveDeltas(sorted);
    if (!items) {
        return false;
    }
    this->applyItems(*items, now);
    // What a later listing changes is retained like any other change.
    if (isFirst) {
        this->retainedChanges.clear();
        this->retainedBytes = 0;
        this->discarded = update.revision;
    }
    this->knownRevision = std::max(this->knownRevision, update.revision);
    this->rebuildState();
    return true;
}

void PublishedView::applyItems(const std::vector<PublishedItem> &items, Instant now)
{
    std::vector<const PublishedItem *> deletions;
    std::map<std::string_view, const PublishedItem *> last; // By key.
    for (const PublishedItem &item : items) {
        if (item.deleted) {
            deletions.push_back(&item);
        }
        last[item.key] = &item;
    }
    const bool expired = !deletions.empty() && this->looksLikeExpiry(deletions, now);
    std::map<std::string_view, std::vector<const PublishedItem *>> superseded; // By key.
    for (const PublishedItem &item : items) {
        const auto found = this->items.find(item.key);
        const StoreRevision currentRevision
            = found == this->items.end() ? StoreRevision() : found->second.item.revision;
        if (currentRevision > item.revision
            || (currentRevision == item.revision && !item.deleted)) {
            continue;
        }
        const auto deferred = this->deferredItems.find(item.key);
        if (deferred != this->deferredItems.end()) {
            if (deferred->second.item.revision == item.revision) {
                continue;
            }
            this->deferredItems.erase(deferred);
        }
        const PublishedItem &newest = *last[item.key];
        const bool isDocument = item.value.size() >= minDeltaValueBytes;
        if (isDocument && &newest != &item && !newest.deleted) {
            superseded[item.key].push_back(&item);
            continue;
        }
        if (!item.deleted) {
            this->store(item, superseded[item.key]);
            continue;
        }
        const bool isUpstream = found != this->items.end()
            && std::holds_alternative<UpstreamRecord>(found->second.content);
        if (expired && isUpstream) {
            this->pendingRemovals.emplace(item.key, now + removalGracePeriod);
        } else {
            this->remove(item, now);
        }
    }
}

void PublishedView::store(const PublishedItem &item,
                          const std::vector<const PublishedItem *> &older)
{
    DecodedItem content = this->decode(item);
    this->pendingRemovals.erase(item.key);
    if (this->wasKeptOver(item.key, content)) {
        return;
    }
    if (const auto *error = std::get_if<Error>(&content)) {
        this->entries.push_back({journal::EventId::PublishedItemRefused,
                                 {{"key", item.key},
                                  {"revision", toText(item.revision)},
                                  {"detail", error->message()}}});
        for (const PublishedItem *each : older) {
            DecodedItem earlier = each->deleted ? DecodedItem() : this->decode(*each);
            if (auto *configuration = std::get_if<RoutingConfiguration>(&earlier)) {
                this->offerConfiguration(*each, std::move(*configuration));
            }
        }
    }
    if (auto *configuration = std::get_if<RoutingConfiguration>(&content)) {
        this->offerConfiguration(item, std::move(*configuration));
        content = UnrelatedItem {};
    }
    StoredItem &stored = this->items[item.key];
    if (const auto *record = std::get_if<UpstreamRecord>(&content)) {
        this->journalChange(*record, std::get_if<UpstreamRecord>(&stored.content));
    }
    this->retain(changeFrom(stored.item, item));
    stored = {{item.key, item.value, item.revision, false}, std::move(content)};
}

PublishedItem PublishedView::changeFrom(const PublishedItem &before, const PublishedItem &item)
{
    PublishedItem change {item.key, {}, item.revision, false};
    if (item.value.size() < minDeltaValueBytes || before.value.empty()) {
        change.value = item.value;
        return change;
    }
    const bool continues = item.delta && item.delta->baseRevision == before.revision;
    change.delta = continues ? item.delta
                             : ValueDelta {before.revision, makeDelta(before.value, item.value)};
    return change;
}

void PublishedView::offerConfiguration(const PublishedItem &item,
                                       RoutingConfiguration configuration)
{
    const std::uint64_t before
        = this->routeTable == nullptr ? 0 : this->routeTable->configuration().version;
    const bool newer = this->routeTable == nullptr || configuration.version > before;
    this->entries.push_back(
        {newer ? journal::EventId::ConfigurationAccepted : journal::EventId::ConfigurationStale,
         {{"version", std::to_string(configuration.version)},
          {"before", std::to_string(before)},
          {"revision", toText(item.revision)},
          {"routes", std::to_string(configuration.routes.size())}}});
    if (newer) {
        this->routeTable = std::make_shared<RouteTable>(std::move(configuration));
    }
}

void PublishedView::retain(PublishedItem change)
{
    this->retainedBytes += sizeOf(change);
    this->retainedChanges.push_back(std::move(change));
    while (this->retainedChanges.size() > maxRetainedChanges
           || this->retainedBytes > maxRetainedBytes) {
        this->discarded = this->retainedChanges.front().revision;
        this->retainedBytes -= sizeOf(this->retainedChanges.front());
        this->retainedChanges.pop_front();
    }
}

void PublishedView::remove(const PublishedItem &item, Instant now)
{
    const auto found = this->items.find(item.key);
    this->retain(item);
    this->pendingRemovals.erase(item.key);
    if (found == this->items.end()) {
        return;
    }
    if (const auto *record = std::get_if<UpstreamRecord>(&found->second.content)) {
        this->entries.push_back({journal::EventId::UpstreamRemoved,
                                 {{"upstream", record->id}, {"revision", toText(item.revision)}}});
    }
    this->removals.touch(item.key) = {std::move(found->second.content), item.revision, now};
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
        this->remove({key, {}, this->knownRevision, true}, now);
    }
    const bool changed = this->storeDeferredItems(now) || !expired.empty();
    if (changed) {
        this->rebuildState();
    }
    return changed;
}

std::vector<journal::Entry> PublishedView::takeJournalEntries()
{
    return std::exchange(this->entries, {});
}

ViewUpdate PublishedView::changesAfter(const StoreRevision &revision) const
{
    ViewUpdate update;
    update.revision = this->knownRevision;
    update.sinceRevision = revision;
    if (revision.era == 0 && !this->sawEraChange) {
        update.sinceRevision.era = this->knownRevision.era; // Of a member that knows no eras.
    }
    update.isSnapshot = revision.number == 0 || update.sinceRevision < this->discarded;
    if (update.isSnapshot) {
        for (const auto &[key, stored] : this->items) {
            update.items.push_back(stored.item);
        }
        for (const auto &[key, deferred] : this->deferredItems) {
            update.items.push_back(deferred.item);
        }
    } else {
        this->appendRetainedAfter(update.sinceRevision, update.items);
    }
    // A peer that receives this revision does not ask for the changes again, so removals that are
    // still in their grace period here are included.
    for (const auto &[key, until] : this->pendingRemovals) {
        update.items.push_back({key, {}, this->knownRevision, true});
    }
    return update;
}

void PublishedView::appendRetainedAfter(const StoreRevision &revision,
                                        std::vector<PublishedItem> &items) const
{
    std::map<std::string_view, std::size_t> deltaBytes; // By key.
    std::map<std::string_view, std::size_t> deltas;     // Their number, by key.
    for (const PublishedItem &change : this->retainedChanges) {
        if (change.revision > revision && change.delta) {
            deltaBytes[change.key] += sizeOf(change);
            deltas[change.key] += 1;
        }
    }
    std::set<std::string_view> sentWhole;
    for (const PublishedItem &change : this->retainedChanges) {
        if (change.revision <= revision) {
            continue;
        }
        const auto stored = this->items.find(change.key);
        const bool tooLong = change.delta && stored != this->items.end()
            && (deltas[change.key] > maxDeltasInRow
                || deltaBytes[change.key] > stored->second.item.value.size());
        if (!tooLong) {
            items.push_back(change);
        } else if (sentWhole.insert(stored->first).second) {
            items.push_back(stored->second.item);
        }
    }
}

ViewUpdate PublishedView::forPeers(const ViewUpdate &update) const
{
    ViewUpdate compact;
    compact.isSnapshot = update.isSnapshot;
    compact.sinceRevision = update.sinceRevision;
    compact.revision = update.revision;
    for (const PublishedItem &item : update.items) {
        const auto retained = std::find_if(
            this->retainedChanges.rbegin(), this->retainedChanges.rend(),
            [&item](const PublishedItem &change) {
                return change.delta && change.key == item.key && change.revision == item.revision;
            });
        const auto stored = this->items.find(item.key);
        const bool isSuperseded = item.value.size() >= minDeltaValueBytes
            && stored != this->items.end() && stored->second.item.revision > item.revision;
        if (retained != this->retainedChanges.rend()) {
            compact.items.push_back(*retained);
        } else if (!isSuperseded) {
            compact.items.push_back(item);
        }
    }
    return compact;
}

} // namespace azurespindle::routing
