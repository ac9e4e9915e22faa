#ifndef AZURESPINDLE_ROUTING_FEED_READER_H
#define AZURESPINDLE_ROUTING_FEED_READER_H

#include "journal/journal.h"
#include "routing/published_view.h"
#include "timer/timer_service.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace azurespindle::routing {

/// How a call to the publishing store ended.
enum class FeedStatus {
    Answered,
    HistoryGone, ///< Changes after the revision asked for are no longer kept: list anew.
    Refused,     ///< Too many calls, or not now; nothing was done.
    Failed,      ///< No whole answer, or one that cannot be read.
};

/// Returns a short text for logs.
const char *name(FeedStatus status);

/// One page of a listing, or the changes after a revision.
struct FeedAnswer
{
    FeedStatus status = FeedStatus::Failed;
    std::string detail; ///< Why it failed, for logs.
    std::vector<PublishedItem> items;
    bool more = false; ///< Of a listing: further pages follow.
    std::uint64_t at = 0;
};

using FeedAnswerHandler = std::function<void(const FeedAnswer &answer)>;

/// The calls that the publishing store offers. Each calls back once, from any thread.
struct FeedCalls
{
    /// Lists what is published behind the key \a after, page by page.
    std::function<void(const std::string &after, const FeedAnswerHandler &handler)> list;
    /// Waits, at most \a wait, for changes after \a revision.
    std::function<void(std::uint64_t revision, milliseconds wait, const FeedAnswerHandler &handler)>
        watch;
};

/// What a reader tells its owner. Called without its lock.
struct FeedHooks
{
    /// \return false if the update leaves a gap, so that all is to be listed anew.
    std::function<bool(const ViewUpdate &update)> onUpdate;
    std::function<void()> onLost;
    /// The store answers again; \a away is how long it had not.
    std::function<void(microseconds away)> onBack;
};

/// Reads the publishing store: lists once, then waits for changes; lists anew when the store's
/// history does not reach back, and keeps trying while it is away.
///
/// One call is under way at a time, and changes that come in bursts are fetched together: the store
/// counts each call.
class FeedReader : public std::enable_shared_from_this<FeedReader>
{
public:
    static constexpr milliseconds watchWait {1'500};
    /// Between two watches, so that changes made together arrive together.
    static constexpr milliseconds gatherTime {120};
    static constexpr milliseconds retryTime {400}; ///< After a call that failed.
    static constexpr milliseconds refusedRetryTime {700};

    FeedReader(FeedCalls calls, FeedHooks hooks, timer::TimerService &timers);

    // Commands

    /// Reads, or pauses, from now on.
    void setActive(bool active);
    /// Notes that everything up to \a revision is known, whoever told it.
    void noteKnown(std::uint64_t revision);

    // Queries

    /// Returns when the store last answered.
    Instant lastAnswer() const;
    bool away() const;
    /// Returns true if it reads, and the store answers.
    bool reads() const;

private:
    void next();
    void listFrom(const std::string &after);
    void onPage(const FeedAnswer &page);
    void onChanges(std::uint64_t after, const FeedAnswer &changes);
    /// Notes how a call ended. \return true if it was answered.
    bool noteStatus(const FeedAnswer &answer);
    void nextAfter(milliseconds delay);

    const FeedCalls calls;
    const FeedHooks hooks;
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
