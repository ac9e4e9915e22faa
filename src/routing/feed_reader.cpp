#include "routing/feed_reader.h"

#include <utility>

namespace azurespindle::routing {

const char *name(FeedStatus status)
{
    switch (status) {
    case FeedStatus::Answered:
        return "answered";
    case FeedStatus::HistoryGone:
        return "history-gone";
    case FeedStatus::Refused:
        return "refused";
    case FeedStatus::Failed:
        return "failed";
    }
    return "unknown";
}

FeedReader::FeedReader(FeedCalls calls, FeedHooks hooks, timer::TimerService &timers)
    : calls(std::move(calls)), hooks(std::move(hooks)), timers(timers)
{ }

void FeedReader::setActive(bool active)
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

void FeedReader::noteKnown(std::uint64_t revision)
{
    const std::lock_guard lock(this->mutex);
    this->known = std::max(this->known, revision);
    this->listed = this->listed || revision > 0;
}

Instant FeedReader::lastAnswer() const
{
    const std::lock_guard lock(this->mutex);
    return this->answered;
}

bool FeedReader::away() const
{
    const std::lock_guard lock(this->mutex);
    return this->active && this->lost;
}

bool FeedReader::reads() const
{
    const std::lock_guard lock(this->mutex);
    return this->active && !this->lost && this->answered != Instant::min();
}

void FeedReader::next()
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
                      [self = this->shared_from_this(), after](const FeedAnswer &changes) {
                          self->onChanges(after, changes);
                      });
}

void FeedReader::listFrom(const std::string &after)
{
    if (after.empty()) {
        const std::lock_guard lock(this->mutex);
        this->listing = {true, 0, 0, {}};
    }
    this->calls.list(
        after, [self = this->shared_from_this()](const FeedAnswer &page) { self->onPage(page); });
}

void FeedReader::onPage(const FeedAnswer &page)
{
    if (!this->noteStatus(page)) {
        this->nextAfter(page.status == FeedStatus::Refused ? refusedRetryTime : retryTime);
        return;
    }
    ViewUpdate update;
    {
        const std::lock_guard lock(this->mutex);
        // Pages are no snapshot: what changes meanwhile is seen by watching from the first page on.
        this->listing.at = this->listing.at == 0 ? page.at : this->listing.at;
        this->listing.items.insert(this->listing.items.end(), page.items.begin(), page.items.end());
        if (!page.more) {
            update = std::exchange(this->listing, {});
            this->listed = true;
            this->known = std::max(this->known, update.at);
        }
    }
    if (page.more && !page.items.empty()) {
        this->listFrom(page.items.back().key);
        return;
    }
    this->hooks.onUpdate(update);
    this->nextAfter(milliseconds(0));
}

void FeedReader::onChanges(std::uint64_t after, const FeedAnswer &changes)
{
    if (changes.status == FeedStatus::HistoryGone) {
        const std::lock_guard lock(this->mutex);
        this->listed = false;
    }
    if (changes.status == FeedStatus::HistoryGone) {
        this->nextAfter(milliseconds(0));
        return;
    }
    if (!this->noteStatus(changes)) {
        this->nextAfter(changes.status == FeedStatus::Refused ? refusedRetryTime : retryTime);
        return;
    }
    const bool whole = this->hooks.onUpdate({false, after, changes.at, changes.items});
    {
        const std::lock_guard lock(this->mutex);
        this->known = std::max(this->known, changes.at);
        this->listed = whole;
    }
    this->nextAfter(changes.items.empty() ? milliseconds(0) : gatherTime);
}

bool FeedReader::noteStatus(const FeedAnswer &answer)
{
    const bool ok = answer.status == FeedStatus::Answered;
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
        this->hooks.onBack(away);
    } else if (changed) {
        this->hooks.onLost();
    }
    return ok;
}

void FeedReader::nextAfter(milliseconds delay)
{
    if (delay.count() == 0) {
        this->next();
        return;
    }
    this->timers.after(delay, [self = this->shared_from_this()] { self->next(); });
}

} // namespace azurespindle::routing
