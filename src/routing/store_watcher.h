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

/// How a call to the publishing store ended.
enum class StoreCallStatus {
    Ok,
    Compacted, ///< Changes after the revision asked for are no longer kept: list anew.
    Refused,   ///< Too many calls, or not now; nothing was done.
    Failed,    ///< No whole answer, or one that cannot be read.
};

/// Returns a short text for logs.
const char *name(StoreCallStatus status);

/// One page of a listing, or the changes after a revision.
struct StoreResponse
{
    StoreCallStatus status = StoreCallStatus::Failed;
    std::string detail; ///< Why it failed, for logs.
    std::vector<PublishedItem> items;
    bool hasMore = false; ///< Of a listing: further pages follow.
    std::uint64_t revision = 0;
};

using StoreResponseHandler = std::function<void(const StoreResponse &answer)>;

/// The calls that the publishing store offers. Each calls back once, from any thread.
struct StoreCalls
{
    /// Lists what is published behind the key \a after, page by page.
    std::function<void(const std::string &after, const StoreResponseHandler &handler)> list;
    /// Waits, at most \a wait, for changes after \a revision.
    std::function<void(std::uint64_t revision, milliseconds wait,
                       const StoreResponseHandler &handler)>
        watch;
};

/// What a reader tells its owner. Called without its lock.
struct StoreWatcherHooks
{
    /// \return false if the update leaves a gap, so that all is to be listed anew.
    std::function<bool(const ViewUpdate &update)> onUpdate;
    std::function<void()> onUnavailable;
    /// The store answers again; \a away is how long it had not.
    std::function<void(microseconds away)> onAvailable;
};

/// Reads the publishing store: lists once, then waits for changes; lists anew when the store's
/// history does not reach back, and keeps trying while it is away.
///
/// One call is under way at a time, and changes that come in bursts are fetched together: the store
/// counts each call.
class StoreWatcher : public std::enable_shared_from_this<StoreWatcher>
{
public:
    static constexpr milliseconds watchWait {1'500};
    /// Between two watches, so that changes made together arrive together.
    static constexpr milliseconds gatherTime {120};
    static constexpr milliseconds retryTime {400}; ///< After a call that failed.
    static constexpr milliseconds refusedRetryTime {700};

    StoreWatcher(StoreCalls calls, StoreWatcherHooks hooks, timer::TimerService &timers);

    // Commands

    /// Reads, or pauses, from now on.
    void setActive(bool active);
    /// Notes that everything up to \a revision is known, whoever told it.
    void noteKnownRevision(std::uint64_t revision);

    // Queries

    /// Returns when the store last answered.
    Instant lastResponseTime() const;
    bool storeUnavailable() const;
    /// Returns true if it reads, and the store answers.
    bool isReceiving() const;

private:
    void next();
    void listFrom(const std::string &after);
    void onPage(const StoreResponse &page);
    void onChanges(std::uint64_t after, const StoreResponse &changes);
    /// Notes how a call ended. \return true if it was answered.
    bool noteStatus(const StoreResponse &answer);
    void nextAfter(milliseconds delay);

    const StoreCalls calls;
    const StoreWatcherHooks hooks;
    timer::TimerService &timers;
    mutable std::mutex mutex; ///< Guards the members below.
    bool active = false;
    bool calling = false;
    bool listed = false;
    bool lost = false;
    std::uint64_t known = 0;
    Instant answered = Instant::min();
    Instant lostAt;
    ViewUpdate listing; ///< Pages read so far.
};

} // namespace azurespindle::routing

#endif
