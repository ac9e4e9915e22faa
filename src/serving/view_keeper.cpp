#include "serving/view_keeper.h"

#include <algorithm>
#include <utility>

namespace azurespindle::serving {
namespace {

/// Records lapse only while the store is away for longer than upstreams take to renew them.
constexpr milliseconds lapsingOutage {1'500};

} // namespace

ViewKeeper::ViewKeeper(routing::ItemDecoder read, routing::StoreCalls calls,
                       timer::TimerService &timers, journal::Journal &journal, ViewHooks hooks)
    : journal(journal), hooks(std::move(hooks)), view(std::move(read)),
      reader(std::make_shared<routing::StoreWatcher>(
          std::move(calls),
          routing::StoreWatcherHooks {
              [this](const routing::ViewUpdate &update) {
                  const bool taken = this->update(update);
                  if (taken && !update.items.empty() && !update.isSnapshot) {
                      this->hooks.tellZone({update});
                  }
                  return taken;
              },
              [this] {
                  this->journal.record({journal::EventId::PublisherLost, {}});
              },
              [this](microseconds away) {
                  this->journal.record({journal::EventId::PublisherBack,
                                        {{"awayMs", std::to_string(away.count() / 1'000)}}});
                  if (away >= lapsingOutage) {
                      const std::lock_guard lock(this->mutex);
                      this->view.noteStoreRecovered(monotonicNow());
                  }
              }},
          timers))
{ }

void ViewKeeper::start()
{
    this->reader->setActive(true);
}

bool ViewKeeper::update(const routing::ViewUpdate &update)
{
    const std::lock_guard order(this->publishing);
    bool taken = false;
    std::shared_ptr<const routing::FleetState> before;
    std::shared_ptr<const routing::FleetState> after;
    std::vector<journal::Entry> entries;
    {
        const std::lock_guard lock(this->mutex);
        before = this->view.state();
        taken = this->view.applyUpdate(update, monotonicNow());
        after = this->view.state();
        entries = this->view.takeJournalEntries();
    }
    if (after != before) {
        this->publish(after, std::move(entries));
    }
    return taken;
}

void ViewKeeper::publish(const std::shared_ptr<const routing::FleetState> &state,
                         std::vector<journal::Entry> entries)
{
    for (journal::Entry &entry : entries) {
        this->journal.record(std::move(entry));
    }
    this->hooks.onState(state);
}

bool ViewKeeper::anotherReads(Instant now) const
{
    return std::any_of(this->readers.begin(), this->readers.end(),
                       [now](const auto &reader) { return now - reader.second < readerTime; });
}

bool ViewKeeper::publisherAway() const
{
    const std::lock_guard lock(this->mutex);
    return this->reader->storeUnavailable() && !this->anotherReads(monotonicNow());
}

void ViewKeeper::chooseReader(const std::vector<std::string> &zone, const std::string &self)
{
    bool reads = true;
    {
        const std::lock_guard lock(this->mutex);
        const Instant now = monotonicNow();
        for (const std::string &member : zone) {
            if (member == self) {
                break;
            }
            const auto heard = this->readers.find(member);
            reads = reads && (heard == this->readers.end() || now - heard->second >= readerTime);
        }
        const bool behind
            = this->behindSince != Instant::max() && now - this->behindSince >= 2 * behindTime;
        reads = reads || behind;
    }
    this->reader->setActive(reads);
}

void ViewKeeper::noteMember(const std::string &member, const members::RouterReport &report)
{
    const std::uint64_t viewRevision = report.viewRevision;
    const Instant now = monotonicNow();
    std::uint64_t known = 0;
    {
        const std::lock_guard lock(this->mutex);
        if (report.readsStore) {
            this->readers[member] = now;
        } else {
            this->readers.erase(member);
        }
        known = this->view.revision();
        this->newestHeard = std::max(this->newestHeard, viewRevision);
        if (this->newestHeard <= known) {
            this->behindSince = Instant::max();
            return;
        }
        this->behindSince = std::min(this->behindSince, now);
        // A member that knows as little does not make this process any less behind.
        const bool due = viewRevision > known && now - this->behindSince >= behindTime
            && (this->asked == Instant::min() || now - this->asked >= behindTime);
        if (!due) {
            return;
        }
        this->asked = now;
    }
    this->hooks.send(member, members::ViewRequest {known});
}

void ViewKeeper::answer(const std::string &member, const members::ViewRequest &wanted)
{
    members::ViewChanges news;
    {
        const std::lock_guard lock(this->mutex);
        news.update = this->view.changesAfter(wanted.after);
    }
    this->hooks.send(member, news);
}

void ViewKeeper::take(const members::ViewChanges &news)
{
    if (this->update(news.update)) {
        this->reader->noteKnownRevision(news.update.revision);
    }
}

void ViewKeeper::tick()
{
    const std::lock_guard order(this->publishing);
    std::shared_ptr<const routing::FleetState> changed;
    std::vector<journal::Entry> entries;
    {
        const std::lock_guard lock(this->mutex);
        if (this->view.expireRecords(monotonicNow())) {
            changed = this->view.state();
            entries = this->view.takeJournalEntries();
        }
    }
    if (changed != nullptr) {
        this->publish(changed, std::move(entries));
    }
}

std::uint64_t ViewKeeper::at() const
{
    const std::lock_guard lock(this->mutex);
    return this->view.revision();
}

std::shared_ptr<const routing::FleetState> ViewKeeper::state() const
{
    const std::lock_guard lock(this->mutex);
    return this->view.state();
}

} // namespace azurespindle::serving
