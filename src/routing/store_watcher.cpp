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
        if (!active || this->calling) {
            return;
        }
        this->calling = true;
    }
    this->next();
}

void StoreWatcher::noteKnownRevision(std::uint64_t revision)
{
    const std::lock_guard lock(this->mutex);
    this->known = std::max(this->known, revision);
    this->listed = this->listed || revision > 0;
}

Instant StoreWatcher::lastResponseTime() const
{
    const std::lock_guard lock(this->mutex);
    return this->answered;
}

bool StoreWatcher::storeUnavailable() const
{
    const std::lock_guard lock(this->mutex);
    return this->active && this->lost;
}

bool StoreWatcher::isReceiving() const
{
    const std::lock_guard lock(this->mutex);
    return this->active && !this->lost && this->answered != Instant::min();
}

void StoreWatcher::next()
{
    bool watches = false;
    std::uint64_t after = 0;
    {
        const std::lock_guard lock(this->mutex);
        if (!this->active) {
            this->calling = false;
            return;
        }
        watches = this->listed;
        after = this->known;
    }
    if (!watches) {
        this->listFrom("");
        return;
    }
    this->calls.watch(after, watchWait,
                      [self = this->shared_from_this(), after](const StoreResponse &changes) {
                          self->onChanges(after, changes);
                      });
}

void StoreWatcher::listFrom(const std::string &after)
{
    if (after.empty()) {
        const std::lock_guard lock(this->mutex);
        this->listing = {true, 0, 0, {}};
    }
    this->calls.list(after, [self = this->shared_from_this()](const StoreResponse &page) {
        self->onPage(page);
    });
}

void StoreWatcher::onPage(const StoreResponse &page)
{
    if (!this->noteStatus(page)) {
        this->nextAfter(page.status == StoreCallStatus::Refused ? refusedRetryTime : retryTime);
        return;
    }
    ViewUpdate update;
    {
        const std::lock_guard lock(this->mutex);
        // Pages are no snapshot: what changes meanwhile is seen by watching from the first page on.
        this->listing.revision
            = this->listing.revision == 0 ? page.revision : this->listing.revision;
        this->listing.items.insert(this->listing.items.end(), page.items.begin(), page.items.end());
        if (!page.hasMore) {
            update = std::exchange(this->listing, {});
            this->listed = true;
            this->known = std::max(this->known, update.revision);
        }
    }
    if (page.hasMore && !page.items.empty()) {
        this->listFrom(page.items.back().key);
        return;
    }
    this->hooks.onUpdate(update);
    this->nextAfter(milliseconds(0));
}

void StoreWatcher::onChanges(std::uint64_t after, const StoreResponse &changes)
{
    if (changes.status == StoreCallStatus::Compacted) {
        const std::lock_guard lock(this->mutex);
        this->listed = false;
    }
    if (changes.status == StoreCallStatus::Compacted) {
        this->nextAfter(milliseconds(0));
        return;
    }
    if (!this->noteStatus(changes)) {
        this->nextAfter(changes.status == StoreCallStatus::Refused ? refusedRetryTime : retryTime);
        return;
    }
    const bool whole = this->hooks.onUpdate({false, after, changes.revision, changes.items});
    {
        const std::lock_guard lock(this->mutex);
        this->known = std::max(this->known, changes.revision);
        this->listed = whole;
    }
    this->nextAfter(changes.items.empty() ? milliseconds(0) : gatherTime);
}

bool StoreWatcher::noteStatus(const StoreResponse &answer)
{
    const bool ok = answer.status == StoreCallStatus::Ok;
    bool changed = false;
    microseconds away(0);
    {
        const std::lock_guard lock(this->mutex);
        const Instant now = monotonicNow();
        changed = std::exchange(this->lost, !ok) == ok;
        if (changed && !ok) {
            this->lostAt = now;
        }
        away = now - this->lostAt;
        if (ok) {
            this->answered = now;
        }
    }
    if (changed && ok) {
        this->hooks.onAvailable(away);
    } else if (changed) {
        this->hooks.onUnavailable();
    }
    return ok;
}

void StoreWatcher::nextAfter(milliseconds delay)
{
    if (delay.count() == 0) {
        this->next();
        return;
    }
    this->timers.after(delay, [self = this->shared_from_this()] { self->next(); });
}

} // namespace azurespindle::routing
