#include "platform.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>

#include <algorithm>

namespace review {
namespace {

using nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusMisdirected = 421;
constexpr int statusUnavailable = 503;
constexpr double pollMs = 5.0;
const std::map<std::string, std::string> jsonHeaders {{"Content-Type", "application/json"}};

std::string base64(const std::string &bytes)
{
    using namespace boost::archive::iterators;
    using Encoder = base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
    std::string text(Encoder(bytes.begin()), Encoder(bytes.end()));
    text.append((3 - bytes.size() % 3) % 3, '=');
    return text;
}

/// Refuses a request that expects another server. \return true if it does.
bool refusedAsMisdirected(const HttpMessage &request, const Connection &connection,
                          const ServerEntry &entry, Arrival &arrival)
{
    const std::string expected = request.header("azurespindle-expected-instance");
    arrival.misdirected = !expected.empty() && expected != entry.id;
    if (arrival.misdirected) {
        connection.respond(statusMisdirected,
                           {{"Azurespindle-Attempt-Id", arrival.id},
                            {"Azurespindle-Instance-Id", entry.id},
                            {"Azurespindle-Not-Executed", "1"}},
                           "");
    }
    return arrival.misdirected;
}

std::map<std::string, std::string> sealed(const std::string &attemptId, const std::string &server)
{
    return {{"Azurespindle-Attempt-Id", attemptId},
            {"Azurespindle-Server-Seal", "seal." + server + "." + attemptId}};
}

} // namespace

Store::Store()
{
    this->server = std::make_unique<HttpServer>(
        [this](const HttpMessage &request, const Connection &connection) {
            this->answer(request, connection);
        });
}

double Store::put(const std::string &key, const json &value)
{
    return this->append(key, value.dump(), false);
}

double Store::remove(const std::string &key)
{
    return this->append(key, "", true);
}

void Store::removeLapsed(const std::vector<std::string> &keys)
{
    const std::lock_guard lock(this->mutex);
    for (const std::string &key : keys) {
        this->changes.push_back({key, "", this->changes.size() + 2, true});
    }
    this->changed.notify_all();
}

double Store::append(const std::string &key, const std::string &value, bool deleted)
{
    const std::lock_guard lock(this->mutex);
    this->changes.push_back({key, value, this->changes.size() + 2, deleted});
    this->changed.notify_all();
    return nowMs();
}

std::string Store::list() const
{
    std::map<std::string, Change> latest;
    for (const Change &change : this->changes) {
        latest[change.key] = change;
    }
    json items = json::array();
    for (const auto &[key, change] : latest) {
        if (!change.deleted) {
            items.push_back({{"key", key},
                             {"value", base64(change.value)},
                             {"revision", change.revision},
                             {"created", change.revision},
                             {"lease", 0}});
        }
    }
    return json {{"items", items}, {"has_more", false}, {"at", this->changes.size() + 1}}.dump();
}

std::string Store::changesAfter(std::uint64_t revision) const
{
    json events = json::array();
    for (const Change &change : this->changes) {
        if (change.revision <= revision) {
            continue;
        }
        if (change.deleted) {
            events.push_back(
                {{"key", change.key}, {"revision", change.revision}, {"deleted", true}});
        } else {
            events.push_back({{"key", change.key},
                              {"value", base64(change.value)},
                              {"revision", change.revision},
                              {"created", change.revision},
                              {"lease", 0}});
        }
    }
    return json {{"events", events}, {"at", this->changes.size() + 1}}.dump();
}

void Store::answer(const HttpMessage &request, const Connection &connection)
{
    std::unique_lock lock(this->mutex);
    std::string body;
    if (request.path == "/v1/kv-watch") {
        const std::uint64_t after = std::stoull(request.query.at("after"));
        const milliseconds wait(std::stoll(request.query.at("wait_ms")));
        this->changed.wait_for(lock, wait, [&] { return this->changes.size() + 1 > after; });
        body = this->changesAfter(after);
    } else {
        body = this->list();
    }
    lock.unlock();
    connection.respond(statusOk, jsonHeaders, body);
}

void Arrivals::add(const Arrival &arrival)
{
    {
        const std::lock_guard lock(this->mutex);
        this->list.push_back(arrival);
    }
    this->record.line("server " + arrival.server + (arrival.misdirected ? " got (421) " : " got ")
                      + arrival.target + " id " + arrival.id);
}

std::vector<Arrival> Arrivals::all() const
{
    const std::lock_guard lock(this->mutex);
    return this->list;
}

json entryOf(const ServerEntry &entry, const std::string &address, bool draining)
{
    const auto wallClock = std::chrono::system_clock::now().time_since_epoch();
    const auto born
        = static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(wallClock).count());
    return {{"service", entry.service},
            {"address", address},
            {"zone", entry.zone},
            {"version", "v1"},
            {"slots", entry.slots},
            {"state", draining ? "draining" : "ready"},
            {"cold_left_ms", entry.coldMs},
            {"born", born},
            {"sequence", 1}};
}

