#include "platform/fake_platform.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace azurespindle::tests {
namespace {

using nlohmann::json;

constexpr milliseconds storeInterval {10};
constexpr milliseconds serviceInterval {5};
const http::Headers jsonHeaders {{"content-type", "application/json"}};

std::string encodeBase64(const std::string &bytes)
{
    using namespace boost::archive::iterators;
    using Encoder = base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
    std::string text(Encoder(bytes.begin()), Encoder(bytes.end()));
    text.append((3 - bytes.size() % 3) % 3, '=');
    return text;
}

std::string headerField(const http::ServerRequest &request, const std::string &name)
{
    return request.header(name);
}

/// Copy of a generation that an engine holds for another one.
struct Copy
{
    std::uint64_t generated = 0;
    std::uint64_t total = 0;
};
std::mutex copiesMutex;
std::map<std::string, Copy> copies; ///< Keyed by engine address and handle.

std::string eventText(std::uint64_t number, const std::string &requestId)
{
    return "id: " + std::to_string(number) + "\ndata: " + requestId + ":" + std::to_string(number)
        + "\n\n";
}

} // namespace

// Store -----------------------------------------------------------------------------------------

FakeStore::FakeStore(std::uint16_t port)
    : server({"127.0.0.1", port}, {}, 1,
             [this](const http::ServerRequest &request, const http::ExchangePtr &exchange) {
                 this->answer(request, exchange);
             })
{
    if (this->server.start()) {
        throw std::runtime_error("port of the fake store is in use");
    }
    this->timers.subscribe(storeInterval, [this] { this->answerWatches(); });
    this->timers.start();
}

void FakeStore::put(const std::string &key, const std::string &value)
{
    {
        const std::lock_guard lock(this->mutex);
        this->revision += 1;
        this->items[key] = {value, this->revision, false};
    }
    this->answerWatches();
}

void FakeStore::remove(const std::string &key)
{
    {
        const std::lock_guard lock(this->mutex);
        this->revision += 1;
        this->items[key] = {"", this->revision, true};
    }
    this->answerWatches();
}

void FakeStore::compactHistory()
{
    const std::lock_guard lock(this->mutex);
    this->compactedRevision = this->revision;
    for (const Watch &watch : this->watches) {
        watch.exchange->abort();
    }
    this->watches.clear();
}

void FakeStore::stateEra()
{
    const std::lock_guard lock(this->mutex);
    this->era = 1;
}

void FakeStore::takeCopy()
{
    const std::lock_guard lock(this->mutex);
    this->copiedItems = this->items;
    this->copiedRevision = this->revision;
}

void FakeStore::comeBackFromCopy()
{
    const std::lock_guard lock(this->mutex);
    for (const auto &[key, item] : this->items) {
        if (item.revision > this->copiedRevision) {
            this->lostItems[key] = item;
        }
    }
    this->items = this->copiedItems;
    this->revision = this->copiedRevision;
    this->compactedRevision = 0;
    this->era += 1;
    for (const Watch &watch : this->watches) {
        watch.exchange->abort();
    }
    this->watches.clear();
}

void FakeStore::writeAgain()
{
    {
        const std::lock_guard lock(this->mutex);
        for (const auto &[key, lost] : std::exchange(this->lostItems, {})) {
            const auto found = this->items.find(key);
            if (found == this->items.end() || found->second.revision <= this->copiedRevision) {
                this->revision += 1;
                this->items[key] = {lost.value, this->revision, lost.deleted};
            }
        }
    }
    this->answerWatches();
}

http::Headers FakeStore::head() const
{
    http::Headers headers = jsonHeaders;
    if (this->era != 0) {
        headers["store-era"] = std::to_string(this->era);
    }
    return headers;
}

std::string FakeStore::changesAfter(std::uint64_t after) const
{
    json events = json::array();
    for (const auto &[key, item] : this->items) {
        if (item.revision > after && item.deleted) {
            events.push_back({{"key", key}, {"revision", item.revision}, {"deleted", true}});
        } else if (item.revision > after) {
            events.push_back(
                {{"key", key}, {"revision", item.revision}, {"value", encodeBase64(item.value)}});
        }
    }
    const bool none = events.empty();
    return none ? "" : json {{"events", events}, {"at", this->revision}}.dump();
}

