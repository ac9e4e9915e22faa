#include "serving/view_synchronizer.h"

#include <algorithm>
#include <utility>

namespace azurespindle::serving {
namespace {

/// Records lapse only while the store is away for longer than upstreams take to renew them.
constexpr milliseconds minOutageForExpiry {1'500};

} // namespace

ViewSynchronizer::ViewSynchronizer(routing::ItemDecoder read, routing::StoreCalls calls,
                                   timer::TimerService &timers, journal::Journal &journal,
                                   ViewSynchronizerHooks hooks)
    : journal(journal), hooks(std::move(hooks)), view(std::move(read)),
      reader(std::make_shared<routing::StoreWatcher>(
          std::move(calls),
          routing::StoreWatcherHooks {
              [this](const routing::ViewUpdate &update) {
                  const bool taken = this->applyUpdate(update);
                  if (taken && !update.items.empty() && !update.isSnapshot) {
                      this->hooks.sendToZone({update});
                  }
                  return taken;
              },
              [this] {
                  this->journal.record({journal::EventId::PublisherLost, {}});
              },
              [this](microseconds away) {
                  this->journal.record({journal::EventId::PublisherBack,
                                        {{"awayMs", std::to_string(away.count() / 1'000)}}});
                  if (away >= minOutageForExpiry) {
                      const std::lock_guard lock(this->mutex);
                      this->view.noteStoreRecovered(monotonicNow());
                  }
              }},
          timers))
{ }

void ViewSynchronizer::start()
{
    this->reader->setActive(true);
}

bool ViewSynchronizer::applyUpdate(const routing::ViewUpdate &update)
{
    const std::lock_guard order(this->publishMutex);
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

void ViewSynchronizer::publish(const std::shared_ptr<const routing::FleetState> &state,
                               std::vector<journal::Entry> entries)
{
    for (journal::Entry &entry : entries) {
        this->journal.record(std::move(entry));
    }
    this->hooks.onState(state);
}

bool ViewSynchronizer::anotherMemberReads(Instant now) const
{
    return std::any_of(this->readersLastHeard.begin(), this->readersLastHeard.end(),
                       [now](const auto &reader) { return now - reader.second < readerTimeout; });
}

bool ViewSynchronizer::publisherUnreachable() const
{
    const std::lock_guard lock(this->mutex);
    return this->reader->storeUnavailable() && !this->anotherMemberReads(monotonicNow());
}

void ViewSynchronizer::electReader(const std::vector<std::string> &zone, const std::string &self)
{
    bool reads = true;
    {
        const std::lock_guard lock(this->mutex);
        const Instant now = monotonicNow();
        for (const std::string &member : zone) {
            if (member == self) {
                break;
            }
            const auto heard = this->readersLastHeard.find(member);
            reads = reads
                && (heard == this->readersLastHeard.end() || now - heard->second >= readerTimeout);
        }
        const bool behind = this->laggingSince != Instant::max()
            && now - this->laggingSince >= 2 * lagBeforeRequest;
        reads = reads || behind;
    }
    this->reader->setActive(reads);
}

void ViewSynchronizer::handleReport(const std::string &member, const members::RouterReport &report)
{
    const std::uint64_t viewRevision = report.viewRevision;
    const Instant now = monotonicNow();
    std::uint64_t known = 0;
    {
        const std::lock_guard lock(this->mutex);
        if (report.readsStore) {
            this->readersLastHeard[member] = now;
        } else {
            this->readersLastHeard.erase(member);
        }
        known = this->view.revision();
        this->newestPeerRevision = std::max(this->newestPeerRevision, viewRevision);
        if (this->newestPeerRevision <= known) {
            this->laggingSince = Instant::max();
            return;
        }
        this->laggingSince = std::min(this->laggingSince, now);
        // A member that knows as little does not make this process any less behind.
        const bool due = viewRevision > known && now - this->laggingSince >= lagBeforeRequest
            && (this->lastRequested == Instant::min()
                || now - this->lastRequested >= lagBeforeRequest);
        if (!due) {
            return;
        }
        this->lastRequested = now;
    }
    this->hooks.send(member, members::ViewRequest {known});
}

void ViewSynchronizer::sendChanges(const std::string &member, const members::ViewRequest &wanted)
{
    members::ViewChanges news;
    {
        const std::lock_guard lock(this->mutex);
        news.update = this->view.changesAfter(wanted.after);
    }
    this->hooks.send(member, news);
}

void ViewSynchronizer::applyNews(const members::ViewChanges &news)
{
    if (this->applyUpdate(news.update)) {
        this->reader->noteKnownRevision(news.update.revision);
    }
}

void ViewSynchronizer::tick()
{
    const std::lock_guard order(this->publishMutex);
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

std::uint64_t ViewSynchronizer::revision() const
{
    const std::lock_guard lock(this->mutex);
    return this->view.revision();
}

std::shared_ptr<const routing::FleetState> ViewSynchronizer::state() const
{
    const std::lock_guard lock(this->mutex);
    return this->view.state();
}

} // namespace azurespindle::serving
