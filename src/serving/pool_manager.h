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

/// Effects that concern other processes.
struct PoolManagerHooks
{
    std::function<void(const std::string &pool, const decision::AskLease &ask)> requestLease;
    std::function<void(const std::string &pool, const decision::ReportCrash &crash)> reportCrash;
    std::function<void(const std::string &pool, const decision::ReportSuspectCleared &acquittal)>
        reportAcquittal;
};

/// The pools of one process: takes requests in, carries out what the pools decide.
class PoolManager
{
public:
    PoolManager(const settings::Settings &settings, timer::TimerService &timers,
                metrics::Registry &registry, journal::Journal &journal, PoolManagerHooks hooks);

    // Commands

    /// Takes over a new directory: makes pools, tells them their upstreams and policies.
    void setDirectory(const std::shared_ptr<const Directory> &directory);
    /// Hands a request to its pool. \return false if there is no such pool.
    bool submit(const std::string &pool, const SessionPtr &session);
    /// Hands a request that goes on with a generation to the pool of \a upstream, also if this
    /// process does not otherwise use that upstream.
    bool submitResumption(const DirectoryEntry &upstream, const SessionPtr &session);
    /// Posts an event to one pool, or to all of them.
    void post(const std::string &pool, decision::Event event);
    void postToAll(const decision::Event &event);
    /// Returns a request number that was not used before.
    decision::RequestId nextRequestId() { return this->lastRequestId += 1; }
    /// Ends all work towards upstreams, so that the parts it calls back to may go away.
    void stop() { this->attempts.stop(); }

    // Queries

    std::shared_ptr<const Directory> directory() const;
    metrics::Registry &metricsRegistry() { return this->registry; }
    journal::Journal &eventJournal() { return this->journal; }
    std::map<std::string, decision::DispatcherStatus> status() const;
    std::size_t openRequests() const;

private:
    std::shared_ptr<PoolRunner> findPool(const std::string &pool) const;
    std::vector<std::shared_ptr<PoolRunner>> poolList() const;
    std::shared_ptr<PoolRunner> createPool(const std::string &name);
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
    mutable std::mutex mutex; ///< Guards the two below.
    std::shared_ptr<const Directory> currentDirectory;
    std::map<std::string, std::shared_ptr<PoolRunner>> pools;
    upstreams::AttemptRunner attempts;
};

} // namespace azurespindle::serving

#endif
