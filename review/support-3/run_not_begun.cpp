// A slow engine has not made the first token of a resumable stream when the process gives it up and
// sends the request to another engine. The slow engine, which does not notice closed connections,
// begins right after it was asked to stop the run.

#include "kit.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <sys/socket.h>
#include <unistd.h>

using namespace review3;

namespace {

constexpr double historySeconds = 20.0;
constexpr double settleSeconds = 4.0;
constexpr double usualStartSeconds = 0.575; ///< From a request's arrival to its first token.
constexpr double slowFactor = 4.0;          // srv_slow, x
constexpr double eventSeconds = 0.05;
constexpr int events = 30;
constexpr int engines = 7; ///< One of them is slow: srv_slow, share 0.15
constexpr int rounds = 6;
constexpr double roundSeconds = 6.0;
constexpr double allowedOverlapSeconds = 0.4; // TWICE: 400 ms later

const std::string key = "goodkey000000000000a";

/// A span of time in which an engine worked on a request.
struct Work
{
    std::string engine;
    std::string request;
    double arrived = 0.0;
    double began = 0.0;
    double ended = 0.0;
};

class Works
{
public:
    explicit Works(Record &record) : record(record) { }

    std::size_t begin(const std::string &engine, const std::string &request, double arrived)
    {
        const std::lock_guard lock(this->mutex);
        this->record.line(engine + " makes the first token of " + request);
        this->list.push_back({engine, request, arrived, seconds(), 0.0});
        return this->list.size() - 1;
    }
    void end(std::size_t index, const std::string &how)
    {
        const std::lock_guard lock(this->mutex);
        Work &work = this->list[index];
        work.ended = seconds();
        this->record.line(work.engine + " ends its work on " + work.request + ": " + how);
    }
    std::vector<Work> all()
    {
        const std::lock_guard lock(this->mutex);
        return this->list;
    }

private:
    Record &record;
    std::mutex mutex;
    std::vector<Work> list;
};

/// A model engine with kv-move. It works on when the connection of a run closes.
class Engine
{
public:
    Engine(std::string id, double startSeconds, Works &works, Record &record)
        : id(std::move(id)), startSeconds(startSeconds), works(works), record(record)
    { }

    std::string entry() const
    {
        return R"({"service":"drafter","address":")" + this->server.address()
            + R"(","zone":"waco-a","version":"v1","slots":24,"state":"ready","cold_left_ms":0,)"
            + R"("phase":"unified","models":[{"name":"m","version":1,"adapters":[]}],)"
            + R"("sequence":1,"born":1790000000000})";
    }

    const std::string id;

private:
    bool answer(int socket, const Request &request)
    {
        static const std::string json = "Content-Type: application/json\r\n";
        if (request.path == "/v1/kv-move") {
            return writeAll(socket, this->move(request));
        }
        if (request.path == "/v1/report") {
            return writeAll(socket, response(200, json, R"({"phase":"unified","state":"ready"})"));
        }
        if (request.method != "POST") {
            return writeAll(socket, response(200, json, "{}"));
        }
        const std::string attempt = request.header("azurespindle-attempt-id");
        const std::string head = "Azurespindle-Attempt-Id: " + attempt + "\r\n";
        const bool isMeant = request.header("azurespindle-expected-instance") == this->id;
        if (!isMeant || !request.header("kv-from").empty()) {
            const std::string notRun = head + "Azurespindle-Not-Executed: 1\r\n";
            return writeAll(socket, response(isMeant ? 503 : 421, notRun, ""));
        }
        this->run(socket, attempt);
        return false;
    }

    std::string move(const Request &request)
    {
        static const std::string json = "Content-Type: application/json\r\n";
        const std::string marker = R"("id":")";
        const std::size_t at = request.body.find(marker);
        const std::size_t begin = at == std::string::npos ? 0 : at + marker.size();
        const std::string attempt
            = request.body.substr(begin, request.body.find('"', begin) - begin);
        const bool final = request.body.find(R"("final":true)") != std::string::npos;
        const std::lock_guard lock(this->mutex);
        const auto run = this->running.find(attempt);
        this->record.line(this->id + " is asked to move " + attempt
                          + (final ? " and stop it: " : ": ")
                          + (run == this->running.end() ? "404, no such run exists" : "200"));
        if (run == this->running.end()) {
            return response(404, json, "{}");
        }
        *run->second = *run->second || final;
        return response(200, json, R"({"kv_handle":"h-)" + attempt + R"(","created":1})");
    }

    void run(int socket, const std::string &attempt)
    {
        const double arrived = seconds();
        this->record.line(this->id + " gets " + attempt);
        sleepSeconds(this->startSeconds);
        const auto stopped = std::make_shared<std::atomic<bool>>(false);
        {
            const std::lock_guard lock(this->mutex);
            this->running[attempt] = stopped;
        }
        const std::size_t work = this->works.begin(this->id, attempt, arrived);
        writeAll(socket,
                 "HTTP/1.1 200 OK\r\nAzurespindle-Attempt-Id: " + attempt
                     + "\r\nAzurespindle-Server-Seal: s1\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n");
        for (int event = 1; event <= events && !*stopped; ++event) {
            const std::string bytes = "id: " + std::to_string(event) + "\ndata: piece\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
            writeAll(socket, size + bytes + "\r\n");
            sleepSeconds(eventSeconds);
        }
        if (!*stopped) {
            writeAll(socket, "0\r\n\r\n");
        }
        {
            const std::lock_guard lock(this->mutex);
            this->running.erase(attempt);
        }
        this->works.end(work, *stopped ? "stopped" : "complete");
    }

    const double startSeconds;
    Works &works;
    Record &record;
    std::mutex mutex;
    std::map<std::string, std::shared_ptr<std::atomic<bool>>> running;
    HttpServer server {
        [this](int socket, const Request &request) { return this->answer(socket, request); }};
};