void FakeStore::answerWatches()
{
    const std::lock_guard lock(this->mutex);
    const auto isAnswered = [this](const Watch &watch) {
        if (this->failureStatus != 0) {
            watch.exchange->respond(this->failureStatus, this->head(), "{}");
            return true;
        }
        const std::string changes = this->changesAfter(watch.after);
        if (!changes.empty()) {
            watch.exchange->respond(200, this->head(), changes);
            return true;
        }
        if (monotonicNow() >= watch.until) {
            watch.exchange->respond(
                200, this->head(), json {{"events", json::array()}, {"at", this->revision}}.dump());
            return true;
        }
        return false;
    };
    this->watches.erase(std::remove_if(this->watches.begin(), this->watches.end(), isAnswered),
                        this->watches.end());
}

void FakeStore::answer(const http::ServerRequest &request, const http::ExchangePtr &exchange)
{
    this->callCount += 1;
    if (this->failureStatus != 0) {
        const std::lock_guard lock(this->mutex);
        exchange->respond(this->failureStatus, this->head(), "{}");
        return;
    }
    if (request.path == "/v1/kv-watch") {
        const std::uint64_t after = std::stoull(request.queryField("after"));
        const milliseconds wait(std::stoll(request.queryField("wait_ms")));
        {
            const std::lock_guard lock(this->mutex);
            if (after < this->compactedRevision || after > this->revision) {
                exchange->respond(410, this->head(), "{}");
                return;
            }
            this->watches.push_back({after, monotonicNow() + wait, exchange});
        }
        this->answerWatches();
        return;
    }
    const std::lock_guard lock(this->mutex);
    json listed = json::array();
    for (const auto &[key, item] : this->items) {
        if (!item.deleted) {
            listed.push_back(
                {{"key", key}, {"revision", item.revision}, {"value", encodeBase64(item.value)}});
        }
    }
    const json answer {{"items", listed}, {"has_more", false}, {"at", this->revision}};
    exchange->respond(200, this->head(), answer.dump());
}

// Engine ----------------------------------------------------------------------------------------

FakeEngine::FakeEngine(std::string id, std::uint16_t port, milliseconds eventInterval)
    : id(std::move(id)), port(port),
      server(std::make_unique<http::Server>(
          settings::Address {"127.0.0.1", port}, settings::CallerLimits {}, 1,
          [this](const http::ServerRequest &request, const http::ExchangePtr &exchange) {
              this->answer(request, exchange);
          }))
{
    if (this->server->start()) {
        throw std::runtime_error("port of a fake engine is in use");
    }
    this->timers.subscribe(eventInterval, [this] { this->tick(); });
    this->timers.start();
}

FakeEngine::~FakeEngine()
{
    this->timers.stop();
    this->server->stop();
}

std::string FakeEngine::address() const
{
    return this->advertisedAddress.empty() ? "127.0.0.1:" + std::to_string(this->port)
                                           : this->advertisedAddress;
}

std::string FakeEngine::registration(bool draining) const
{
    return json {{"service", "models"},
                 {"address", this->address()},
                 {"zone", this->zone},
                 {"slots", 24},
                 {"state", draining ? "draining" : "ready"},
                 {"cold_left_ms", 0},
                 {"born", 100 + this->port},
                 {"sequence", draining ? 2 : 1}}
        .dump();
}

std::size_t FakeEngine::runs(const std::string &requestId) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->runCounts.find(requestId);
    return found == this->runCounts.end() ? 0 : found->second;
}

bool FakeEngine::finishedBy(const std::string &requestId, Instant time) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->finishTimes.find(requestId);
    return found != this->finishTimes.end() && found->second <= time;
}

std::size_t FakeEngine::running() const
{
    const std::lock_guard lock(this->mutex);
    return this->runningRequests.size();
}

void FakeEngine::crash()
{
    this->crashed = true;
    {
        const std::lock_guard lock(this->mutex);
        while (!this->runningRequests.empty()) {
            const auto run = this->runningRequests.begin();
            run->second.exchange->abort();
            this->endRun(run->first);
        }
    }
    std::this_thread::sleep_for(milliseconds(20));
    this->server->stop();
}

std::vector<EngineWork> FakeEngine::works() const
{
    const std::lock_guard lock(this->mutex);
    return this->workSpans;
}

