#include "callers/operator_api.h"

#include "callers/completion_api.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <ctime>

namespace azurespindle::callers {
namespace {

using Json = nlohmann::ordered_json;

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusUnavailable = 503;
const http::Headers jsonHeaders {{"content-type", "application/json"}};

std::int64_t toMilliseconds(microseconds duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

std::string formatTimestamp(std::chrono::system_clock::time_point at)
{
    const std::time_t time = std::chrono::system_clock::to_time_t(at);
    std::tm parts {};
    gmtime_r(&time, &parts);
    char text[32];
    std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
    const auto sinceEpoch = std::chrono::duration_cast<milliseconds>(at.time_since_epoch());
    char fraction[8];
    std::snprintf(fraction, sizeof(fraction), ".%03dZ",
                  static_cast<int>(sinceEpoch.count() % 1'000));
    return std::string(text) + fraction;
}

Json upstreamJson(const decision::Upstream &upstream, const std::string &steward)
{
    const Instant now = monotonicNow();
    Json json;
    json["name"] = upstream.listed.name;
    json["zone"] = upstream.listed.zone;
    json["condition"] = name(upstream.listed.condition);
    json["steward"] = steward;
    json["outstanding"] = upstream.outstanding;
    json["slots"] = upstream.slots(now);
    json["memoryTokens"] = upstream.report.memoryTokens;
    json["memoryUsed"] = upstream.report.memoryUsed;
    json["running"] = upstream.report.running;
    json["waiting"] = upstream.report.waiting;
    json["preemptions"] = upstream.report.preemptions;
    json["boot"] = upstream.report.boot;
    return json;
}

Json policyJson(const configuration::WorkspacePolicy &policy)
{
    return {{"weight", policy.weight},
            {"maxQueued", policy.maxQueued},
            {"queueTimeoutMs", policy.queueTimeout.count()}};
}

Json policyJson(const configuration::UpstreamPolicy &policy)
{
    return {{"coldConcurrency", policy.coldConcurrency},
            {"maxConcurrency", policy.maxConcurrency},
            {"memoryTarget", policy.memoryTarget},
            {"slowGapMs", policy.slowGap.count()},
            {"slowFirstTokenMs", policy.slowFirstToken.count()},
            {"honoursFencing", policy.honoursFencing},
            {"model", policy.model},
            {"version", policy.version},
            {"role", policy.role}};
}

} // namespace

OperatorApi::OperatorApi(serving::PoolManager &poolManager, members::Coordinator &coordinator,
                         serving::LeaseService &leases, serving::OrderService &orders,
                         const std::atomic<bool> &stopping)
    : poolManager(poolManager), coordinator(coordinator), leases(leases), orders(orders),
      stopping(stopping)
{ }

void OperatorApi::handleHealth(const http::ExchangePtr &exchange) const
{
    exchange->respond(statusOk, {{"content-type", "text/plain"}}, "ok\n");
}

std::string OperatorApi::unreadyReason() const
{
    if (this->stopping) {
        return "the process is stopping";
    }
    if (this->poolManager.directory()->configuration.revision == 0) {
        return "no configuration yet";
    }
    if (this->poolManager.directory()->vmList.revision == 0) {
        return "no VM list yet";
    }
    const members::MemberRecord self = this->coordinator.self();
    return this->poolManager.directory()->unavailableReason(self.name, self.zone);
}

void OperatorApi::handleReadiness(const http::ExchangePtr &exchange) const
{
    const std::string reason = this->unreadyReason();
    if (reason.empty()) {
        exchange->respond(statusOk, {{"content-type", "text/plain"}}, "ready\n");
        return;
    }
    exchange->respond(statusUnavailable, {{"content-type", "text/plain"}}, reason + "\n");
}

void OperatorApi::handleMetrics(const http::ExchangePtr &exchange) const
{
    exchange->respond(statusOk, {{"content-type", "text/plain; version=0.0.4"}},
                      this->poolManager.metricsRegistry().exposition());
}

Json OperatorApi::membersJson() const
{
    Json list = Json::array();
    for (const members::MemberStatus &status : this->coordinator.status()) {
        Json json;
        json["name"] = status.record.name;
        json["zone"] = status.record.zone;
        json["callerAddress"] = status.record.callerAddress;
        json["state"] = name(status.record.state);
        json["incarnation"] = status.record.incarnation;
        json["silentMs"] = toMilliseconds(status.sinceLastHeard);
        json["configurationRevision"] = status.heartbeat.configurationRevision;
        json["refusedRevision"] = status.heartbeat.refusedRevision;
        list.push_back(json);
    }
    return list;
}

Json OperatorApi::poolsJson() const
{
    Json pools = Json::object();
    for (const auto &[name, status] : this->poolManager.status()) {
        Json pool;
        pool["running"] = status.running;
        pool["queued"] = status.queued;
        pool["upstreams"] = Json::array();
        for (const decision::Upstream &upstream : status.upstreams) {
            const std::string steward = this->leases.managerOf(upstream.listed.name);
            pool["upstreams"].push_back(upstreamJson(upstream, steward));
        }
        pools[name] = pool;
    }
    return pools;
}

void OperatorApi::handleStatus(const http::ExchangePtr &exchange) const
{
    const members::MemberRecord self = this->coordinator.self();
    Json json;
    json["name"] = self.name;
    json["zone"] = self.zone;
    json["ready"] = this->unreadyReason().empty();
    json["unreadyReason"] = this->unreadyReason();
    json["configurationRevision"]
        = this->coordinator.revision(members::DocumentKind::Configuration);
    json["vmListRevision"] = this->coordinator.revision(members::DocumentKind::VmList);
    json["refusedConfiguration"] = this->coordinator.refusedConfiguration();
    json["members"] = this->membersJson();
    json["pools"] = this->poolsJson();
    json["ramps"] = Json::array();
    for (const auto &each : this->leases.managedUpstreams()) {
        json["ramps"].push_back(
            {{"upstream", each.upstream}, {"limit", each.limit}, {"committed", each.committed}});
    }
    json["orders"] = this->ordersJson();
    exchange->respond(statusOk, jsonHeaders, json.dump(2) + "\n");
}

Json OperatorApi::ordersJson() const
{
    Json list = Json::array();
    for (const decision::OrderStatus &status : this->orders.status()) {
        list.push_back({{"upstream", status.upstream},
                        {"image", decision::toText(status.image)},
                        {"wanted", decision::toText(status.desired)},
                        {"revision", status.revision},
                        {"phase", name(status.phase)},
                        {"reason", status.reason}});
    }
    return list;
}

void OperatorApi::handleExplain(const http::ServerRequest &request,
                                const http::ExchangePtr &exchange) const
{
    const std::string id = request.queryField("id");
    if (id.empty()) {
        respond(exchange,
                notRunProblem(statusBadRequest, "malformed-request",
                              "?id= names a request, an upstream, a zone or a member"));
        return;
    }
    std::string text;
    for (const journal::RecordedEvent &recorded :
         this->poolManager.eventJournal().eventsWithValue(id)) {
        text += formatTimestamp(recorded.at) + " " + journal::toText(recorded.entry) + "\n";
    }
    if (text.empty()) {
        text = "nothing recent concerns \"" + id + "\" in this process\n";
    }
    exchange->respond(statusOk, {{"content-type", "text/plain"}}, text);
}

void OperatorApi::handleConfiguration(const http::ServerRequest &request,
                                      const http::ExchangePtr &exchange) const
{
    const auto directory = this->poolManager.directory();
    const configuration::Document &document = directory->configuration;
    const std::string workspace = request.queryField("workspace");
    std::string upstream = request.queryField("upstream");
    std::string zone = request.queryField("zone");
    Json json;
    json["revision"] = document.revision;
    if (!workspace.empty()) {
        const auto resolved = configuration::workspacePolicy(document, workspace);
        json["workspace"] = workspace;
        json["policy"] = policyJson(resolved.policy);
        json["sources"] = resolved.sources;
    } else if (!upstream.empty() || !zone.empty()) {
        const auto known = directory->upstreams.find(upstream);
        if (zone.empty() && known != directory->upstreams.end()) {
            zone = known->second.listed.zone;
        }
        const auto resolved = configuration::upstreamPolicy(document, upstream, zone);
        const auto mark = configuration::outOfServiceMark(document, upstream, zone);
        json["upstream"] = upstream;
        json["zone"] = zone;
        json["policy"] = policyJson(resolved.policy);
        json["sources"] = resolved.sources;
        json["out"] = mark ? mark->reason : "";
    } else {
        json["exceptions"] = document.exceptions.size();
        json["out"] = Json::array();
        for (const configuration::OutOfServiceMark &mark : document.outOfServiceMarks) {
            json["out"].push_back(
                {{configuration::name(mark.kind), mark.subject}, {"reason", mark.reason}});
        }
    }
    exchange->respond(statusOk, jsonHeaders, json.dump(2) + "\n");
}

} // namespace azurespindle::callers