std::string configuration()
{
    return R"({"version":1,"routes":[{"name":"fit","host":"forge.example",)"
           R"("path_prefix":"/fit/","route_kind":"streaming","timeout_ms":6000,)"
           R"("target_latency_ms":1500,"priority":0,"service":"drafter","max_attempts":2,)"
           R"("public":false,"sticky":true,"resumable":true,"target_itl_ms":180}],)"
           R"("services":[{"name":"drafter","health_path":"/healthz","max_conns":252,)"
           R"("protocol":"h1","tls":false,"cold_start_s":1.0,"cold_per_s":27.0,)"
           R"("engine":{"slots":24,"kv_capacity":34218,"kv_bytes":262144,"link_mbps":38000.0,)"
           R"("moves":true,"backups":true,"stride":4,"most":12,"pin_ms":4000.0,)"
           R"("hold_ms":2000.0,"kv_handle_s":5.0,"models":[{"name":"m"}]}}],)"
           R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
           R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
           R"("tenants":[{"name":"ranch","api_keys":[")"
        + key + R"("]}]})";
}

std::string request(const std::string &id, int number)
{
    return "POST /fit/1 HTTP/1.1\r\nHost: forge.example\r\nAzurespindle-Deadline-Ms: 6000\r\n"
           "Azurespindle-Model: m\r\nAzurespindle-Token-Usage: 2200,120\r\n"
           "Azurespindle-Prompt-Prefix: 5c1e07a2:210,"
        + std::to_string(10'000 + number) + ":1990\r\nAzurespindle-Key: " + key
        + "\r\nAzurespindle-Attempt-Id: " + id + "\r\nContent-Length: 5\r\n\r\nhinge";
}

} // namespace

int main(int count, char **values)
{
    const Arguments arguments = readArguments(count, values);
    Record record(arguments.record);
    Works works(record);
    Store store(historySeconds);
    const double factor = troubled() ? slowFactor : 1.0;
    std::vector<std::unique_ptr<Engine>> fleet;
    for (int number = 0; number < engines; ++number) {
        const double startSeconds = usualStartSeconds * (number == 0 ? factor : 1.0);
        fleet.push_back(std::make_unique<Engine>("i-engine" + std::to_string(number), startSeconds,
                                                 works, record));
        store.put("servers/" + fleet.back()->id, fleet.back()->entry());
    }
    store.put("op/config", configuration());
    EntrySettings settings;
    settings.name = "edge-waco-a-1";
    settings.store = store.address();
    settings.callerPort = freePort();
    settings.readyPort = freePort();
    settings.memberPort = freePort();
    settings.metricsPort = freePort();
    settings.seeds = {"127.0.0.1:" + std::to_string(settings.memberPort)};
    Entry entry(settings, arguments.folder);
    entry.start();
    if (!entry.awaitReady(15.0)) {
        record.line("the process does not become ready");
        std::_Exit(CouldNotRun);
    }
    sleepSeconds(settleSeconds);
    for (int round = 0; round < rounds; ++round) {
        const double end = seconds() + roundSeconds;
        std::vector<std::thread> clients;
        clients.reserve(engines);
        for (int client = 0; client < engines; ++client) {
            clients.emplace_back([&, round, client] {
                const int number = round * engines + client;
                const std::string id = "fit-" + std::to_string(number);
                const Answer answer = call(settings.callerPort, request(id, number), 8.0);
                record.line(id + " is answered " + std::to_string(answer.status)
                            + (answer.complete ? ", complete" : ", incomplete"));
            });
        }
        for (std::thread &client : clients) {
            client.join();
        }
        sleepSeconds(std::max(0.0, end - seconds()));
    }
    sleepSeconds(3.0);
    entry.stop();
    int overlaps = 0;
    int begun = 0;
    const std::vector<Work> all = works.all();
    for (const Work &later : all) {
        begun += 1;
        for (const Work &before : all) {
            const double judgedAt = later.began + allowedOverlapSeconds;
            const bool same = before.request == later.request && before.arrived < later.arrived;
            if (same && before.began <= judgedAt
                && (before.ended == 0.0 || before.ended > judgedAt)) {
                record.line("TWICE: " + before.engine + " still works on " + before.request
                            + " 400 ms after " + later.engine + " went on with it");
                overlaps += 1;
            }
        }
    }
    record.line("runs: " + std::to_string(begun) + ", overlaps: " + std::to_string(overlaps));
    std::_Exit(begun == 0 ? CouldNotRun : overlaps > 0 ? Broken : Held);
}
