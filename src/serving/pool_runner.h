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

/// Texts of the tokens of a TokensArrived event; the decisions see only their number.
using TokenTexts = std::vector<std::string>;

/// Runs the decisions of one pool for many threads.
///
/// Any thread posts events. One of them at a time drains the queue, so effects are carried out in
/// the order in which they were decided; posting from within an effect only adds to the queue.
class PoolRunner
{
public:
    using EffectHandler = std::function<void(PoolRunner &pool, const decision::Effect &effect,
                                             const TokenTexts &texts)>;

    PoolRunner(std::string name, decision::DispatcherOptions options, EffectHandler effectHandler);

    // Commands

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
    std::mutex queueMutex; ///< Guards the two below.
    std::deque<QueuedEvent> eventQueue;
    bool draining = false;
};

} // namespace azurespindle::serving

#endif
