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

/// Timer that runs periodic and one-shot callbacks on its own thread.
///
/// A periodic callback that is late, because the process was paused or another callback took long,
/// runs once, not once for each missed interval. Callbacks must depend on the current time, not on
/// how often they have run.
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

    /// Adds a callback that runs once per \a interval. Must be called before start().
    void subscribe(milliseconds interval, std::function<void()> callback);
    /// Runs \a callback once after \a delay. May be called at any time and from any thread.
    void after(milliseconds delay, std::function<void()> callback);
    void start();
    /// Stops the thread and returns when no callback is running. Callbacks that are not yet due are
    /// dropped.
    void stop();

private:
    struct Subscription
    {
        milliseconds interval;
        std::function<void()> callback;
        Instant dueTime;
    };

    void run();
    void runDueCallbacks(std::unique_lock<std::mutex> &lock);
    Instant nextDueTime() const;

    std::vector<Subscription> subscriptions;
    std::multimap<Instant, std::function<void()>> oneShotCallbacks; // By due time.
    std::mutex mutex;
    std::condition_variable wakeCondition;
    bool stopping = false;
    std::thread thread;
};

} // namespace azurespindle::timer

#endif
