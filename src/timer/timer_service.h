#ifndef AZURESPINDLE_TIMER_TIMER_SERVICE_H
#define AZURESPINDLE_TIMER_TIMER_SERVICE_H

#include "base/time_types.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace azurespindle::timer {

/// Calls subscribers at fixed intervals, on one thread of its own.
///
/// A subscriber that is called late (the process was paused, a call took long) is called once,
/// not once for each missed interval: what it does depends on the time it reads, not on a count.
///
///     TimerService timers;
///     timers.subscribe(milliseconds(50), [&] { runner.tick(); });
///     timers.start();
class TimerService
{
public:
    TimerService() = default;
    ~TimerService();
    TimerService(const TimerService &) = delete;
    TimerService &operator=(const TimerService &) = delete;

    // Commands

    /// Adds a subscriber; to be called before start().
    void subscribe(milliseconds interval, std::function<void()> callback);
    /// Calls \a callback once, after \a delay; may be called at any time.
    void after(milliseconds delay, std::function<void()> callback);
    void start();
    /// Returns when no subscriber is being called any more.
    void stop();

private:
    struct Subscription
    {
        milliseconds interval;
        std::function<void()> callback;
        Instant due;
    };

    void run();
    void runDue(std::unique_lock<std::mutex> &lock);
    Instant nextDue() const;

    std::vector<Subscription> subscriptions;
    std::multimap<Instant, std::function<void()>> once;
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    std::thread thread;
};

} // namespace azurespindle::timer

#endif
