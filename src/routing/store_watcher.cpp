#include "routing/store_watcher.h"

#include <utility>

namespace azurespindle::routing {

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

void StoreWatcher::noteKnownRevision(std::uint64_t revision)
{
    const std::lock_guard lock(this->mutex);
    this->knownRevision = std::max(this->knownRevision, revision);
    this->listed = this->listed || revision > 0;
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
    std::uint64_t after = 0;
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
    this->calls.watch(after, watchTimeout,
                      [self = this->shared_from_this(), after](const StoreResponse &changes) {
                          self->onChanges(after, changes);
                      });
}

void StoreWatcher::listFrom(const std::string &after)
{
    if (after.empty()) {
        const std::lock_guard lock(this->mutex);
        this->listing = {true, 0, 0, {}};
        this->listingBytes = 0;
    }
    this->calls.list(after, [self = this->shared_from_this()](const StoreResponse &page) {
        self->onPage(page);
    });
}

void StoreWatcher::onPage(const StoreResponse &page)
{
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
        this->listing.revision
            = this->listing.revision == 0 ? page.revision : this->listing.revision;
        this->listing.items.insert(this->listing.items.end(), page.items.begin(), page.items.end());
        if (!page.hasMore) {
            update = std::exchange(this->listing, {});
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

void StoreWatcher::onChanges(std::uint64_t after, const StoreResponse &changes)
{
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
    const bool applied
        = this->hooks.onUpdate({false, after, changes.revision, changes.items}, changes.bytes);
    {
        const std::lock_guard lock(this->mutex);
        this->knownRevision = std::max(this->knownRevision, changes.revision);
        this->listed = applied;
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
