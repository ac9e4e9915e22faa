#ifndef AZURESPINDLE_ROUTING_STORE_WATCHER_H
#define AZURESPINDLE_ROUTING_STORE_WATCHER_H

#include "journal/journal.h"
#include "routing/published_view.h"
#include "timer/timer_service.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace azurespindle::routing {

/// Outcome of a call to the publishing store.
enum class StoreCallStatus {
    Ok,
    Compacted, ///< The store no longer keeps the changes after the requested revision.
    Refused,   ///< The store rate-limited the call or is temporarily unavailable.
    Failed,    ///< No complete response arrived, or it could not be parsed.
};

/// Returns the name of \a status for logs.
const char *name(StoreCallStatus status);

/// One page of a listing, or the changes after a revision.
struct StoreResponse
{
    StoreCallStatus status = StoreCallStatus::Failed;
    std::string detail; ///< Cause of a failure, for logs.
    std::vector<PublishedItem> items;
    bool hasMore = false;       ///< True if the listing has further pages.
    std::uint64_t revision = 0; ///< Number of the revision that the response reflects.
    std::size_t bytes = 0;      ///< Size of the response's body.
    /// Era that the response states, whatever its status; nothing if it states none.
    std::optional<std::uint64_t> era;
    bool eraUnreadable = false; ///< True if it states an era that is no number, or several.
};

using StoreResponseHandler = std::function<void(const StoreResponse &response)>;

/// The calls that the publishing store offers. Each calls its handler once, from any thread.
struct StoreCalls
{
    /// Lists a page of the items whose keys follow \a after, in the order of keys.
    std::function<void(const std::string &after, const StoreResponseHandler &handler)> list;
    /// Waits for changes after the revision with this number, for up to \a timeout.
    std::function<void(std::uint64_t revision, milliseconds timeout,
                       const StoreResponseHandler &handler)>
        watch;
};

/// Callbacks of a StoreWatcher. They are called without its lock held.
struct StoreWatcherHooks
{
    /// Applies changes. \return false if changes are missing before \a update, which makes the
    /// watcher list all items again.
    /// \param bytes size of the responses that brought the update.
    std::function<bool(const ViewUpdate &update, std::size_t bytes)> onUpdate;
    /// Called when a call fails after one that succeeded.
    std::function<void()> onUnavailable;
    /// Called when a call succeeds after one that failed. \a outage is the time between the two.
    std::function<void(microseconds outage)> onAvailable;
    /// Called when a response of an earlier era than the known one is dropped.
    std::function<void(const StoreRevision &known, std::uint64_t era)> onOutdatedResponse {};
    /// Called when a response states no readable era, after one that was not unreadable.
    std::function<void()> onUnreadableEra {};
};

/// A client that follows the publishing store: it lists all items once and then watches for
/// changes.
///
/// It lists all items again if the store no longer keeps the changes since the last known revision,
/// or has begun a new era, and retries while the store is unavailable. A response that states no
/// era counts as one of the known era. As the store counts calls, at most one is in flight, and
/// changes of a burst are fetched together.
class StoreWatcher : public std::enable_shared_from_this<StoreWatcher>
{
public:
    /// Time for which the store may hold a watch call open without changes.
    static constexpr milliseconds watchTimeout {1'500};
    /// Delay between a watch that returned changes and the next one, so that changes made in quick
    /// succession are returned together.
    static constexpr milliseconds coalescingDelay {120};
    static constexpr milliseconds retryDelay {400};        ///< Delay after a failed call.
    static constexpr milliseconds refusedRetryDelay {700}; ///< Delay after a refused call.

    StoreWatcher(StoreCalls calls, StoreWatcherHooks hooks, timer::TimerService &timers);

    // Commands

    /// Starts or pauses the calls to the store.
    void setActive(bool active);
    /// Records that all changes up to \a revision are known, whether from the store or a peer.
    void noteKnownRevision(const StoreRevision &revision);

    // Queries

    /// Returns the time of the store's last successful response.
    Instant lastResponseTime() const;
    /// Returns true if the watcher is active and its last call failed.
    bool storeUnavailable() const;
    /// Returns true if the watcher is active and its last call succeeded.
    bool isReceiving() const;

private:
    void callNext();
    void listFrom(const std::string &after);
    void onPage(const StoreResponse &page);
    /// Takes note of the era that a response to a call in the era \a asked states.
    /// \return true if the response belongs to that era; otherwise it is dropped.
    bool belongsTo(std::uint64_t asked, const StoreResponse &response);
    void onChanges(const StoreRevision &after, const StoreResponse &changes);
    /// Records the outcome of a call and calls the hooks if the store's availability changed.
    /// \return true if the call succeeded.
    bool recordOutcome(const StoreResponse &response);
    void scheduleNext(milliseconds delay);

    const StoreCalls calls;
    const StoreWatcherHooks hooks;
    timer::TimerService &timers;
    mutable std::mutex mutex; ///< Guards the members below.
    bool active = false;
    bool callPending = false;    ///< True while a call is in flight or scheduled.
    bool listed = false;         ///< True if the next call is a watch, false if it is a listing.
    bool unavailable = false;    ///< True if the last call failed.
    StoreRevision knownRevision; ///< Revision up to which all changes are known.
    Instant lastResponse = Instant::min();
    Instant unavailableSince;
    bool eraUnreadable = false;   ///< Whether the last response's era was unreadable.
    std::uint64_t newestEra = 0;  ///< Highest era that a response or a peer stated.
    ViewUpdate listing;           ///< Pages of the current listing that were received so far.
    std::size_t listingBytes = 0; ///< Size of these pages.
};

} // namespace azurespindle::routing

#endif
