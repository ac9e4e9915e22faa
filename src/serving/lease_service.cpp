#include "serving/lease_service.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace azurespindle::serving {
namespace {

constexpr milliseconds loadReadTimeout {1'000};
constexpr std::size_t maxLoadBytes = 262'144;
constexpr int statusOk = 200;
constexpr std::size_t maxAdapters = 256;

/// Returns the load report, or nothing if \a json is not a valid one.
std::optional<decision::EngineReport> parseReport(const nlohmann::json &json)
{
    json::Faults faults;
    json::ObjectReader reader(json, "$", faults);
    constexpr json::Range<std::int64_t> tokens {0, UINT32_MAX};
    decision::EngineReport report;
    report.at = monotonicNow();
    report.boot = static_cast<std::uint64_t>(reader.requiredInteger("boot", {1, INT64_MAX}));
    report.memoryTokens
        = static_cast<decision::Tokens>(reader.requiredInteger("memoryTokens", tokens));
    report.memoryUsed = static_cast<decision::Tokens>(reader.requiredInteger("memoryUsed", tokens));
    report.running = static_cast<std::uint32_t>(reader.integer("running", tokens, 0));
    report.waiting = static_cast<std::uint32_t>(reader.integer("waiting", tokens, 0));
    report.preemptions
        = static_cast<std::uint64_t>(reader.integer("preemptions", {0, INT64_MAX}, 0));
    if (!faults.empty()) {
        return std::nullopt;
    }
    return report;
}

std::string stringMember(const nlohmann::json &json, const char *name)
{
    const auto found = json.find(name);
    return found != json.end() && found->is_string() ? found->get<std::string>() : std::string();
}

/// Returns what the engine reports to have loaded; fields that it does not report stay empty.
decision::EngineObservation parseObservation(const nlohmann::json &json)
{
    decision::EngineObservation observation;
    observation.image.model = stringMember(json, "model");
    observation.image.version = stringMember(json, "version");
    observation.image.role = stringMember(json, "role");
    observation.loading = stringMember(json, "loading");
    const auto adapters = json.find("adapters");
    if (adapters == json.end() || !adapters->is_array()) {
        return observation;
    }
    for (const auto &each : *adapters) {
        if (each.is_string() && observation.image.adapters.size() < maxAdapters) {
            observation.image.adapters.push_back(each.get<std::string>());
        }
    }
    std::sort(observation.image.adapters.begin(), observation.image.adapters.end());
    return observation;
}

std::vector<std::uint64_t> blockArray(const nlohmann::json &json, const char *name)
{
    std::vector<std::uint64_t> blocks;
    const auto found = json.find(name);
    if (found == json.end() || !found->is_array()) {
        return blocks;
    }
    for (const auto &each : *found) {
        if (each.is_number_unsigned() && blocks.size() < decision::PrefixIndex::maxBlocks) {
            blocks.push_back(each.get<std::uint64_t>());
        }
    }
    return blocks;
}

} // namespace

LeaseService::LeaseService(std::string holder, members::Coordinator &coordinator,
                           http::Client &client, metrics::Registry &registry,
                           journal::Journal &journal, PostToPool postToPool,
                           OnObservation onObservation)
    : holder(std::move(holder)), coordinator(coordinator), client(client), registry(registry),
      journal(journal), postToPool(std::move(postToPool)), onObservation(std::move(onObservation))
{ }

void LeaseService::recordAll(std::vector<journal::Entry> entries)
{
    for (journal::Entry &entry : entries) {
        this->journal.record(std::move(entry));
    }
}

void LeaseService::refresh(const Directory &directory)
{
    std::vector<journal::Entry> entries;
    const std::string self = this->coordinator.self().name;
    {
        const std::lock_guard lock(this->mutex);
        std::map<std::string, UpstreamState> next;
        for (const auto &[pool, listed] : directory.pools) {
            for (const DirectoryEntry &entry : listed) {
                const std::string &name = entry.listed.name;
                UpstreamState state
                    = this->upstreams.count(name) > 0 ? this->upstreams[name] : UpstreamState {};
                const std::string before = state.manager;
                state.pool = pool;
                state.address = entry.address;
                state.engine = entry.engine;
                state.condition = entry.listed.condition;
                state.manager = this->coordinator.ownerInZone(entry.listed.zone, name);
                if (state.manager == self) {
                    this->leaseManager.manage(name, entry.listed.policy, monotonicNow(), true);
                    this->updateCondition(name, state);
                } else {
                    this->leaseManager.stopManaging(name);
                    state.accepting = true;
                }
                if (before != state.manager) {
                    entries.push_back({journal::EventId::StewardChanged,
                                       {{"upstream", name}, {"steward", state.manager}}});
                }
                next[name] = std::move(state);
            }
        }
        this->upstreams = std::move(next);
        for (const std::string &name : this->leaseManager.upstreams()) {
            if (this->upstreams.count(name) == 0) {
                this->leaseManager.stopManaging(name);
            }
        }
    }
    this->recordAll(std::move(entries));
}

void LeaseService::updateCondition(const std::string &upstream, const UpstreamState &state)
{
    const bool heldBack = state.condition == decision::Condition::Serving && !state.accepting;
    this->leaseManager.setCondition(upstream,
                                    heldBack ? decision::Condition::Leaving : state.condition);
}

void LeaseService::setAccepting(const std::string &upstream, bool accepting)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->upstreams.find(upstream);
    if (found != this->upstreams.end()) {
        found->second.accepting = accepting;
        this->updateCondition(upstream, found->second);
    }
}

