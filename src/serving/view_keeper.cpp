#include "serving/view_keeper.h"

#include <utility>

namespace azurespindle::serving {

ViewKeeper::ViewKeeper(routing::ReadItem read, routing::FeedCalls calls,
                       timer::TimerService &timers, journal::Journal &journal, ViewHooks hooks)
    : journal(journal), hooks(std::move(hooks)), view(std::move(read)),
      reader(std::make_shared<routing::FeedReader>(
          std::move(calls),
          routing::FeedHooks {
              [this](const routing::ViewUpdate &update) { return this->update(update); },
              [this] { this->journal.record({journal::EventId::PublisherLost, {}}); },
              [this] {
                  this->journal.record({journal::EventId::PublisherBack, {}});
                  const std::lock_guard lock(this->mutex);
                  this->view.noteOutageOver(monotonicNow());
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
        taken = this->view.take(update, monotonicNow());
        after = this->view.state();
        entries = this->view.takeEntries();
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

void ViewKeeper::noteMember(const std::string &member, std::uint64_t viewAt)
{
    const Instant now = monotonicNow();
    std::uint64_t known = 0;
    {
        const std::lock_guard lock(this->mutex);
        known = this->view.at();
        if (viewAt <= known) {
            this->behindSince = Instant::max();
            return;
        }
        this->behindSince = std::min(this->behindSince, now);
        const bool due = now - this->behindSince >= behindTime
            && (this->asked == Instant::min() || now - this->asked >= behindTime);
        if (!due) {
            return;
        }
        this->asked = now;
    }
    this->hooks.send(member, members::ViewWanted {known});
}

void ViewKeeper::answer(const std::string &member, const members::ViewWanted &wanted)
{
    members::ViewNews news;
    {
        const std::lock_guard lock(this->mutex);
        news.update = this->view.changesAfter(wanted.after);
    }
    this->hooks.send(member, news);
}

void ViewKeeper::take(const members::ViewNews &news)
{
    if (this->update(news.update)) {
        this->reader->noteKnown(news.update.at);
    }
}

void ViewKeeper::tick()
{
    const std::lock_guard order(this->publishing);
    std::shared_ptr<const routing::FleetState> changed;
    std::vector<journal::Entry> entries;
    {
        const std::lock_guard lock(this->mutex);
        if (this->view.passTime(monotonicNow())) {
            changed = this->view.state();
            entries = this->view.takeEntries();
        }
    }
    if (changed != nullptr) {
        this->publish(changed, std::move(entries));
    }
}

std::uint64_t ViewKeeper::at() const
{
    const std::lock_guard lock(this->mutex);
    return this->view.at();
}

std::shared_ptr<const routing::FleetState> ViewKeeper::state() const
{
    const std::lock_guard lock(this->mutex);
    return this->view.state();
}

} // namespace azurespindle::serving
