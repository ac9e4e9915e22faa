#include "serving/pool_runner.h"

#include <utility>

namespace azurespindle::serving {

PoolRunner::PoolRunner(std::string name, decision::DispatcherOptions options,
                       EffectHandler effectHandler)
    : poolName(std::move(name)), effectHandler(std::move(effectHandler)),
      dispatcher(std::move(options))
{ }

void PoolRunner::post(decision::Event event, TokenTexts texts)
{
    {
        const std::lock_guard lock(this->queueMutex);
        this->eventQueue.push_back({std::move(event), std::move(texts)});
        if (std::exchange(this->draining, true)) {
            return;
        }
    }
    this->drainQueue();
}

void PoolRunner::drainQueue()
{
    while (true) {
        QueuedEvent next;
        {
            const std::lock_guard lock(this->queueMutex);
            if (this->eventQueue.empty()) {
                this->draining = false;
                return;
            }
            next = std::move(this->eventQueue.front());
            this->eventQueue.pop_front();
        }
        decision::Effects effects;
        {
            const std::lock_guard lock(this->dispatcherMutex);
            effects = this->dispatcher.handle(next.event, monotonicNow());
        }
        for (const decision::Effect &effect : effects) {
            this->effectHandler(*this, effect, next.texts);
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
