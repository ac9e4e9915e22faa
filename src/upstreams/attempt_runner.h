#ifndef AZURESPINDLE_UPSTREAMS_ATTEMPT_RUNNER_H
#define AZURESPINDLE_UPSTREAMS_ATTEMPT_RUNNER_H

#include "decision/events.h"
#include "http/client.h"
#include "serving/pool_runner.h"
#include "serving/session.h"
#include "settings/settings.h"
#include "timer/timer_service.h"

#include <memory>
#include <mutex>
#include <random>
#include <vector>

namespace azurespindle::upstreams {

/// Carries out attempts: sends requests to upstreams and turns what comes back into events.
class AttemptRunner
{
public:
    AttemptRunner(const settings::UpstreamTimeouts &timeouts, std::size_t threads,
                  timer::TimerService &timers);

    // Commands

    /// Sends the request of \a session to the upstream at \a address, unless the lease ran out.
    void start(serving::PoolRunner &pool, const serving::SessionPtr &session,
               const decision::StartAttempt &start, const settings::Address &address);
    /// Asks for the rest of a generation, after the stated delay.
    void resume(serving::PoolRunner &pool, const serving::SessionPtr &session,
                const decision::ResumeAttempt &resume, const settings::Address &address);
    /// Ends all transfers; no event is posted any more once this returns.
    void stop();
    /// Gives up the transfer of \a session, and the generation unless it is to be kept.
    void cancel(const serving::SessionPtr &session, const decision::CancelAttempt &cancel,
                const settings::Address &address);

private:
    struct Attempt;

    http::Client &clientFor(decision::RequestId id);
    void stream(const std::shared_ptr<Attempt> &attempt, http::ClientRequest request);
    void call(serving::PoolRunner &pool, const serving::SessionPtr &session,
              const decision::StartAttempt &start, const settings::Address &address);
    std::uint64_t random();

    settings::UpstreamTimeouts timeouts;
    timer::TimerService &timers;
    std::vector<std::unique_ptr<http::Client>> clients;
    std::mutex mutex; ///< Guards generator.
    std::mt19937_64 generator;
};

} // namespace azurespindle::upstreams

#endif
