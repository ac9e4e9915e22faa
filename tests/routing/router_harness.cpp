#include "routing/router_harness.h"

namespace azurespindle::tests {
namespace {

using namespace routing;

constexpr Tokens engineMemory = 34'000;
constexpr Tokens longPrompt = 3'000;

Route makeRoute(const std::string &name, RouteKind kind, const std::string &service)
{
    Route route;
    route.name = name;
    route.host = "shop.example";
    route.pathPrefix = "/" + name + "/";
    route.kind = kind;
    route.services = {{service, 1.0}};
    route.timeout = milliseconds(1'000);
    route.latencyObjective = milliseconds(150);
    return route;
}

RoutingConfiguration sampleConfiguration()
{
    RoutingConfiguration configuration;
    configuration.version = 1;
    Route longer = makeRoute("long", RouteKind::Streaming, "models");
    longer.timeout = milliseconds(39'000);
    longer.latencyObjective = milliseconds(1'800);
    longer.priority = 1;
    longer.eventGapObjective = milliseconds(180);
    Route shorter = longer;
    shorter.eventGapObjective = milliseconds(0);
    shorter.name = "short";
    shorter.pathPrefix = "/short/";
    shorter.resumable = true;
    shorter.maxAttempts = 2;
    Route look = makeRoute("look", RouteKind::Idempotent, "desk");
    look.maxAttempts = 2;
    Route open = makeRoute("open", RouteKind::Idempotent, "desk");
    open.keyless = true;
    Route home = makeRoute("home", RouteKind::Idempotent, "desk");
    home.regions = {"here"};
    configuration.routes
        = {longer, shorter, look, open, home, makeRoute("order", RouteKind::NonIdempotent, "desk")};
    EngineTraits engine {24, engineMemory, 262'144.0, 38'000.0, 4, true, true, milliseconds(5'000)};
    configuration.services = {{"models", 252, 27.0, engine}, {"desk", 110, 0.0, std::nullopt}};
    configuration.workspaces = {{"gates", {"k1"}, std::nullopt, {}},
                                {"urgent", {"k2"}, 0, {}},
                                {"abroad", {"k3"}, std::nullopt, {"there"}}};
    return configuration;
}

} // namespace

RouterHarness::RouterHarness(const std::string &zone, const std::string &name)
    : router({zone,
              {{"north", "here"}, {"south", "here"}, {"far", "there"}},
              1,
              {0.2, 58.0, seconds(10)},
              name})
{ }

void RouterHarness::publish()
{
    this->state.revision.number += 1;
    this->handle(FleetStateChanged {std::make_shared<FleetState>(this->state)});
}

void RouterHarness::configure()
{
    this->state.routeTable = std::make_shared<RouteTable>(sampleConfiguration());
    this->publish();
}

void RouterHarness::addEngine(const std::string &id, const std::string &zone)
{
    this->state.upstreams[id] = {id, "models", "10.0.0.1:" + id.substr(1), zone, 24, false, {}, 1};
    this->publish();
}

void RouterHarness::addPlainUpstream(const std::string &id, const std::string &zone)
{
    this->state.upstreams[id] = {id, "desk", "10.0.1.1:" + id.substr(1), zone, 6, false, {}, 1};
    this->publish();
}

void RouterHarness::setDraining(const std::string &id)
{
    this->state.upstreams.at(id).draining = true;
    this->publish();
}

void RouterHarness::remove(const std::string &id)
{
    this->state.upstreams.erase(id);
    this->publish();
}

void RouterHarness::restart(const std::string &id)
{
    this->state.upstreams.at(id).incarnation += 1;
    this->publish();
}

void RouterHarness::setCold(const std::string &id, milliseconds left)
{
    this->state.upstreams.at(id).coldTimeLeft = left;
    this->publish();
}

void RouterHarness::evacuateZone(const std::string &zone)
{
    this->state.evacuatedZones.insert(zone);
    this->publish();
}

RequestId RouterHarness::sendRequest(const std::string &path, const std::string &key,
                                     const std::string &body, const std::vector<PromptPart> &parts)
{
    this->lastRequest += 1;
    auto request = std::make_shared<RoutedRequest>();
    request->callerRequestId = "c" + std::to_string(this->lastRequest);
    request->host = "shop.example:80";
    request->method = "POST";
    request->target = path;
    request->path = path;
    request->key = key;
    request->body = body.empty() ? request->callerRequestId : body;
    request->promptParts = parts;
    const bool engine = path.rfind("/long/", 0) == 0 || path.rfind("/short/", 0) == 0;
    request->promptTokens = engine ? longPrompt : 0;
    request->maxOutputTokens = engine ? 2'204 : 0;
    this->handle(RequestArrived {this->lastRequest, request});
    return this->lastRequest;
}

void RouterHarness::handle(const RouterEvent &event)
{
    for (RouterEffect &effect : this->router.handle(event, this->time)) {
        if (const auto *start = std::get_if<StartAttempt>(&effect)) {
            this->started.push_back(start->attempt);
        }
        this->effects.push_back(std::move(effect));
    }
}

void RouterHarness::advanceTime(milliseconds passed)
{
    const Instant until = this->time + passed;
    while (this->time < until) {
        this->time = std::min(until, this->time + Router::tickInterval);
        this->handle(TimePassed {});
    }
}

AttemptId RouterHarness::currentAttempt(RequestId request) const
{
    AttemptId found {request, 0};
    for (const AttemptId &each : this->started) {
        if (each.request == request) {
            found = each;
        }
    }
    return found;
}

void RouterHarness::receiveStreamHead(RequestId request)
{
    ResponseHead head;
    head.status = 200;
    head.authentic = true;
    head.eventStream = true;
    this->handle(HeadArrived {this->currentAttempt(request), head});
}

void RouterHarness::receiveEvents(RequestId request, std::uint32_t count)
{
    static constexpr std::uint64_t unknownId = 0;
    std::uint64_t lastId = unknownId;
    for (const RouterEffect &effect : this->effects) {
        if (const auto *start = std::get_if<StartAttempt>(&effect)) {
            if (start->attempt == this->currentAttempt(request)) {
                lastId = start->plan.resumeAfterEvent.value_or(0);
            }
        }
    }
    this->handle(EventsArrived {this->currentAttempt(request), count, lastId + count});
}

void RouterHarness::endAttempt(RequestId request, AttemptEnd end, int status, bool notRun)
{
    const AttemptId attempt = this->currentAttempt(request);
    if (status != 0) {
        ResponseHead head;
        head.status = status;
        head.authentic = !notRun;
        head.notRun = notRun;
        this->handle(HeadArrived {attempt, head});
    }
    this->handle(AttemptEnded {attempt, end, "played"});
}

void RouterHarness::respondToMigration(RequestId request, bool final, MigrationStatus status,
                                       const std::string &handle)
{
    this->handle(
        MigrationResponseArrived {this->currentAttempt(request), final, {status, handle, 0}});
}

std::string RouterHarness::lastUpstream() const
{
    const auto start = this->lastEffect<StartAttempt>();
    return start ? start->plan.upstream.id : "none";
}

int RouterHarness::lastReplyStatus() const
{
    const auto reply = this->lastEffect<SendLocalReply>();
    return reply ? reply->reply.status : 0;
}

} // namespace azurespindle::tests
