#include "routing/published_view.h"

#include <algorithm>
#include <utility>

namespace azurespindle::routing {

PublishedView::PublishedView(ItemDecoder read) : read(std::move(read))
{ }

std::vector<PublishedItem> PublishedView::missingFrom(const ViewUpdate &update) const
{
    std::set<std::string> listed;
    for (const PublishedItem &item : update.items) {
        listed.insert(item.key);
    }
    std::vector<PublishedItem> missing;
    for (const auto &[key, held] : this->held) {
        if (listed.count(key) == 0 && held.item.revision <= update.revision) {
            missing.push_back({key, {}, update.revision, true});
        }
    }
    return missing;
}

bool PublishedView::lapses(const std::vector<const PublishedItem *> &deletions, Instant now) const
{
    if (this->outageOver != Instant::min() && now - this->outageOver < outageEcho) {
        return true;
    }
    std::size_t vanished = 0;
    std::size_t upstreams = 0;
    for (const auto &[key, held] : this->held) {
        upstreams += std::holds_alternative<UpstreamRecord>(held.fact) ? 1 : 0;
    }
    for (const PublishedItem *item : deletions) {
        const auto found = this->held.find(item->key);
        const auto *record = found == this->held.end()
            ? nullptr
            : std::get_if<UpstreamRecord>(&found->second.fact);
        vanished += record != nullptr && !record->draining ? 1 : 0;
    }
    return vanished > 1
        && static_cast<double>(vanished) > lapsePart * static_cast<double>(upstreams);
}

bool PublishedView::applyUpdate(const ViewUpdate &update, Instant now)
{
    if (!update.isSnapshot && update.sinceRevision > this->known) {
        return false;
    }
    if (update.revision < this->known) {
        return true;
    }
    std::vector<PublishedItem> items = update.items;
    if (update.isSnapshot) {
        const std::vector<PublishedItem> missing = this->missingFrom(update);
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
    const bool lapse = !deletions.empty() && this->lapses(deletions, now);
    for (const PublishedItem &item : items) {
        const auto found = this->held.find(item.key);
        const std::uint64_t held = found == this->held.end() ? 0 : found->second.item.revision;
        if (held > item.revision || (held == item.revision && !item.deleted)) {
            continue;
        }
        if (!item.deleted) {
            this->apply(item);
            continue;
        }
        const bool upstream = found != this->held.end()
            && std::holds_alternative<UpstreamRecord>(found->second.fact);
        if (lapse && upstream) {
            this->lapsed.emplace(item.key, now + lapseGrace);
        } else {
            this->remove(item);
        }
    }
    if (update.isSnapshot) {
        this->recent.clear();
        this->forgotten = update.revision;
    }
    this->known = std::max(this->known, update.revision);
    this->rebuild();
    return true;
}

void PublishedView::apply(const PublishedItem &item)
{
    DecodedItem fact = this->read(item);
    this->lapsed.erase(item.key);
    if (const auto *error = std::get_if<Error>(&fact)) {
        this->entries.push_back({journal::EventId::PublishedItemRefused,
                                 {{"key", item.key},
                                  {"revision", std::to_string(item.revision)},
                                  {"detail", error->message()}}});
    }
    if (auto *configuration = std::get_if<RoutingConfiguration>(&fact)) {
        const std::uint64_t before
            = this->routes == nullptr ? 0 : this->routes->configuration().version;
        const bool newer = this->routes == nullptr || configuration->version > before;
        this->entries.push_back(
            {newer ? journal::EventId::ConfigurationAccepted : journal::EventId::ConfigurationStale,
             {{"version", std::to_string(configuration->version)},
              {"before", std::to_string(before)},
              {"revision", std::to_string(item.revision)},
              {"routes", std::to_string(configuration->routes.size())}}});
        if (newer) {
            this->routes = std::make_shared<RouteTable>(std::move(*configuration));
        }
        fact = UnrelatedItem {};
    }
    Held &held = this->held[item.key];
    if (const auto *record = std::get_if<UpstreamRecord>(&fact)) {
        this->note(*record, std::get_if<UpstreamRecord>(&held.fact));
    }
    held = {item, std::move(fact)};
    this->recent.push_back(item);
    if (this->recent.size() > maxRemembered) {
        this->forgotten = this->recent.front().revision;
        this->recent.pop_front();
    }
}

void PublishedView::remove(const PublishedItem &item)
{
    const auto found = this->held.find(item.key);
    this->recent.push_back(item);
    this->lapsed.erase(item.key);
    if (found == this->held.end()) {
        return;
    }
    if (const auto *record = std::get_if<UpstreamRecord>(&found->second.fact)) {
        this->entries.push_back(
            {journal::EventId::UpstreamRemoved,
             {{"upstream", record->id}, {"revision", std::to_string(item.revision)}}});
    }
    this->held.erase(found);
}

void PublishedView::note(const UpstreamRecord &record, const UpstreamRecord *before)
{
    if (before == nullptr || before->incarnation != record.incarnation) {
        this->entries.push_back({journal::EventId::UpstreamAdded,
                                 {{"upstream", record.id},
                                  {"service", record.service},
                                  {"zone", record.zone},
                                  {"address", record.address},
                                  {"coldLeftMs", std::to_string(record.coldTimeLeft.count())}}});
    } else if (before->draining != record.draining) {
        this->entries.push_back(
            {journal::EventId::UpstreamCondition,
             {{"upstream", record.id}, {"condition", record.draining ? "leaving" : "serving"}}});
    }
}

void PublishedView::rebuild()
{
    auto state = std::make_shared<FleetState>();
    state->routeTable = this->routes;
    state->revision = this->known;
    for (const auto &[key, held] : this->held) {
        if (const auto *record = std::get_if<UpstreamRecord>(&held.fact)) {
            state->upstreams[record->id] = *record;
        } else if (const auto *evacuated = std::get_if<EvacuatedZone>(&held.fact)) {
            state->evacuatedZones.insert(evacuated->zone);
        }
    }
    this->current = std::move(state);
}

bool PublishedView::expireRecords(Instant now)
{
    std::vector<std::string> over;
    for (const auto &[key, until] : this->lapsed) {
        if (until <= now) {
            over.push_back(key);
        }
    }
    for (const std::string &key : over) {
        this->remove({key, {}, this->known, true});
    }
    if (!over.empty()) {
        this->rebuild();
    }
    return !over.empty();
}

std::vector<journal::Entry> PublishedView::takeJournalEntries()
{
    return std::exchange(this->entries, {});
}

ViewUpdate PublishedView::changesAfter(std::uint64_t revision) const
{
    ViewUpdate update;
    update.revision = this->known;
    update.sinceRevision = revision;
    update.isSnapshot = revision < this->forgotten;
    if (!update.isSnapshot) {
        for (const PublishedItem &item : this->recent) {
            if (item.revision > revision) {
                update.items.push_back(item);
            }
        }
    } else {
        for (const auto &[key, held] : this->held) {
            update.items.push_back(held.item);
        }
    }
    // Who is told this revision never asks for it again, so what is only held back is told, too.
    for (const auto &[key, until] : this->lapsed) {
        update.items.push_back({key, {}, this->known, true});
    }
    return update;
}

} // namespace azurespindle::routing
