#include "routing/store_watcher.h"

#include <utility>

namespace azurespindle::routing {
namespace {

void setEra(std::vector<PublishedItem> &items, std::uint64_t era)
{
    for (PublishedItem &item : items) {
        item.revision.era = era;
    }
}

} // namespace

const char *name(StoreCallStatus status)
{
    switch (status) {
    case StoreCallStatus::Ok:
        return "answered";
    case StoreCallStatus::Compacted:
        return "history-gone";
    case StoreCallStatus::Refused:
        return "refused";
    case StoreCallStatus::Failed:
        return "failed";
    }
    return "unknown";
}

StoreWatcher::StoreWatcher(StoreCalls calls, StoreWatcherHooks hooks, timer::TimerService &timers)
    : calls(std::move(calls)), hooks(std::move(hooks)), timers(timers)
{ }

void StoreWatcher::setActive(bool active)
{
    {
        const std::lock_guard lock(this->mutex);
        this->active = active;
        if (!active || this->callPending) {
            return;
        }
        this->callPending = true;
    }
    this->callNext();
}

void StoreWatcher::noteKnownRevision(const StoreRevision &revision)
{
    const std::lock_guard lock(this->mutex);
    const bool isNewEra = revision.era > this->knownRevision.era;
    this->knownRevision = std::max(this->knownRevision, revision);
    this->newestEra = std::max(this->newestEra, revision.era);
    this->listed = this->listed || isNewEra || revision.number > 0;
}

Instant StoreWatcher::lastResponseTime() const
{
    const std::lock_guard lock(this->mutex);
    return this->lastResponse;
}

bool StoreWatcher::storeUnavailable() const
{
    const std::lock_guard lock(this->mutex);
    return this->active && this->unavailable;
}

bool StoreWatcher::isReceiving() const
{
    const std::lock_guard lock(this->mutex);
    return this->active && !this->unavailable && this->lastResponse != Instant::min();
}

void StoreWatcher::callNext()
{
    bool watch = false;
    StoreRevision after;
    {
        const std::lock_guard lock(this->mutex);
        if (!this->active) {
            this->callPending = false;
            return;
        }
        watch = this->listed;
        after = this->knownRevision;
    }
    if (!watch) {
        this->listFrom("");
        return;
    }
    this->calls.watch(after.number, watchTimeout,
                      [self = this->shared_from_this(), after](const StoreResponse &changes) {
                          self->onChanges(after, changes);
                      });
}

void StoreWatcher::listFrom(const std::string &after)
{
    if (after.empty()) {
        const std::lock_guard lock(this->mutex);
        this->listing = {true, {}, {this->newestEra, 0}, {}};
        this->listingBytes = 0;
    }
    this->calls.list(after, [self = this->shared_from_this()](const StoreResponse &page) {
        self->onPage(page);
    });
}

bool StoreWatcher::belongsTo(std::uint64_t asked, const StoreResponse &response)
{
    StoreRevision known;
    bool becameUnreadable = false;
    const std::uint64_t era = response.era.value_or(asked);
    {
        const std::lock_guard lock(this->mutex);
        known = this->knownRevision;
        becameUnreadable
            = !std::exchange(this->eraUnreadable, response.eraUnreadable) && response.eraUnreadable;
        if (era > this->newestEra) {
            this->newestEra = era;
            this->listed = false;
        }
    }
    if (becameUnreadable && this->hooks.onUnreadableEra) {
        this->hooks.onUnreadableEra();
    }
    if (era < known.era) {
        this->recordOutcome({}); // Counts as a failed call.
        if (this->hooks.onOutdatedResponse) {
            this->hooks.onOutdatedResponse(known, era);
        }
    }
    return era == asked;
}

void StoreWatcher::onPage(const StoreResponse &page)
{
    std::uint64_t listedEra = 0;
    {
        const std::lock_guard lock(this->mutex);
        // The first page may be the first response at all, which states the era of the listing.
        const bool isFirst = this->listing.revision.number == 0;
        if (isFirst && page.era && *page.era >= this->newestEra) {
            this->listing.revision.era = *page.era;
            this->newestEra = *page.era;
        }
        listedEra = this->listing.revision.era;
    }
    if (!this->belongsTo(listedEra, page)) {
        this->scheduleNext(retryDelay); // The pages come from two eras, or from an earlier one.
        return;
    }
    if (!this->recordOutcome(page)) {
        this->scheduleNext(page.status == StoreCallStatus::Refused ? refusedRetryDelay
                                                                   : retryDelay);
        return;
    }
    ViewUpdate update;
    std::size_t bytes = 0;
    {
        const std::lock_guard lock(this->mutex);
        this->listingBytes += page.bytes;
        bytes = this->listingBytes;
        // The pages do not form a consistent snapshot, so the watch starts at the revision of the
        // first page to report changes made between pages.
        this->listing.revision.number
            = this->listing.revision.number == 0 ? page.revision : this->listing.revision.number;
        this->listing.items.insert(this->listing.items.end(), page.items.begin(), page.items.end());
        if (!page.hasMore) {
            update = std::exchange(this->listing, {});
            setEra(update.items, update.revision.era);
            this->listed = true;
            this->knownRevision = std::max(this->knownRevision, update.revision);
        }
    }
    if (page.hasMore && !page.items.empty()) {
        this->listFrom(page.items.back().key);
        return;
    }
    this->hooks.onUpdate(update, bytes);
    this->scheduleNext(milliseconds(0));
}

void StoreWatcher::onChanges(const StoreRevision &after, const StoreResponse &changes)
{
    if (!this->belongsTo(after.era, changes)) {
        const bool isNewer = changes.era > after.era;
        this->scheduleNext(isNewer ? milliseconds(0) : retryDelay);
        return;
    }
    if (changes.status == StoreCallStatus::Compacted) {
        const std::lock_guard lock(this->mutex);
        this->listed = false;
    }
    if (changes.status == StoreCallStatus::Compacted) {
        this->scheduleNext(milliseconds(0));
        return;
    }
    if (!this->recordOutcome(changes)) {
        this->scheduleNext(changes.status == StoreCallStatus::Refused ? refusedRetryDelay
                                                                      : retryDelay);
        return;
    }
    ViewUpdate update {false, after, {after.era, changes.revision}, changes.items};
    setEra(update.items, after.era);
    const bool applied = this->hooks.onUpdate(update, changes.bytes);
    {
        const std::lock_guard lock(this->mutex);
        this->knownRevision = std::max(this->knownRevision, update.revision);
        this->listed = applied && this->newestEra == this->knownRevision.era;
    }
    this->scheduleNext(changes.items.empty() ? milliseconds(0) : coalescingDelay);
}

bool StoreWatcher::recordOutcome(const StoreResponse &response)
{
    const bool succeeded = response.status == StoreCallStatus::Ok;
    bool changed = false;
    microseconds outage(0);
    {
        const std::lock_guard lock(this->mutex);
        const Instant now = monotonicNow();
        changed = std::exchange(this->unavailable, !succeeded) == succeeded;
        if (changed && !succeeded) {
            this->unavailableSince = now;
        }
        outage = now - this->unavailableSince;
        if (succeeded) {
            this->lastResponse = now;
        }
    }
    if (changed && succeeded) {
        this->hooks.onAvailable(outage);
    } else if (changed) {
        this->hooks.onUnavailable();
    }
    return succeeded;
}

void StoreWatcher::scheduleNext(milliseconds delay)
{
    if (delay.count() == 0) {
        this->callNext();
        return;
    }
    this->timers.after(delay, [self = this->shared_from_this()] { self->callNext(); });
}

} // namespace azurespindle::routing
