#ifndef AZURESPINDLE_SERVING_POOL_MANAGER_H
#define AZURESPINDLE_SERVING_POOL_MANAGER_H

#include "journal/journal.h"
#include "metrics/registry.h"
#include "serving/directory.h"
#include "serving/pool_runner.h"
#include "serving/session.h"
#include "settings/settings.h"
#include "timer/timer_service.h"
#include "upstreams/attempt_runner.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace azurespindle::serving {

/// Callbacks of PoolManager for effects that concern other processes.
struct PoolManagerHooks
{
    /// Requests a lease from the manager of an upstream.
    std::function<void(const std::string &pool, const decision::AskLease &ask)> requestLease;
    /// Reports to the other members that an upstream died while it ran a request.
    std::function<void(const std::string &pool, const decision::ReportCrash &crash)> reportCrash;
    /// Reports to the other members that a suspected request ran to its end after all.
    std::function<void(const std::string &pool, const decision::ReportSuspectCleared &cleared)>
        reportSuspectCleared;
};

/// Manages the pools of one process: submits requests to them and executes the effects that their
/// dispatchers return. Thread-safe.
class PoolManager
{
public:
    PoolManager(const settings::Settings &settings, timer::TimerService &timers,
                metrics::Registry &registry, journal::Journal &journal, PoolManagerHooks hooks);

    // Commands

    /// Applies a new directory: creates missing pools and posts all pools their upstreams and
    /// policies.
    void setDirectory(const std::shared_ptr<const Directory> &directory);
    /// Submits a request to its pool. \return false if there is no such pool.
    bool submit(const std::string &pool, const SessionPtr &session);
    /// Submits a request that resumes a generation on \a upstream to its pool, even if this process
    /// does not otherwise use that upstream.
    bool submitResumption(const DirectoryEntry &upstream, const SessionPtr &session);
    /// Posts an event to one pool; ignored if there is no such pool.
    void post(const std::string &pool, decision::Event event);
    /// Posts an event to all pools.
    void postToAll(const decision::Event &event);
    /// Returns an unused request id.
    decision::RequestId nextRequestId() { return this->lastRequestId += 1; }
    /// Stops all attempts, after which no more callbacks are made and their targets may be
    /// destroyed.
    void stop() { this->attempts.stop(); }

    // Queries

    std::shared_ptr<const Directory> directory() const;
    metrics::Registry &metricsRegistry() { return this->registry; }
    journal::Journal &eventJournal() { return this->journal; }
    /// Returns the status of each pool, by its name.
    std::map<std::string, decision::DispatcherStatus> status() const;
    /// Returns the number of open requests of all pools.
    std::size_t openRequests() const;

private:
    /// Returns the pool, or nullptr if there is none of this name.
    std::shared_ptr<PoolRunner> findPool(const std::string &pool) const;
    std::vector<std::shared_ptr<PoolRunner>> poolList() const;
    std::shared_ptr<PoolRunner> createPool(const std::string &name);
    /// Returns the address of an upstream; empty if it is not in the directory.
    settings::Address addressOf(const std::string &upstream) const;
    void execute(PoolRunner &pool, const decision::Effect &effect, const TokenTexts &texts);
    void perform(PoolRunner &pool, const decision::StartAttempt &start);
    void perform(PoolRunner &pool, const decision::ResumeAttempt &resume);
    void perform(const decision::CancelAttempt &cancel);
    void perform(const decision::Deliver &deliver, const TokenTexts &texts);
    void perform(const decision::DeliverAnswer &deliver);
    void perform(const decision::Refuse &refuse);

    const settings::Settings &settings;
    metrics::Registry &registry;
    journal::Journal &journal;
    const PoolManagerHooks hooks;
    std::atomic<decision::RequestId> lastRequestId {0};
    SessionTable sessions;
    mutable std::mutex mutex; ///< Guards currentDirectory and pools.
    std::shared_ptr<const Directory> currentDirectory;
    std::map<std::string, std::shared_ptr<PoolRunner>> pools;
    upstreams::AttemptRunner attempts;
};

} // namespace azurespindle::serving

#endif
