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
    this->wake.notify_all();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void TimerService::after(milliseconds delay, std::function<void()> callback)
{
    {
        const std::lock_guard lock(this->mutex);
        this->once.emplace(monotonicNow() + delay, std::move(callback));
    }
    this->wake.notify_all();
}

Instant TimerService::nextDue() const
{
    Instant next = Instant::max();
    for (const Subscription &each : this->subscriptions) {
        next = std::min(next, each.due);
    }
    if (!this->once.empty()) {
        next = std::min(next, this->once.begin()->first);
    }
    return next;
}

void TimerService::runDue(std::unique_lock<std::mutex> &lock)
{
    const Instant now = monotonicNow();
    while (!this->once.empty() && this->once.begin()->first <= now) {
        const std::function<void()> callback = std::move(this->once.begin()->second);
        this->once.erase(this->once.begin());
        lock.unlock();
        callback();
        lock.lock();
    }
    for (Subscription &each : this->subscriptions) {
        if (each.due > now) {
            continue;
        }
        lock.unlock();
        each.callback();
        lock.lock();
        each.due = std::max(each.due + each.interval, monotonicNow());
    }
}

void TimerService::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        const Instant next = this->nextDue();
        const microseconds wait = next - monotonicNow();
        if (wait.count() > 0) {
            this->wake.wait_for(lock, std::min<microseconds>(wait, maxWait));
            continue;
        }
        this->runDue(lock);
    }
}

} // namespace azurespindle::timer
