#include "serving/order_service.h"

#include <nlohmann/json.hpp>

#include <type_traits>
#include <utility>

namespace azurespindle::serving {
namespace {

constexpr milliseconds orderSendTimeout {2'000};
constexpr int statusConflict = 409;

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

std::string orderBody(const decision::EngineOrder &order)
{
    nlohmann::ordered_json json;
    json["fence"] = order.fencingToken;
    // An empty field is left out, because the order does not concern it.
    for (const auto &[name, value] :
         {std::pair {"model", order.image.model}, std::pair {"version", order.image.version},
          std::pair {"role", order.image.role}}) {
        if (!value.empty()) {
            json[name] = value;
        }
    }
    json["adapters"] = order.image.adapters;
    return json.dump();
}

} // namespace

OrderService::OrderService(std::string holder, members::Coordinator &coordinator,
                           http::Client &client, journal::Journal &journal, OrderHooks hooks)
    : holder(std::move(holder)), coordinator(coordinator), client(client), journal(journal),
      hooks(std::move(hooks)), directory(std::make_shared<Directory>()), controller(this->holder)
{ }

std::string OrderService::scopeOf(const DirectoryEntry &entry) const
{
    const auto pool = this->directory->pools.find(entry.pool);
    const bool fleetWide
        = pool != this->directory->pools.end() && pool->second.size() <= maxFleetScopeEngines;
    return fleetWide ? entry.pool : entry.pool + " in " + entry.listed.zone;
}

void OrderService::refresh(const std::shared_ptr<const Directory> &newDirectory)
{
    const std::string self = this->coordinator.self().name;
    this->decideAndExecute([&] {
        this->directory = newDirectory;
        decision::RolloutEffects effects;
        std::map<std::string, std::string> issuers;
        for (const auto &[name, entry] : newDirectory->upstreams) {
            if (!entry.engine) {
                continue;
            }
            const std::string scope = this->scopeOf(entry);
            if (issuers.count(scope) == 0) {
                issuers[scope] = scope == entry.pool
                    ? this->coordinator.ownerOf("orders " + scope)
                    : this->coordinator.ownerInZone(entry.listed.zone, "orders " + scope);
            }
            if (this->coordinator.ownerInZone(entry.listed.zone, name) != self) {
                this->controller.removeEngine(name);
                continue;
            }
            for (auto &effect : this->controller.setDesiredImage(newDirectory->desiredImage(entry),
                                                                 monotonicNow())) {
                effects.push_back(std::move(effect));
            }
        }
        for (const decision::OrderStatus &status : this->controller.status()) {
            if (newDirectory->upstreams.count(status.upstream) == 0) {
                this->controller.removeEngine(status.upstream);
            }
        }
        this->permitIssuers = std::move(issuers);
        return effects;
    });
}

void OrderService::decideAndExecute(const std::function<decision::RolloutEffects()> &decideEffects)
{
    std::vector<std::function<void()>> deferred;
    {
        const std::lock_guard lock(this->mutex);
        deferred = this->execute(decideEffects());
    }
    for (const auto &each : deferred) {
        each();
    }
}

std::vector<std::function<void()>> OrderService::execute(decision::RolloutEffects effects)
{
    std::vector<std::function<void()>> deferred;
    for (decision::RolloutEffect &effect : effects) {
        std::visit(
            [&](auto &each) {
                using Kind = std::decay_t<decltype(each)>;
                if constexpr (std::is_same_v<Kind, decision::SetAccepting>) {
                    this->hooks.setAccepting(each.upstream, each.accepting);
                } else if constexpr (std::is_same_v<Kind, decision::MarkCold>) {
                    this->hooks.markCold(each.upstream);
                } else if constexpr (std::is_same_v<Kind, decision::LogRolloutEvent>) {
                    this->journal.record(std::move(each.entry));
                } else if constexpr (std::is_same_v<Kind, decision::RequestPermit>) {
                    deferred.emplace_back([this, ask = each] { this->requestPermit(ask.request); });
                } else {
                    deferred.emplace_back([this, send = each] { this->sendOrder(send.order); });
                }
            },
            effect);
    }
    return deferred;
}

// Orders to managed engines ----------------------------------------------------------------------

void OrderService::handleObservation(const decision::EngineObservation &observation)
{
    this->decideAndExecute(
        [&] { return this->controller.recordObservation(observation, monotonicNow()); });
}

std::string OrderService::permitIssuerOf(const std::string &upstream) const
{
    const std::lock_guard lock(this->mutex);
    const auto entry = this->directory->upstreams.find(upstream);
    if (entry == this->directory->upstreams.end()) {
        return {};
    }
    const auto found = this->permitIssuers.find(this->scopeOf(entry->second));
    return found == this->permitIssuers.end() ? std::string() : found->second;
}

void OrderService::requestPermit(const decision::PermitRequest &request)
{
    const std::string issuer = this->permitIssuerOf(request.upstream);
    if (issuer == this->coordinator.self().name) {
        this->onPermitAnswers({{this->issuePermit(request)}});
    } else if (!issuer.empty()) {
        this->coordinator.send(issuer, members::PermitRequests {{request}});
    }
}

void OrderService::onPermitAnswers(const members::PermitAnswers &answers)
{
    for (const decision::PermitAnswer &answer : answers.answers) {
        this->decideAndExecute(
            [&] { return this->controller.handlePermitAnswer(answer, monotonicNow()); });
    }
}

void OrderService::sendOrder(const decision::EngineOrder &order)
{
    settings::Address address;
    {
        const std::lock_guard lock(this->mutex);
        const auto entry = this->directory->upstreams.find(order.upstream);
        if (entry == this->directory->upstreams.end()) {
            return;
        }
        address = entry->second.address;
    }
    http::ClientRequest request;
    request.method = "POST";
    request.url = "http://" + address.text() + "/orders";
    request.headers = {{"content-type", "application/json"}};
    request.body = orderBody(order);
    request.connectTimeout = orderSendTimeout;
    request.totalTimeout = orderSendTimeout;
    // If a reused connection turned out dead, the HTTP library would send the order again, possibly
    // after EngineOrder::notAfter.
    request.freshConnection = true;
    http::TransferCallbacks callbacks;
    callbacks.onDone = [this, order](const http::TransferResult &result) {
        const bool complete = result.end == http::TransferEnd::Complete;
        const auto reply = complete && isSuccess(result.status) ? decision::OrderReply::Accepted
            : complete && result.status == statusConflict ? decision::OrderReply::StaleFencingToken
                                                          : decision::OrderReply::Failed;
        this->handleReply(order, reply,
                          complete ? "status " + std::to_string(result.status) : result.detail);
    };
    // A process that was paused may resume here with an order that has expired.
    if (monotonicNow() >= order.notAfter) {
        this->handleReply(order, decision::OrderReply::Failed, "this process was paused");
        return;
    }
    this->client.start(std::move(request), std::move(callbacks));
}

void OrderService::handleReply(const decision::EngineOrder &order, decision::OrderReply reply,
                               const std::string &detail)
{
    this->decideAndExecute(
        [&] { return this->controller.handleOrderReply(order, reply, detail, monotonicNow()); });
}

// Permits that this process issues ---------------------------------------------------------------

decision::PermitAnswer OrderService::issuePermit(const decision::PermitRequest &request)
{
    const std::string self = this->coordinator.self().name;
    const std::lock_guard lock(this->mutex);
    decision::PermitAnswer refusal;
    refusal.upstream = request.upstream;
    refusal.revision = request.revision;
    const auto entry = this->directory->upstreams.find(request.upstream);
    if (entry == this->directory->upstreams.end()) {
        refusal.reason = "the member that gives out permits does not know it";
        return refusal;
    }
    const std::string scope = this->scopeOf(entry->second);
    const auto issuer = this->permitIssuers.find(scope);
    if (issuer == this->permitIssuers.end() || issuer->second != self) {
        refusal.reason = "members differ in who gives out permits";
        return refusal;
    }
    const Instant now = monotonicNow();
    const auto permitScope
        = this->permitScopes.try_emplace(scope, PermitScope {decision::RolloutPermits(now), now})
              .first;
    permitScope->second.lastRequested = now;
    const configuration::OrderPolicy &policy = this->directory->configuration.orders;
    const decision::RolloutLimits limits {policy.loadsPerMinute, policy.maxLoadingShare,
                                          this->directory->engineCount()};
    return permitScope->second.permits.handle(request, limits, now);
}

void OrderService::onPermitRequests(const std::string &from,
                                    const members::PermitRequests &requests)
{
    members::PermitAnswers answers;
    for (const decision::PermitRequest &request : requests.requests) {
        answers.answers.push_back(this->issuePermit(request));
    }
    this->coordinator.send(from, answers);
}

void OrderService::tick()
{
    const std::string self = this->coordinator.self().name;
    this->decideAndExecute([&] {
        const Instant now = monotonicNow();
        for (auto each = this->permitScopes.begin(); each != this->permitScopes.end();) {
            const auto issuer = this->permitIssuers.find(each->first);
            const bool ownScope = issuer != this->permitIssuers.end() && issuer->second == self;
            const bool used = now - each->second.lastRequested <= permitIdleTimeout;
            each = ownScope && used ? std::next(each) : this->permitScopes.erase(each);
        }
        return this->controller.tick(now);
    });
}

std::vector<decision::OrderStatus> OrderService::status() const
{
    const std::lock_guard lock(this->mutex);
    return this->controller.status();
}

} // namespace azurespindle::serving