void FakeEngine::endRun(const std::string &requestId)
{
    const auto run = this->runningRequests.find(requestId);
    if (run != this->runningRequests.end()) {
        this->workSpans[run->second.work].ended = monotonicNow();
        this->runningRequests.erase(run);
    }
}

void FakeEngine::sendHead(const std::string &requestId, Run &run) const
{
    run.headSent = true;
    run.exchange->beginStream(200,
                              {{"content-type", "text/event-stream"},
                               {"azurespindle-attempt-id", requestId},
                               {"azurespindle-server-seal", "seal-of-" + this->id}});
}

void FakeEngine::finishCopies()
{
    const Instant now = monotonicNow();
    for (const PendingCopy &copy : this->pendingCopies) {
        if (copy.doneAt > now) {
            continue;
        }
        {
            const std::lock_guard copiesLock(copiesMutex);
            copies[copy.location] = {copy.generated, copy.total};
        }
        const std::string handle = copy.location.substr(copy.location.rfind('/') + 1);
        copy.exchange->respond(200, jsonHeaders,
                               json {{"kv_handle", handle}, {"created", copy.generated}}.dump());
    }
    std::erase_if(this->pendingCopies,
                  [now](const PendingCopy &copy) { return copy.doneAt <= now; });
}

void FakeEngine::tick()
{
    const std::lock_guard lock(this->mutex);
    if (this->crashed) {
        return;
    }
    this->finishCopies();
    if (this->stalled || this->mute) {
        return;
    }
    std::vector<std::string> finished;
    for (auto &[requestId, run] : this->runningRequests) {
        if (run.startsAt > monotonicNow()) {
            continue;
        }
        if (!run.headSent) {
            this->sendHead(requestId, run);
        }
        run.generated += 1;
        run.exchange->send(eventText(run.generated, requestId));
        if (!run.backup.empty()) {
            const std::lock_guard copiesLock(copiesMutex);
            copies[run.backup + "/" + requestId] = {run.generated - 1, run.total};
        }
        if (run.generated >= run.total) {
            finished.push_back(requestId);
        }
    }
    for (const std::string &requestId : finished) {
        this->runningRequests.at(requestId).exchange->finish();
        this->finishTimes[requestId] = monotonicNow();
        this->endRun(requestId);
    }
}

void FakeEngine::answer(const http::ServerRequest &request, const http::ExchangePtr &exchange)
{
    if (this->crashed) {
        exchange->abort();
    } else if (request.path == "/v1/kv-move") {
        this->migrate(request, exchange);
    } else if (request.path == "/v1/report") {
        json report {{"state", this->timeToShutdownMs > 0 ? "draining" : "ready"}};
        if (this->timeToShutdownMs > 0) {
            report["leaves_ms"] = this->timeToShutdownMs.load();
        }
        exchange->respond(200, jsonHeaders, report.dump());
    } else if (request.path.rfind("/v1/", 0) == 0) {
        exchange->respond(200, jsonHeaders, "{}");
    } else {
        this->startRun(request, exchange);
    }
}

void FakeEngine::startRun(const http::ServerRequest &request, const http::ExchangePtr &exchange)
{
    const std::string requestId = headerField(request, "azurespindle-attempt-id");
    if (headerField(request, "azurespindle-expected-instance") != this->id) {
        exchange->respond(421, {{"azurespindle-attempt-id", requestId}}, "");
        return;
    }
    this->lastArrivalUs = monotonicNow().time_since_epoch().count();
    Run run;
    run.exchange = exchange;
    run.backup = headerField(request, "azurespindle-kv-backup");
    const std::size_t equals = request.body.find('=');
    run.total = equals == std::string::npos ? 1 : std::stoull(request.body.substr(equals + 1));
    const std::string source = headerField(request, "kv-from");
    if (!source.empty()) {
        const std::lock_guard copiesLock(copiesMutex);
        const auto copy = copies.find(source);
        if (copy == copies.end()) {
            exchange->respond(
                503, {{"azurespindle-not-executed", "1"}, {"azurespindle-attempt-id", requestId}},
                "");
            return;
        }
        copies.erase(copy);
        this->takeoverCount += 1;
    }
    const std::string last = headerField(request, "last-event-id");
    run.generated = last.empty() ? 0 : std::stoull(last);
    this->startCount += 1;
    run.startsAt = monotonicNow() + this->traits.startDelay;
    {
        const std::lock_guard lock(this->mutex);
        this->endRun(requestId);
        if (!this->mute && this->traits.startDelay.count() == 0) {
            this->sendHead(requestId, run);
        }
        run.work = this->workSpans.size();
        this->workSpans.push_back({requestId, monotonicNow(), {}});
        this->runCounts[requestId] += source.empty() && last.empty() ? 1 : 0;
        this->runningRequests[requestId] = run;
    }
    if (this->traits.ignoresClosedConnections) {
        return;
    }
    const std::weak_ptr<http::Exchange> weak = exchange;
    exchange->onDisconnected([this, requestId, weak] {
        const std::lock_guard lock(this->mutex);
        const auto running = this->runningRequests.find(requestId);
        const bool isThisRun
            = running != this->runningRequests.end() && running->second.exchange == weak.lock();
        if (isThisRun) {
            this->endRun(requestId);
        }
    });
}

