#ifndef AZURESPINDLE_SERVING_VIEW_KEEPER_H
#define AZURESPINDLE_SERVING_VIEW_KEEPER_H

#include "journal/journal.h"
#include "members/messages.h"
#include "routing/feed_reader.h"
#include "routing/published_view.h"
#include "timer/timer_service.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace azurespindle::serving {

struct ViewHooks
{
    /// Something published changed.
    std::function<void(const std::shared_ptr<const routing::FleetState> &state)> onState;
    std::function<void(const std::string &member, const members::Message &message)> send;
};

/// Keeps what is published up to date: from the store, and from peers that know more.
class ViewKeeper
{
public:
    static constexpr milliseconds tickInterval {100};
    /// How long this process may know less than a peer before it asks the peer.
    static constexpr milliseconds behindTime {250};

    ViewKeeper(routing::ReadItem read, routing::FeedCalls calls, timer::TimerService &timers,
               journal::Journal &journal, ViewHooks hooks);

    // Commands

    void start();
    void stop() { this->reader->setActive(false); }
    /// Reads the store itself, or leaves that to others and hears of changes from them.
    void setReading(bool reads) { this->reader->setActive(reads); }
    /// Notes up to which revision a member knows what is published.
    void noteMember(const std::string &member, std::uint64_t viewAt);
    void answer(const std::string &member, const members::ViewWanted &wanted);
    void take(const members::ViewNews &news);
    void tick();

    // Queries

    std::uint64_t at() const;
    std::shared_ptr<const routing::FleetState> state() const;
    bool publisherAway() const { return this->reader->away(); }

private:
    bool update(const routing::ViewUpdate &update);
    void publish(const std::shared_ptr<const routing::FleetState> &state,
                 std::vector<journal::Entry> entries);

    journal::Journal &journal;
    const ViewHooks hooks;
    mutable std::mutex mutex; ///< Guards the members below, up to the reader.
    routing::PublishedView view;
    Instant behindSince = Instant::max();
    Instant asked = Instant::min();
    std::mutex publishing; ///< Held while a state is handed on, so that none overtakes a later one.
    std::shared_ptr<routing::FeedReader> reader;
};

} // namespace azurespindle::serving

#endif
