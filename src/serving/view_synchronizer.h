#ifndef AZURESPINDLE_SERVING_VIEW_SYNCHRONIZER_H
#define AZURESPINDLE_SERVING_VIEW_SYNCHRONIZER_H

#include "journal/journal.h"
#include "members/messages.h"
#include "metrics/registry.h"
#include "routing/published_view.h"
#include "routing/store_watcher.h"
#include "timer/timer_service.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace azurespindle::serving {

/// Callbacks of ViewSynchronizer to the process that owns it.
struct ViewSynchronizerHooks
{
    /// The published state changed. Called in the order of the changes.
    std::function<void(const std::shared_ptr<const routing::FleetState> &state)> onState;
    /// Sends a message to one member.
    std::function<void(const std::string &member, const members::Message &message)> send;
    /// Sends changes that this process read from the store to the other members of its zone.
    std::function<void(const members::ViewChanges &changes)> sendToZone;
};

/// Where an update of the published state came from.
struct UpdateOrigin
{
    std::string source;    ///< Name of the member that sent it, or "store".
    std::size_t bytes = 0; ///< Size of the update as it was received.
};

/// Keeps this process's view of the published configuration and upstreams up to date.
///
/// One process of a zone watches the store and sends the changes to the others, large values as
/// differences. A process that lags behind a peer requests the missing changes from it, one answer
/// at a time, and watches the store itself if it gets none. What it reads for itself it does not
/// send. Thread-safe.
class ViewSynchronizer
{
public:
    static constexpr milliseconds tickInterval {100};
    /// How long this process may lag behind a peer before it requests the changes from it.
    static constexpr milliseconds lagBeforeRequest {250};
    /// How long the answer to a request may take before another one is sent.
    static constexpr milliseconds answerTimeout {1'000};
    /// A member counts as a reader of the store for this long after it last reported that it is
    /// one.
    static constexpr milliseconds readerTimeout {900};
    /// Size from which an update is recorded in the journal when it is received or sent.
    static constexpr std::size_t largeUpdateBytes = 8'192;

    ViewSynchronizer(routing::ItemDecoder decoder, routing::StoreCalls calls,
                     timer::TimerService &timers, metrics::Registry &registry,
                     journal::Journal &journal, ViewSynchronizerHooks hooks);

    // Commands

    /// Starts watching the store.
    void start();
    /// Stops watching the store.
    void stop() { this->watcher->setActive(false); }
    /// Records the view revision of a member and whether it watches the store, and requests
    /// changes from it if this process lags behind.
    void handleReport(const std::string &member, const members::ViewStatus &report);
    /// Starts or stops watching the store: the first of \a zoneMembers that gets responses from the
    /// store watches it, and so does a process that has been lagging for 2 * lagBeforeRequest.
    /// \param zoneMembers names of the members in this zone, in the same order at all members.
    /// \param self name of this process.
    void updateReaderRole(const std::vector<std::string> &zoneMembers, const std::string &self);
    /// Sends \a member what changed after the revision that it states.
    void sendChanges(const std::string &member, const members::ViewRequest &request);
    /// Applies changes that a peer sent.
    void applyChanges(const members::ViewChanges &changes, const UpdateOrigin &origin);
    /// Removes records that have expired.
    void tick();

    // Queries

    /// Returns the revision up to which this process knows what is published.
    routing::StoreRevision revision() const;
    std::shared_ptr<const routing::FleetState> state() const;
    /// Returns true if neither this process nor a member that it hears from gets responses from the
    /// store.
    bool storeUnavailable() const;
    /// Returns true if this process watches the store and gets responses.
    bool readsStore() const { return this->watcher->isReceiving(); }

private:
    /// \return false if the update leaves a gap after what is known.
    bool applyUpdate(const routing::ViewUpdate &update, const UpdateOrigin &origin);
    /// Records an update in the journal if it is large.
    void journalReceived(const routing::ViewUpdate &update, const UpdateOrigin &origin,
                         const char *outcome, microseconds applyTime);
    void journalSent(const routing::ViewUpdate &update, const std::string &to);
    /// Applies an update from the store, and sends what it changed to the zone unless another
    /// member reads for it. \return false if the update leaves a gap after what is known.
    bool applyFromStore(const routing::ViewUpdate &update, std::size_t bytes);
    /// Requests the changes after a revision, unless an answer to a request is on its way.
    void requestChanges(const std::string &member, const routing::StoreRevision &after);
    bool anotherMemberReads(Instant now) const;
    void publish(const std::shared_ptr<const routing::FleetState> &state,
                 std::vector<journal::Entry> entries);

    metrics::Registry &registry;
    journal::Journal &journal;
    const ViewSynchronizerHooks hooks;
    mutable std::mutex mutex; ///< Guards the members below, up to publishMutex.
    routing::PublishedView view;
    routing::StoreRevision newestPeerRevision; ///< Newest revision that a member reported.
    Instant laggingSince = Instant::max();     ///< Instant::max() if no peer knows more.
    /// False if another member reads the store for the zone, although this process may read it,
    /// too.
    bool readsForZone = true;
    std::optional<Instant> requestedAt; ///< When changes were requested that have not arrived.
    /// When members last reported that they watch the store, by name.
    std::map<std::string, Instant> readersLastHeard;
    /// Held from applying changes until ViewSynchronizerHooks::onState returns, so that states are
    /// published in order.
    std::mutex publishMutex;
    std::shared_ptr<routing::StoreWatcher> watcher;
};

} // namespace azurespindle::serving

#endif