void FakeEngine::migrate(const http::ServerRequest &request, const http::ExchangePtr &exchange)
{
    const json migration = json::parse(request.body);
    const std::string requestId = migration.at("id");
    const std::lock_guard lock(this->mutex);
    const auto run = this->runningRequests.find(requestId);
    if (run == this->runningRequests.end()) {
        exchange->respond(404, jsonHeaders, "{}");
        return;
    }
    const bool inProgress
        = std::any_of(this->pendingCopies.begin(), this->pendingCopies.end(),
                      [&](const PendingCopy &copy) { return copy.requestId == requestId; });
    if (inProgress) {
        exchange->respond(409, jsonHeaders, "{}");
        return;
    }
    this->pendingCopies.push_back({requestId, this->address() + "/copy-of-" + requestId,
                                   run->second.generated, run->second.total,
                                   monotonicNow() + this->traits.copyTime, exchange});
    if (migration.at("final").get<bool>()) {
        run->second.exchange->abort();
        this->endRun(requestId);
    }
    this->finishCopies();
}

// Service without a model ----------------------------------------------------------------------

FakeService::FakeService(std::string id, std::uint16_t port)
    : id(std::move(id)), port(port),
      server({"127.0.0.1", port}, {}, 1,
             [this](const http::ServerRequest &request, const http::ExchangePtr &exchange) {
                 this->answer(request, exchange);
             })
{
    if (this->server.start()) {
        throw std::runtime_error("port of a fake service is in use");
    }
    this->timers.subscribe(serviceInterval, [this] { this->finishDue(); });
    this->timers.start();
}

std::string FakeService::registration(bool draining) const
{
    return json {{"service", "desk"},
                 {"address",
                  this->advertisedAddress.empty() ? "127.0.0.1:" + std::to_string(this->port)
                                                  : this->advertisedAddress},
                 {"zone", "north"},
                 {"slots", 6},
                 {"state", draining ? "draining" : "ready"},
                 {"cold_left_ms", 0},
                 {"born", 100 + this->port},
                 {"sequence", draining ? 2 : 1}}
        .dump();
}

std::size_t FakeService::runs(const std::string &requestId) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->runCounts.find(requestId);
    return found == this->runCounts.end() ? 0 : found->second;
}

bool FakeService::finishedBy(const std::string &requestId, Instant time) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->finishTimes.find(requestId);
    return found != this->finishTimes.end() && found->second <= time;
}

bool FakeService::hungOn(const std::string &requestId) const
{
    const std::lock_guard lock(this->mutex);
    return this->hangingExchanges.count(requestId) > 0;
}

std::size_t FakeService::totalRuns() const
{
    const std::lock_guard lock(this->mutex);
    std::size_t total = 0;
    for (const auto &[requestId, count] : this->runCounts) {
        total += count;
    }
    return total;
}

std::size_t FakeService::mostArrivalsWithin(milliseconds window, Instant since) const
{
    const std::lock_guard lock(this->mutex);
    std::size_t most = 0;
    for (auto first = this->arrivals.begin(); first != this->arrivals.end(); ++first) {
        const auto end = std::lower_bound(first, this->arrivals.end(), *first + window);
        const auto count = static_cast<std::size_t>(end - first);
        most = *first >= since ? std::max(most, count) : most;
    }
    return most;
}

