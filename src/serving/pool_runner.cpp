#include "serving/pool_runner.h"

#include <utility>

namespace azurespindle::serving {

PoolRunner::PoolRunner(std::string name, decision::DispatcherOptions options, Execute execute)
    : poolName(std::move(name)), execute(std::move(execute)), dispatcher(std::move(options))
{ }

void PoolRunner::post(decision::Event event, TokenTexts texts)
{
    {
        const std::lock_guard lock(this->inboxMutex);
        this->inbox.push_back({std::move(event), std::move(texts)});
        if (std::exchange(this->draining, true)) {
            return;
        }
    }
    this->drain();
}

void PoolRunner::drain()
{
    while (true) {
        Posted next;
        {
            const std::lock_guard lock(this->inboxMutex);
            if (this->inbox.empty()) {
                this->draining = false;
                return;
            }
            next = std::move(this->inbox.front());
            this->inbox.pop_front();
        }
        decision::Effects effects;
        {
            const std::lock_guard lock(this->dispatcherMutex);
            effects = this->dispatcher.handle(next.event, monotonicNow());
        }
        for (const decision::Effect &effect : effects) {
            this->execute(*this, effect, next.texts);
        }
    }
}

decision::DispatcherStatus PoolRunner::status() const
{
    const std::lock_guard lock(this->dispatcherMutex);
    return this->dispatcher.status();
}

std::size_t PoolRunner::openRequests() const
{
    const std::lock_guard lock(this->dispatcherMutex);
    return this->dispatcher.openRequests();
}

} // namespace azurespindle::serving