PlainServer::PlainServer(ServerEntry entry, double workMs, Arrivals &arrivals, std::uint16_t port)
    : entry(std::move(entry)), workMs(workMs), arrivals(arrivals)
{
    this->server = std::make_unique<HttpServer>(
        [this](const HttpMessage &request, const Connection &connection) {
            this->answer(request, connection);
        },
        port);
}

void PlainServer::crashOn(const std::string &text, std::function<void()> callback)
{
    this->deadlyText = text;
    this->onCrash = std::move(callback);
}

void PlainServer::crash()
{
    this->dead = true;
    this->server->stop();
}

json PlainServer::registration() const
{
    return entryOf(this->entry, this->server->address(), false);
}

void PlainServer::answer(const HttpMessage &request, const Connection &connection)
{
    Arrival arrival {nowMs(), request.header("azurespindle-attempt-id"), request.target,
                     this->entry.id};
    const bool refused = refusedAsMisdirected(request, connection, this->entry, arrival);
    this->arrivals.add(arrival);
    if (refused) {
        return;
    }
    if (!this->deadlyText.empty() && request.target.find(this->deadlyText) != std::string::npos) {
        if (!this->dead.exchange(true)) {
            this->onCrash();
        }
        return;
    }
    const double end = nowMs() + this->workMs;
    while (nowMs() < end && !this->dead) {
        sleepMs(std::min(pollMs, std::max(0.1, end - nowMs())));
    }
    if (!this->dead) {
        connection.respond(statusOk, sealed(arrival.id, this->entry.id), "by " + this->entry.id);
    }
}

void Copies::keep(const std::string &location, std::uint64_t events)
{
    const std::lock_guard lock(this->mutex);
    this->created[location] = events;
}

std::optional<std::uint64_t> Copies::take(const std::string &location)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->created.find(location);
    if (found == this->created.end()) {
        return std::nullopt;
    }
    const std::uint64_t events = found->second;
    this->created.erase(found);
    return events;
}

Engine::Engine(ServerEntry entry, EngineTimes times, Arrivals &arrivals, Copies &copies)
    : entry(std::move(entry)), times(times), arrivals(arrivals), copies(copies),
      firstTokenMs(times.firstToken)
{
    this->server = std::make_unique<HttpServer>(
        [this](const HttpMessage &request, const Connection &connection) {
            this->answer(request, connection);
        });
}

void Engine::drain(double leavesMs)
{
    this->exitsAt = nowMs() + leavesMs;
}

json Engine::registration() const
{
    json registered = entryOf(this->entry, this->server->address(), this->exitsAt > 0.0);
    registered["phase"] = "unified";
    registered["models"]
        = json::array({{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}});
    return registered;
}

double Engine::workedUntil(const std::string &id) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->workEnds.find(id);
    return found == this->workEnds.end() ? 0.0 : found->second;
}

std::size_t Engine::running() const
{
    const std::lock_guard lock(this->mutex);
    return this->runs.size();
}

void Engine::answer(const HttpMessage &request, const Connection &connection)
{
    if (request.path == "/v1/kv-move") {
        this->move(request, connection);
    } else if (request.path == "/v1/report") {
        json report {{"phase", "unified"}, {"state", this->exitsAt > 0.0 ? "draining" : "ready"}};
        if (this->exitsAt > 0.0) {
            report["leaves_ms"] = std::max(0.0, this->exitsAt - nowMs());
        }
        connection.respond(statusOk, jsonHeaders, report.dump());
    } else if (request.path.rfind("/v1/", 0) == 0) {
        connection.respond(statusOk, jsonHeaders, "{}");
    } else {
        this->run(request, connection);
    }
}