void FakeService::answer(const http::ServerRequest &request, const http::ExchangePtr &exchange)
{
    const std::string requestId = headerField(request, "azurespindle-attempt-id");
    if (this->behaviour == Behaviour::RejectsAsFull) {
        exchange->respond(
            503, {{"azurespindle-not-executed", "1"}, {"azurespindle-attempt-id", requestId}}, "");
        return;
    }
    const bool isAddressed = headerField(request, "azurespindle-expected-instance") == this->id;
    if (this->behaviour == Behaviour::RejectsAsMisdirected || !isAddressed) {
        exchange->respond(421, {{"azurespindle-attempt-id", requestId}}, "");
        return;
    }
    {
        const std::lock_guard lock(this->mutex);
        this->runCounts[requestId] += 1;
        this->arrivals.push_back(monotonicNow());
    }
    if (this->behaviour == Behaviour::DropsAnswer) {
        exchange->abort();
        return;
    }
    if (this->behaviour == Behaviour::Hangs) {
        exchange->onDisconnected([this] { this->disconnectCount += 1; });
        const std::lock_guard lock(this->mutex);
        this->hangingExchanges.emplace(requestId, exchange);
        return;
    }
    Work work {requestId,
               monotonicNow() + milliseconds(this->workTimeMs),
               exchange,
               this->behaviour == Behaviour::Fails ? 500 : 200,
               {{"azurespindle-attempt-id", requestId},
                {"azurespindle-server-seal", "seal-of-" + this->id},
                {"x-target", request.target}},
               "ran " + request.method + " " + request.target + " " + request.body};
    if (this->namedLimit > 0.0) {
        work.headers["server-limit"] = std::to_string(this->namedLimit);
    }
    const std::lock_guard lock(this->mutex);
    if (this->workTimeMs == 0) {
        this->finish(work);
        return;
    }
    exchange->onDisconnected([this, requestId] {
        const std::lock_guard lock(this->mutex);
        std::erase_if(this->works, [&](const Work &each) { return each.requestId == requestId; });
    });
    this->works.push_back(std::move(work));
}

void FakeService::finish(const Work &work)
{
    this->finishTimes[work.requestId] = monotonicNow();
    work.exchange->respond(work.status, work.headers, work.body);
}

void FakeService::finishDue()
{
    const std::lock_guard lock(this->mutex);
    const Instant now = monotonicNow();
    const auto due = std::stable_partition(this->works.begin(), this->works.end(),
                                           [now](const Work &work) { return work.until > now; });
    std::for_each(due, this->works.end(), [this](const Work &work) { this->finish(work); });
    this->works.erase(due, this->works.end());
}

std::string platformConfiguration(std::uint64_t version, const std::string &extraRoutes)
{
    const auto route = [](const std::string &name, const std::string &kind,
                          const std::string &service, const std::string &further) {
        return R"({"name":")" + name + R"(","host":"shop.example","path_prefix":"/)" + name
            + R"(/","route_kind":")" + kind + R"(","service":")" + service + "\"," + further + "}";
    };
    const std::string stream = R"("timeout_ms":20000,"target_latency_ms":1800,"priority":1,)"
                               R"("max_attempts":1,"target_itl_ms":180)";
    const std::string resumable = R"("timeout_ms":6000,"target_latency_ms":1500,"priority":0,)"
                                  R"("max_attempts":2,"resumable":true)";
    const std::string plain
        = R"("timeout_ms":1500,"target_latency_ms":150,"priority":2,"max_attempts":)";
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)"
        + route("draft", "streaming", "models", stream) + ","
        + route("check", "streaming", "models", resumable) + ","
        + route("order", "non_idempotent", "desk", plain + "1") + ","
        + route("look", "idempotent", "desk", plain + "2") + extraRoutes
        + R"(],"services":[{"name":"models","max_conns":252,"cold_per_s":27,"engine":{"slots":24,)"
          R"("kv_capacity":34000,"kv_bytes":262144,"link_mbps":38000,"moves":true,"backups":true,)"
          R"("stride":4,"kv_handle_s":5}},{"name":"desk","max_conns":110}],)"
          R"("limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,)"
          R"("idle_timeout_ms":15000},"tenants":[{"name":"gates","api_keys":["k1"]}]})";
}

} // namespace azurespindle::tests
