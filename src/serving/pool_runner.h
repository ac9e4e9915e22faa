#ifndef AZURESPINDLE_SERVING_POOL_RUNNER_H
#define AZURESPINDLE_SERVING_POOL_RUNNER_H

#include "decision/dispatcher.h"

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace azurespindle::serving {

/// Texts of the tokens of a TokensArrived event. Dispatcher sees only their number.
using TokenTexts = std::vector<std::string>;

/// Serializes the events of one pool: runs its dispatcher and executes the effects.
///
/// Any thread may post events. One of them at a time drains the queue, so effects are executed in
/// the order in which they were decided. An event that is posted while an effect is executed is
/// only queued. Thread-safe.
class PoolRunner
{
public:
    /// Executes one effect; \a texts belong to the event that caused it.
    using EffectHandler = std::function<void(PoolRunner &pool, const decision::Effect &effect,
                                             const TokenTexts &texts)>;

    PoolRunner(std::string name, decision::DispatcherOptions options, EffectHandler effectHandler);

    // Commands

    /// Queues an event, and drains the queue unless another thread is doing so.
    void post(decision::Event event, TokenTexts texts = {});

    // Queries

    const std::string &name() const { return this->poolName; }
    decision::DispatcherStatus status() const;
    std::size_t openRequests() const;

private:
    struct QueuedEvent
    {
        decision::Event event;
        TokenTexts texts;
    };

    void drainQueue();

    const std::string poolName;
    const EffectHandler effectHandler;
    mutable std::mutex dispatcherMutex; ///< Guards dispatcher.
    decision::Dispatcher dispatcher;
    std::mutex queueMutex; ///< Guards eventQueue and draining.
    std::deque<QueuedEvent> eventQueue;
    bool draining = false; ///< A thread is draining the queue.
};

} // namespace azurespindle::serving

#endif
