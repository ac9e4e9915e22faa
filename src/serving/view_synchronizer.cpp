#include "serving/view_synchronizer.h"

#include <algorithm>
#include <utility>

namespace azurespindle::serving {
namespace {

/// Shortest outage of the store after which records may have expired: upstreams renew them at
/// shorter intervals.
constexpr milliseconds minOutageForExpiry {1'500};
/// UpdateOrigin::source of an update that this process read itself.
constexpr const char *storeSource = "store";

/// Returns the size of the values and differences in \a update.
std::size_t valueBytes(const routing::ViewUpdate &update)
{
    std::size_t bytes = 0;
    for (const routing::PublishedItem &item : update.items) {
        bytes += item.value.size() + (item.delta ? item.delta->text.inserted.size() : 0);
    }
    return bytes;
}

} // namespace

ViewSynchronizer::ViewSynchronizer(routing::ItemDecoder decoder, routing::StoreCalls calls,
                                   timer::TimerService &timers, metrics::Registry &registry,
                                   journal::Journal &journal, ViewSynchronizerHooks hooks)
    : registry(registry), journal(journal), hooks(std::move(hooks)), view(std::move(decoder)),
      watcher(std::make_shared<routing::StoreWatcher>(
          std::move(calls),
          routing::StoreWatcherHooks {
              [this](const routing::ViewUpdate &update, std::size_t bytes) {
                  return this->applyFromStore(update, bytes);
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
              },
              [this](const routing::StoreRevision &known, std::uint64_t era) {
                  this->journal.record({journal::EventId::StoreResponseOutdated,
                                        {{"known", toText(known)}, {"era", std::to_string(era)}}});
              },
              [this] {
                  this->journal.record({journal::EventId::StoreEraUnreadable, {}});
              }},
          timers))
{ }

void ViewSynchronizer::start()
{
    this->watcher->setActive(true);
}

bool ViewSynchronizer::applyUpdate(const routing::ViewUpdate &update, const UpdateOrigin &origin)
{
    const std::lock_guard order(this->publishMutex);
    bool applied = false;
    bool known = false;
    const Instant startedAt = monotonicNow();
    std::shared_ptr<const routing::FleetState> before;
    std::shared_ptr<const routing::FleetState> after;
    std::vector<journal::Entry> entries;
    {
        const std::lock_guard lock(this->mutex);
        before = this->view.state();
        known = !update.items.empty() && update.revision <= this->view.revision();
        applied = this->view.applyUpdate(update, startedAt);
        after = this->view.state();
        entries = this->view.takeJournalEntries();
    }
    this->registry.count(metrics::Counter::ViewBytesReceived, origin.bytes);
    this->registry.count(metrics::Counter::ViewBytesKnown, known ? origin.bytes : 0);
    this->journalReceived(update, origin, known ? "known" : (applied ? "applied" : "gap"),
                          monotonicNow() - startedAt);
    if (after != before) {
        this->publish(after, std::move(entries));
    }
    return applied;
}

bool ViewSynchronizer::applyFromStore(const routing::ViewUpdate &update, std::size_t bytes)
{
    const routing::StoreRevision before = this->revision();
    if (!this->applyUpdate(update, {storeSource, bytes})) {
        return false;
    }
    members::ViewChanges changes;
    {
        const std::lock_guard lock(this->mutex);
        // After the first listing of this process the members know more than it could tell.
        if (!this->readsForZone || before == routing::StoreRevision()) {
            return true;
        }
        changes.update
            = update.isSnapshot ? this->view.changesAfter(before) : this->view.forPeers(update);
    }
    if (!changes.update.items.empty()) {
        this->journalSent(changes.update, "zone");
        this->hooks.sendToZone(changes);
    }
    return true;
}

void ViewSynchronizer::journalReceived(const routing::ViewUpdate &update,
                                       const UpdateOrigin &origin, const char *outcome,
                                       microseconds applyTime)
{
    if (origin.bytes < largeUpdateBytes) {
        return;
    }
    this->journal.record({journal::EventId::ViewUpdateReceived,
                          {{"source", origin.source},
                           {"outcome", outcome},
                           {"since", toText(update.sinceRevision)},
                           {"revision", toText(update.revision)},
                           {"snapshot", update.isSnapshot ? "yes" : "no"},
                           {"items", std::to_string(update.items.size())},
                           {"bytes", std::to_string(origin.bytes)},
                           {"valueBytes", std::to_string(valueBytes(update))},
                           {"applyMs", std::to_string(applyTime.count() / 1'000)}}});
}

void ViewSynchronizer::journalSent(const routing::ViewUpdate &update, const std::string &to)
{
    const std::size_t bytes = valueBytes(update);
    if (bytes < largeUpdateBytes) {
        return;
    }
    this->journal.record({journal::EventId::ViewUpdateSent,
                          {{"to", to},
                           {"since", toText(update.sinceRevision)},
                           {"revision", toText(update.revision)},
                           {"snapshot", update.isSnapshot ? "yes" : "no"},
                           {"items", std::to_string(update.items.size())},
                           {"valueBytes", std::to_string(bytes)}}});
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

bool ViewSynchronizer::storeUnavailable() const
{
    const std::lock_guard lock(this->mutex);
    return this->watcher->storeUnavailable() && !this->anotherMemberReads(monotonicNow());
}

void ViewSynchronizer::updateReaderRole(const std::vector<std::string> &zoneMembers,
                                        const std::string &self)
{
    bool reads = true;
    {
        const std::lock_guard lock(this->mutex);
        const Instant now = monotonicNow();
        for (const std::string &member : zoneMembers) {
            if (member == self) {
                break;
            }
            const auto heard = this->readersLastHeard.find(member);
            reads = reads
                && (heard == this->readersLastHeard.end() || now - heard->second >= readerTimeout);
        }
        this->readsForZone = reads;
        const bool lagging = this->laggingSince != Instant::max()
            && now - this->laggingSince >= 2 * lagBeforeRequest;
        reads = reads || lagging;
    }
    this->watcher->setActive(reads);
}

void ViewSynchronizer::handleReport(const std::string &member, const members::ViewStatus &report)
{
    const routing::StoreRevision peerRevision = report.revision;
    const Instant now = monotonicNow();
    routing::StoreRevision ownRevision;
    {
        const std::lock_guard lock(this->mutex);
        ownRevision = this->view.revision();
        // A reader that is in an earlier era has nothing to tell that would be believed here.
        if (report.readsStore && peerRevision.era >= ownRevision.era) {
            this->readersLastHeard[member] = now;
        } else {
            this->readersLastHeard.erase(member);
        }
        this->newestPeerRevision = std::max(this->newestPeerRevision, peerRevision);
        if (this->newestPeerRevision <= ownRevision) {
            this->laggingSince = Instant::max();
            return;
        }
        this->laggingSince = std::min(this->laggingSince, now);
        // The lag is measured against the most recent peer, so a report of a peer that lags as well
        // does not end it.
        if (peerRevision <= ownRevision || now - this->laggingSince < lagBeforeRequest) {
            return;
        }
    }
    this->requestChanges(member, ownRevision);
}

void ViewSynchronizer::requestChanges(const std::string &member,
                                      const routing::StoreRevision &after)
{
    {
        const std::lock_guard lock(this->mutex);
        const Instant now = monotonicNow();
        // Another answer would only take its turn behind the one that is on its way.
        if (this->requestedAt && now - *this->requestedAt < answerTimeout) {
            return;
        }
        this->requestedAt = now;
    }
    this->registry.count(metrics::Counter::ViewRequests);
    this->journal.record(
        {journal::EventId::ViewUpdateRequested, {{"member", member}, {"revision", toText(after)}}});
    this->hooks.send(member, members::ViewRequest {after});
}

void ViewSynchronizer::sendChanges(const std::string &member, const members::ViewRequest &request)
{
    members::ViewChanges changes;
    {
        const std::lock_guard lock(this->mutex);
        changes.update = this->view.changesAfter(request.after);
    }
    this->journalSent(changes.update, member);
    this->hooks.send(member, changes);
}

void ViewSynchronizer::applyChanges(const members::ViewChanges &changes, const UpdateOrigin &origin)
{
    const routing::ViewUpdate &update = changes.update;
    const bool applied = this->applyUpdate(update, origin);
    const routing::StoreRevision known = this->revision();
    {
        const std::lock_guard lock(this->mutex);
        if (!applied || known >= update.revision) {
            this->requestedAt.reset();
        }
    }
    if (applied) {
        this->watcher->noteKnownRevision(update.revision);
        return;
    }
    // Without a gap, a difference does not fit what is known here: only a snapshot helps.
    const bool hasGap = update.sinceRevision > known;
    this->requestChanges(origin.source, hasGap ? known : routing::StoreRevision());
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

routing::StoreRevision ViewSynchronizer::revision() const
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
