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

/// Runs attempts: sends requests to upstreams and posts their responses as events to the pool.
class AttemptRunner
{
public:
    /// \param threads number of HTTP clients, each with a thread of its own.
    AttemptRunner(const settings::UpstreamTimeouts &timeouts, std::size_t threads,
                  timer::TimerService &timers);

    // Commands

    /// Sends the request of \a session to the upstream at \a address. If the lease has expired, it
    /// posts AttemptFailed instead.
    void start(serving::PoolRunner &pool, const serving::SessionPtr &session,
               const decision::StartAttempt &start, const settings::Address &address);
    /// Requests the rest of a generation after ResumeAttempt::delay.
    void resume(serving::PoolRunner &pool, const serving::SessionPtr &session,
                const decision::ResumeAttempt &resume, const settings::Address &address);
    /// Aborts all transfers. No event is posted after this returns.
    void stop();
    /// Aborts the transfer of \a session, and deletes the generation on the upstream unless
    /// CancelAttempt::keep is set.
    void cancel(const serving::SessionPtr &session, const decision::CancelAttempt &cancel,
                const settings::Address &address);

private:
    struct Attempt;

    http::Client &clientFor(decision::RequestId id);
    void startStream(const std::shared_ptr<Attempt> &attempt, http::ClientRequest request);
    void startCall(serving::PoolRunner &pool, const serving::SessionPtr &session,
                   const decision::StartAttempt &start, const settings::Address &address);
    std::uint64_t nextRandom();

    settings::UpstreamTimeouts timeouts;
    timer::TimerService &timers;
    std::vector<std::unique_ptr<http::Client>> clients;
    std::mutex mutex; ///< Guards generator.
    std::mt19937_64 generator;
};

} // namespace azurespindle::upstreams

#endif