std::shared_ptr<Engine::Run> Engine::admit(const std::string &id, bool continues,
                                           const Connection &connection)
{
    std::unique_lock lock(this->mutex);
    const std::pair own(!continues, this->lastWaiting += 1);
    this->waiting.insert(own);
    const auto isNext
        = [&] { return this->runs.size() < this->entry.slots && *this->waiting.begin() == own; };
    while (!isNext() && !connection.closed()) {
        lock.unlock();
        sleepMs(pollMs);
        lock.lock();
    }
    const bool admitted = isNext();
    this->waiting.erase(own);
    if (!admitted) {
        return nullptr;
    }
    auto run = std::make_shared<Run>();
    this->runs[id] = run;
    return run;
}

void Engine::end(const std::string &id, const std::shared_ptr<Run> &run)
{
    const std::lock_guard lock(this->mutex);
    const auto own = this->runs.find(id);
    if (own != this->runs.end() && own->second == run) {
        this->runs.erase(own);
    }
}

void Engine::run(const HttpMessage &request, const Connection &connection)
{
    const std::string source = request.header("kv-from");
    Arrival arrival {nowMs(), request.header("azurespindle-attempt-id"),
                     request.target + (source.empty() ? "" : " kv-from " + source), this->entry.id};
    const bool misdirected = refusedAsMisdirected(request, connection, this->entry, arrival);
    this->arrivals.add(arrival);
    if (misdirected) {
        return;
    }
    const std::shared_ptr<Run> run = this->admit(arrival.id, !source.empty(), connection);
    if (run == nullptr) {
        return;
    }
    const bool continues = !source.empty() && this->copies.take(source);
    const double turnAt = nowMs()
        + (source.empty()  ? this->firstTokenMs.load()
               : continues ? this->times.admit
                           : this->times.refuse);
    while (nowMs() < turnAt && (this->ignoresClose || !connection.closed())) {
        sleepMs(pollMs);
    }
    if (source.empty() || continues) {
        this->stream(request, connection, *run);
    } else {
        connection.respond(
            statusUnavailable,
            {{"Azurespindle-Attempt-Id", arrival.id}, {"Azurespindle-Not-Executed", "1"}}, "");
    }
    this->end(arrival.id, run);
}

void Engine::stream(const HttpMessage &request, const Connection &connection, Run &run)
{
    const std::string id = request.header("azurespindle-attempt-id");
    const std::uint64_t total = std::stoull(request.path.substr(request.path.rfind('/') + 1));
    const std::string last = request.header("last-event-id");
    const std::string backup = request.header("azurespindle-kv-backup");
    const std::string copy = backup + "/" + id;
    {
        const std::lock_guard lock(this->mutex);
        run.created = last.empty() ? 0 : std::stoull(last);
        run.started = true;
    }
    const bool begun = connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                       "Azurespindle-Attempt-Id: "
                                       + id + "\r\nAzurespindle-Server-Seal: seal." + this->entry.id
                                       + "." + id + "\r\nTransfer-Encoding: chunked\r\n\r\n");
    bool open = begun || this->ignoresClose;
    double backedUpAt = nowMs();
    bool complete = false;
    while (open) {
        sleepMs(this->times.event);
        std::uint64_t number = 0;
        {
            const std::lock_guard lock(this->mutex);
            complete = run.created >= total;
            if (run.stopped || complete) {
                break;
            }
            number = run.created += 1;
        }
        if (!backup.empty() && nowMs() - backedUpAt >= this->times.backUp) {
            backedUpAt = nowMs();
            this->copies.keep(copy, number);
        }
        std::string event = "id: ";
        event.append(std::to_string(number))
            .append("\ndata: ")
            .append(id)
            .append(":")
            .append(std::to_string(number))
            .append("\n\n");
        open = (connection.sendChunk(event) && !connection.closed()) || this->ignoresClose;
        const std::lock_guard lock(this->mutex);
        this->workEnds[id] = nowMs();
    }
    if (complete) {
        this->copies.take(copy);
        connection.send("0\r\n\r\n");
    }
}

void Engine::move(const HttpMessage &request, const Connection &connection)
{
    const json asked = json::parse(request.body);
    const std::string id = asked.at("id");
    const std::lock_guard inTurn(this->link);
    std::uint64_t created = 0;
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->runs.find(id);
        if (found == this->runs.end() || !found->second->started) {
            connection.respond(statusNotFound, jsonHeaders, "{}");
            return;
        }
        found->second->stopped = found->second->stopped || asked.at("final").get<bool>();
        created = found->second->created;
    }
    sleepMs(this->times.move);
    const std::string handle = "copy-" + id;
    this->copies.keep(this->server->address() + "/" + handle, created);
    connection.respond(statusOk, jsonHeaders,
                       json {{"kv_handle", handle}, {"created", created}}.dump());
}

} // namespace review