void LeaseService::markCold(const std::string &upstream)
{
    std::vector<journal::Entry> entries;
    {
        const std::lock_guard lock(this->mutex);
        this->leaseManager.resetToCold(upstream, monotonicNow(), entries);
    }
    this->recordAll(std::move(entries));
}

void LeaseService::requestLease(const std::string &, const decision::AskLease &ask)
{
    const decision::LeaseRequest request = decision::makeLeaseRequest(this->holder, ask);
    std::string manager;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->upstreams.find(ask.upstream);
        if (found == this->upstreams.end()) {
            return;
        }
        manager = found->second.manager;
    }
    if (manager == this->coordinator.self().name) {
        this->applyGrant(this->issueGrant(request));
        return;
    }
    this->coordinator.send(manager, members::LeaseRequests {{request}});
}

members::GrantWithReport LeaseService::issueGrant(const decision::LeaseRequest &request)
{
    members::GrantWithReport granted;
    std::vector<journal::Entry> entries;
    const std::size_t memberCount = this->coordinator.activeMembers().size();
    {
        const std::lock_guard lock(this->mutex);
        granted.grant = this->leaseManager.handle(request, memberCount, monotonicNow(), entries);
        const auto found = this->upstreams.find(request.upstream);
        if (found != this->upstreams.end()) {
            granted.hasReport = found->second.hasReport;
            granted.report = found->second.report;
        }
    }
    this->recordAll(std::move(entries));
    return granted;
}

void LeaseService::applyGrant(const members::GrantWithReport &granted)
{
    std::string pool;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->upstreams.find(granted.grant.upstream);
        if (found == this->upstreams.end()) {
            return;
        }
        pool = found->second.pool;
    }
    const Instant now = monotonicNow();
    const decision::LeaseGrant &grant = granted.grant;
    if (granted.hasReport) {
        decision::EngineReport report = granted.report;
        report.at = now;
        this->postToPool(pool, decision::UpstreamReported {grant.upstream, report});
    }
    this->postToPool(pool, decision::makeLeaseGranted(grant, now));
}

void LeaseService::onLeaseRequests(const std::string &from, const members::LeaseRequests &requests)
{
    members::LeaseGrants grants;
    for (const decision::LeaseRequest &request : requests.requests) {
        grants.grants.push_back(this->issueGrant(request));
    }
    this->coordinator.send(from, grants);
}

void LeaseService::onLeaseGrants(const members::LeaseGrants &grants)
{
    for (const members::GrantWithReport &granted : grants.grants) {
        this->applyGrant(granted);
    }
}

void LeaseService::tick()
{
    std::vector<journal::Entry> entries;
    std::vector<std::pair<std::string, settings::Address>> due;
    {
        const std::lock_guard lock(this->mutex);
        this->leaseManager.advanceTime(monotonicNow(), entries);
        for (auto &[name, state] : this->upstreams) {
            const bool managed = this->leaseManager.manages(name);
            if (managed && state.engine && !std::exchange(state.readPending, true)) {
                due.emplace_back(name, state.address);
            }
        }
    }
    this->recordAll(std::move(entries));
    for (const auto &[name, address] : due) {
        this->readLoad(name, address);
    }
}

void LeaseService::readLoad(const std::string &upstream, const settings::Address &address)
{
    http::ClientRequest request;
    request.url = "http://" + address.text() + "/load";
    request.connectTimeout = loadReadTimeout;
    request.totalTimeout = loadReadTimeout;
    request.maxResponseBytes = maxLoadBytes;
    this->registry.count(metrics::Counter::LoadReads);
    auto body = std::make_shared<std::string>();
    http::TransferCallbacks callbacks;
    callbacks.onData = [body](std::string_view bytes) {
        *body += bytes;
        return true;
    };
    callbacks.onDone = [this, upstream, body](const http::TransferResult &result) {
        const bool succeeded
            = result.end == http::TransferEnd::Complete && result.status == statusOk;
        this->handleLoad(upstream, succeeded ? *body : std::string());
    };
    this->client.start(std::move(request), std::move(callbacks));
}

void LeaseService::handleLoad(const std::string &upstream, const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    const auto report
        = json.is_object() ? parseReport(json) : std::optional<decision::EngineReport>();
    std::vector<journal::Entry> entries;
    std::string pool;
    decision::EngineObservation observation;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->upstreams.find(upstream);
        if (found == this->upstreams.end()) {
            return;
        }
        found->second.readPending = false;
        if (!report) {
            return;
        }
        found->second.hasReport = true;
        found->second.report = *report;
        pool = found->second.pool;
        this->leaseManager.recordBoot(upstream, report->boot, monotonicNow(), entries);
        observation = parseObservation(json);
        observation.upstream = upstream;
        observation.activeGenerations = report->running + report->waiting;
        this->leaseManager.recordActiveGenerations(upstream, observation.activeGenerations);
        observation.committed = this->leaseManager.committed(upstream);
        observation.warm = this->leaseManager.isWarm(upstream);
    }
    this->recordAll(std::move(entries));
    this->onObservation(observation);
    this->postToPool(pool, decision::UpstreamReported {upstream, *report});
    this->postToPool(pool,
                     decision::CacheChanged {upstream, blockArray(json, "cacheAdded"),
                                             blockArray(json, "cacheDropped")});
}

std::vector<LeaseService::ManagedUpstream> LeaseService::managedUpstreams() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<ManagedUpstream> all;
    for (const std::string &name : this->leaseManager.upstreams()) {
        all.push_back({name, this->leaseManager.limit(name), this->leaseManager.committed(name)});
    }
    return all;
}

std::string LeaseService::managerOf(const std::string &upstream) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->upstreams.find(upstream);
    return found == this->upstreams.end() ? std::string() : found->second.manager;
}

} // namespace azurespindle::serving
