#include "serving/pool_manager.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace azurespindle::serving {

PoolManager::PoolManager(const settings::Settings &settings, timer::TimerService &timers,
                         metrics::Registry &registry, journal::Journal &journal,
                         PoolManagerHooks hooks)
    : settings(settings), registry(registry), journal(journal), hooks(std::move(hooks)),
      currentDirectory(std::make_shared<Directory>()),
      attempts(settings.upstreams, settings.upstreamThreads, timers)
{ }

std::shared_ptr<PoolRunner> PoolManager::createPool(const std::string &name)
{
    decision::DispatcherOptions options;
    options.firstTokenTimeout = this->settings.upstreams.firstToken;
    options.gapTimeout = this->settings.upstreams.gap;
    options.callTimeout = this->settings.upstreams.call;
    return std::make_shared<PoolRunner>(
        name, std::move(options),
        [this](PoolRunner &pool, const decision::Effect &effect, const TokenTexts &texts) {
            this->execute(pool, effect, texts);
        });
}

void PoolManager::setDirectory(const std::shared_ptr<const Directory> &directory)
{
    std::map<std::string, std::shared_ptr<PoolRunner>> current;
    {
        const std::lock_guard lock(this->mutex);
        this->currentDirectory = directory;
        for (const auto &[name, upstreams] : directory->pools) {
            if (this->pools.count(name) == 0) {
                this->pools[name] = this->createPool(name);
            }
        }
        current = this->pools;
    }
    const decision::PoliciesChanged policies = directory->policies();
    for (const auto &[name, pool] : current) {
        pool->post(policies);
        pool->post(directory->subsetFor(this->settings.name, this->settings.zone, name));
    }
}

std::shared_ptr<const Directory> PoolManager::directory() const
{
    const std::lock_guard lock(this->mutex);
    return this->currentDirectory;
}

std::shared_ptr<PoolRunner> PoolManager::findPool(const std::string &pool) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->pools.find(pool);
    return found == this->pools.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<PoolRunner>> PoolManager::poolList() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::shared_ptr<PoolRunner>> all;
    for (const auto &[name, pool] : this->pools) {
        all.push_back(pool);
    }
    return all;
}

bool PoolManager::submitResumption(const DirectoryEntry &upstream, const SessionPtr &session)
{
    const std::shared_ptr<const Directory> directory = this->directory();
    decision::UpstreamsListed listing
        = directory->subsetFor(this->settings.name, this->settings.zone, upstream.pool);
    const auto used
        = std::any_of(listing.upstreams.begin(), listing.upstreams.end(),
                      [&](const auto &each) { return each.name == upstream.listed.name; });
    if (!used) {
        // The upstream is listed as leaving, so that the generation is read to its end but no new
        // request is sent.
        listing.upstreams.push_back(upstream.listed);
        listing.upstreams.back().condition = decision::Condition::Leaving;
        this->post(upstream.pool, listing);
    }
    return this->submit(upstream.pool, session);
}

bool PoolManager::submit(const std::string &pool, const SessionPtr &session)
{
    const std::shared_ptr<PoolRunner> runner = this->findPool(pool);
    if (runner == nullptr) {
        return false;
    }
    this->registry.count(metrics::Counter::Requests);
    this->sessions.add(session);
    const decision::RequestId id = session->request().id;
    runner->post(decision::RequestArrived {session->request()});
    session->exchange()->onDisconnected([this, runner, id] {
        this->registry.count(metrics::Counter::CallersDisconnected);
        runner->post(decision::CallerLeft {id});
    });
    return true;
}

void PoolManager::post(const std::string &pool, decision::Event event)
{
    const std::shared_ptr<PoolRunner> runner = this->findPool(pool);
    if (runner != nullptr) {
        runner->post(std::move(event));
    }
}

void PoolManager::postToAll(const decision::Event &event)
{
    for (const auto &pool : this->poolList()) {
        pool->post(event);
    }
}

std::map<std::string, decision::DispatcherStatus> PoolManager::status() const
{
    std::map<std::string, decision::DispatcherStatus> all;
    for (const auto &pool : this->poolList()) {
        all[pool->name()] = pool->status();
    }
    return all;
}

std::size_t PoolManager::openRequests() const
{
    std::size_t sum = 0;
    for (const auto &pool : this->poolList()) {
        sum += pool->openRequests();
    }
    return sum;
}

settings::Address PoolManager::addressOf(const std::string &upstream) const
{
    const std::shared_ptr<const Directory> directory = this->directory();
    const auto found = directory->upstreams.find(upstream);
    return found == directory->upstreams.end() ? settings::Address {} : found->second.address;
}

void PoolManager::execute(PoolRunner &pool, const decision::Effect &effect, const TokenTexts &texts)
{
    std::visit(
        [&](const auto &each) {
            using Kind = std::decay_t<decltype(each)>;
            if constexpr (std::is_same_v<
                              Kind,
                              decision::
                                  StartAttempt> || std::is_same_v<Kind, decision::ResumeAttempt>) {
                this->perform(pool, each);
            } else if constexpr (std::is_same_v<Kind, decision::Deliver>) {
                this->perform(each, texts);
            } else if constexpr (std::is_same_v<Kind, decision::AskLease>) {
                this->hooks.requestLease(pool.name(), each);
            } else if constexpr (std::is_same_v<Kind, decision::ReportCrash>) {
                this->hooks.reportCrash(pool.name(), each);
            } else if constexpr (std::is_same_v<Kind, decision::ReportSuspectCleared>) {
                this->hooks.reportSuspectCleared(pool.name(), each);
            } else if constexpr (std::is_same_v<Kind, decision::Journal>) {
                this->journal.record(each.entry);
            } else {
                this->perform(each);
            }
        },
        effect);
}

void PoolManager::perform(PoolRunner &pool, const decision::StartAttempt &start)
{
    const SessionPtr session = this->sessions.find(start.request);
    if (session == nullptr) {
        return;
    }
    if (start.attempt > 1) {
        this->registry.count(metrics::Counter::Retries);
    }
    this->attempts.start(pool, session, start, this->addressOf(start.upstream));
}

void PoolManager::perform(PoolRunner &pool, const decision::ResumeAttempt &resume)
{
    const SessionPtr session = this->sessions.find(resume.request);
    if (session != nullptr) {
        this->registry.count(metrics::Counter::Resumes);
        this->attempts.resume(pool, session, resume, this->addressOf(resume.upstream));
    }
}

void PoolManager::perform(const decision::CancelAttempt &cancel)
{
    const SessionPtr session = this->sessions.find(cancel.request);
    if (session != nullptr) {
        this->attempts.cancel(session, cancel, this->addressOf(cancel.upstream));
    }
}

void PoolManager::perform(const decision::Deliver &deliver, const TokenTexts &texts)
{
    const SessionPtr session = this->sessions.find(deliver.request);
    if (session == nullptr) {
        return;
    }
    session->deliver(deliver, texts);
    if (deliver.last) {
        this->sessions.remove(deliver.request);
    }
}

void PoolManager::perform(const decision::DeliverAnswer &deliver)
{
    const SessionPtr session = this->sessions.find(deliver.request);
    if (session != nullptr) {
        session->deliverResponse();
        this->sessions.remove(deliver.request);
    }
}

void PoolManager::perform(const decision::Refuse &refuse)
{
    const SessionPtr session = this->sessions.find(refuse.request);
    if (session != nullptr) {
        session->refuse(refuse.refusal);
        this->sessions.remove(refuse.request);
    }
}

} // namespace azurespindle::serving
