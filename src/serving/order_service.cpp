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
    // An empty field asks nothing of the engine.
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
      hooks(std::move(hooks)), directory(std::make_shared<Directory>()), steward(this->holder)
{ }

std::string OrderService::scopeOf(const DirectoryEntry &entry) const
{
    const auto pool = this->directory->pools.find(entry.pool);
    const bool small
        = pool != this->directory->pools.end() && pool->second.size() <= maxFleetScopeEngines;
    return small ? entry.pool : entry.pool + " in " + entry.listed.zone;
}

void OrderService::refresh(const std::shared_ptr<const Directory> &changed)
{
    const std::string self = this->coordinator.self().name;
    this->decideAndExecute([&] {
        this->directory = changed;
        decision::RolloutEffects effects;
        std::map<std::string, std::string> responsible;
        for (const auto &[name, entry] : changed->upstreams) {
            if (!entry.engine) {
                continue;
            }
            const std::string scope = this->scopeOf(entry);
            if (responsible.count(scope) == 0) {
                responsible[scope] = scope == entry.pool
                    ? this->coordinator.ownerOf("orders " + scope)
                    : this->coordinator.ownerInZone(entry.listed.zone, "orders " + scope);
            }
            if (this->coordinator.ownerInZone(entry.listed.zone, name) != self) {
                this->steward.removeEngine(name);
                continue;
            }
            for (auto &effect :
                 this->steward.setDesiredImage(changed->wantedImage(entry), monotonicNow())) {
                effects.push_back(std::move(effect));
            }
        }
        for (const decision::OrderStatus &status : this->steward.status()) {
            if (changed->upstreams.count(status.upstream) == 0) {
                this->steward.removeEngine(status.upstream);
            }
        }
        this->permitIssuers = std::move(responsible);
        return effects;
    });
}

void OrderService::decideAndExecute(const std::function<decision::RolloutEffects()> &decide)
{
    std::vector<std::function<void()>> deferred;
    {
        const std::lock_guard lock(this->mutex);
        deferred = this->execute(decide());
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

// The steward's side ----------------------------------------------------------------------------

void OrderService::handleEngineState(const decision::EngineObservation &seen)
{
    this->decideAndExecute([&] { return this->steward.recordObservation(seen, monotonicNow()); });
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
    const std::string responsible = this->permitIssuerOf(request.upstream);
    if (responsible == this->coordinator.self().name) {
        this->onPermitAnswers({{this->issuePermit(request)}});
    } else if (!responsible.empty()) {
        this->coordinator.send(responsible, members::PermitRequests {{request}});
    }
}

void OrderService::onPermitAnswers(const members::PermitAnswers &answers)
{
    for (const decision::PermitAnswer &answer : answers.answers) {
        this->decideAndExecute(
            [&] { return this->steward.handlePermitAnswer(answer, monotonicNow()); });
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
    // A kept connection may be dead, and the library would then send the order again later.
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
    // A process that was paused wakes up here with an old order in its hand.
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
        [&] { return this->steward.handleOrderReply(order, reply, detail, monotonicNow()); });
}

// The side that gives out permits ---------------------------------------------------------------

decision::PermitAnswer OrderService::issuePermit(const decision::PermitRequest &request)
{
    const std::string self = this->coordinator.self().name;
    const std::lock_guard lock(this->mutex);
    decision::PermitAnswer refused;
    refused.upstream = request.upstream;
    refused.revision = request.revision;
    const auto entry = this->directory->upstreams.find(request.upstream);
    if (entry == this->directory->upstreams.end()) {
        refused.reason = "the member that gives out permits does not know it";
        return refused;
    }
    const std::string scope = this->scopeOf(entry->second);
    const auto responsible = this->permitIssuers.find(scope);
    if (responsible == this->permitIssuers.end() || responsible->second != self) {
        refused.reason = "members differ in who gives out permits";
        return refused;
    }
    const Instant now = monotonicNow();
    const auto own
        = this->permitScopes.try_emplace(scope, PermitScope {decision::RolloutPermits(now), now})
              .first;
    own->second.lastAsked = now;
    const configuration::OrderPolicy &policy = this->directory->configuration.orders;
    const decision::RolloutLimits limits {policy.loadsPerMinute, policy.maxLoadingShare,
                                          this->directory->engineCount()};
    return own->second.permits.handle(request, limits, now);
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
            const auto responsible = this->permitIssuers.find(each->first);
            const bool own
                = responsible != this->permitIssuers.end() && responsible->second == self;
            const bool used = now - each->second.lastAsked <= permitIdleTimeout;
            each = own && used ? std::next(each) : this->permitScopes.erase(each);
        }
        return this->steward.tick(now);
    });
}

std::vector<decision::OrderStatus> OrderService::status() const
{
    const std::lock_guard lock(this->mutex);
    return this->steward.status();
}

} // namespace azurespindle::serving
