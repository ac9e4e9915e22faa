#ifndef AZURESPINDLE_SERVING_VIEW_SYNCHRONIZER_H
#define AZURESPINDLE_SERVING_VIEW_SYNCHRONIZER_H

#include "journal/journal.h"
#include "members/messages.h"
#include "routing/published_view.h"
#include "routing/store_watcher.h"
#include "timer/timer_service.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace azurespindle::serving {

struct ViewSynchronizerHooks
{
    /// Something published changed.
    std::function<void(const std::shared_ptr<const routing::FleetState> &state)> onState;
    std::function<void(const std::string &member, const members::Message &message)> send;
    /// Tells the members of the zone what this process read.
    std::function<void(const members::ViewChanges &news)> sendToZone;
};

/// Keeps what is published up to date: from the store, and from peers that know more.
class ViewSynchronizer
{
public:
    static constexpr milliseconds tickInterval {100};
    /// How long this process may know less than a peer before it asks the peer.
    static constexpr milliseconds lagBeforeRequest {250};
    /// A member that reads is counted on for so long after it said so.
    static constexpr milliseconds readerTimeout {900};

    ViewSynchronizer(routing::ItemDecoder read, routing::StoreCalls calls,
                     timer::TimerService &timers, journal::Journal &journal,
                     ViewSynchronizerHooks hooks);

    // Commands

    void start();
    void stop() { this->reader->setActive(false); }
    /// Notes what a member said of its own view.
    void handleReport(const std::string &member, const members::RouterReport &report);
    /// Chooses whether this process reads the store itself: of the members of a zone, the first
    /// of \a zone that gets answers does; the others hear of changes from it.
    /// \param zone names of the members in this zone, in an order that all know alike.
    void electReader(const std::vector<std::string> &zone, const std::string &self);
    void sendChanges(const std::string &member, const members::ViewRequest &wanted);
    void applyNews(const members::ViewChanges &news);
    void tick();

    // Queries

    std::uint64_t revision() const;
    std::shared_ptr<const routing::FleetState> state() const;
    /// Returns true if neither this process nor a member that it hears gets answers.
    bool publisherUnreachable() const;
    bool readsStore() const { return this->reader->isReceiving(); }

private:
    bool applyUpdate(const routing::ViewUpdate &update);
    bool anotherMemberReads(Instant now) const;
    void publish(const std::shared_ptr<const routing::FleetState> &state,
                 std::vector<journal::Entry> entries);

    journal::Journal &journal;
    const ViewSynchronizerHooks hooks;
    mutable std::mutex mutex; ///< Guards the members below, up to the reader.
    routing::PublishedView view;
    std::uint64_t newestPeerRevision = 0; ///< Highest revision that a member knows.
    Instant laggingSince = Instant::max();
    Instant lastRequested = Instant::min();
    std::map<std::string, Instant> readersLastHeard; ///< When members last said that they read.
    std::mutex
        publishMutex; ///< Held while a state is handed on, so that none overtakes a later one.
    std::shared_ptr<routing::StoreWatcher> reader;
};

} // namespace azurespindle::serving

#endif
