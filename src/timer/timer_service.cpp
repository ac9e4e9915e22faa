#include "timer/timer_service.h"

#include <algorithm>
#include <utility>

namespace azurespindle::timer {
namespace {

constexpr seconds maxWait {1};

} // namespace

TimerService::~TimerService()
{
    this->stop();
}

void TimerService::subscribe(milliseconds interval, std::function<void()> callback)
{
    this->subscriptions.push_back({interval, std::move(callback), monotonicNow() + interval});
}

void TimerService::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void TimerService::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->wakeCondition.notify_all();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void TimerService::after(milliseconds delay, std::function<void()> callback)
{
    {
        const std::lock_guard lock(this->mutex);
        this->oneShotCallbacks.emplace(monotonicNow() + delay, std::move(callback));
    }
    this->wakeCondition.notify_all();
}

Instant TimerService::nextDueTime() const
{
    Instant next = Instant::max();
    for (const Subscription &subscription : this->subscriptions) {
        next = std::min(next, subscription.dueTime);
    }
    if (!this->oneShotCallbacks.empty()) {
        next = std::min(next, this->oneShotCallbacks.begin()->first);
    }
    return next;
}

void TimerService::runDueCallbacks(std::unique_lock<std::mutex> &lock)
{
    const Instant now = monotonicNow();
    while (!this->oneShotCallbacks.empty() && this->oneShotCallbacks.begin()->first <= now) {
        const std::function<void()> callback = std::move(this->oneShotCallbacks.begin()->second);
        this->oneShotCallbacks.erase(this->oneShotCallbacks.begin());
        lock.unlock();
        callback();
        lock.lock();
    }
    for (Subscription &subscription : this->subscriptions) {
        if (subscription.dueTime > now) {
            continue;
        }
        lock.unlock();
        subscription.callback();
        lock.lock();
        subscription.dueTime
            = std::max(subscription.dueTime + subscription.interval, monotonicNow());
    }
}

void TimerService::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        const Instant next = this->nextDueTime();
        const microseconds wait = next - monotonicNow();
        if (wait.count() > 0) {
            this->wakeCondition.wait_for(lock, std::min<microseconds>(wait, maxWait));
            continue;
        }
        this->runDueCallbacks(lock);
    }
}

} // namespace azurespindle::timer
