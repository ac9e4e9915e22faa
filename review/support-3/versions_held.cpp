// Configurations come in quick succession while drafts run. Each draft holds the version under
// which it began; together they must fit into the memory of the machine.

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
constexpr double stormGapSeconds = 0.33; // config_storm, gap_s
constexpr int stormVersions = 12;        // config_storm, for_s = 4 at that gap
constexpr double watchSeconds = 15.0;
constexpr int memoryMegabytes = 88; // memory_mb of the smallest machine
constexpr int orderConnections = 8;
constexpr int allowedLosses = 3;  // LOST: more than three times
constexpr int workspaces = 1'800; // Letter 1: in steady use.
constexpr int keysEach = 20;
constexpr std::size_t valueBytes = 1'048'576; // value_bytes
constexpr double eventSeconds = 0.15;
constexpr int events = 230; // As many as a draft has on average.
constexpr double placeSeconds = 0.3;

const std::string key = "goodkey000000000000a";

std::string route(const std::string &name, const std::string &kind, int timeout)
{
    return R"({"name":")" + name + R"(","host":"forge.example","path_prefix":"/)" + name
        + R"(/","route_kind":")" + kind + R"(","timeout_ms":)" + std::to_string(timeout)
        + R"(,"target_latency_ms":300,"priority":2,"service":"orderdesk","max_attempts":1,)"
        + R"("public":false,"sticky":false,"resumable":false})";
}

std::string configuration(int version)
{
    std::string routes
        = route("place", "non_idempotent", 3'000) + "," + route("draft", "streaming", 39'000);
    std::string tenants = R"({"name":"ranch","api_keys":[")" + key + R"("]})";
    for (int number = 0; number < workspaces; ++number) {
        tenants += R"(,{"name":"w)" + std::to_string(number) + R"(","api_keys":[)";
        for (int index = 0; index < keysEach; ++index) {
            const std::string digits = std::to_string(1'000'000 + number * keysEach + index);
            tenants += (index == 0 ? "\"" : ",\"") + digits + "wyhks8nbkxxmi\"";
        }
        tenants += "]}";
    }
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes
        + R"(],"services":[{"name":"orderdesk","health_path":"/healthz","max_conns":110,)"
        + R"("protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],)"
        + R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
        + R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)" + R"("tenants":[)" + tenants
        + "]}";
}

std::string request(const std::string &path, const std::string &id, int deadline)
{
    return "POST " + path + " HTTP/1.1\r\nHost: forge.example\r\nAzurespindle-Attempt-Id: " + id
        + "\r\nAzurespindle-Deadline-Ms: " + std::to_string(deadline)
        + "\r\nAzurespindle-Key: " + key + "\r\nContent-Length: 5\r\n\r\nhinge";
}

bool stream(int socket, const std::string &head)
{
    bool open = writeAll(socket,
                         "HTTP/1.1 200 OK\r\n" + head
                             + "Content-Type: text/event-stream\r\nTransfer-Encoding: "
                               "chunked\r\n\r\n");
    for (int event = 1; open && event <= events; ++event) {
        const std::string bytes = "id: " + std::to_string(event) + "\ndata: piece\n\n";
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
        open = writeAll(socket, size + bytes + "\r\n");
        sleepSeconds(eventSeconds);
    }
    return open && writeAll(socket, "0\r\n\r\n");
}

} // namespace

int main(int count, char **values)
{
    const Arguments arguments = readArguments(count, values);
    Record record(arguments.record);
    Store store(historySeconds);
    std::mutex mutex;
    std::map<std::string, bool> passedOn; ///< Orders that the server has begun to work on.
    const std::string id = "i-0000000001";
    HttpServer server([&](int socket, const Request &received) {
        const std::string attempt = received.header("azurespindle-attempt-id");
        const std::string head = "Azurespindle-Attempt-Id: " + attempt + "\r\n";
        if (received.header("azurespindle-expected-instance") != id) {
            return writeAll(socket, response(421, head + "Azurespindle-Not-Executed: 1\r\n", ""));
        }
        const std::string sealed = head + "Azurespindle-Server-Seal: s1\r\n";
        if (received.path.rfind("/draft/", 0) == 0) {
            return stream(socket, sealed);
        }
        {
            const std::lock_guard lock(mutex);
            passedOn[attempt] = true;
        }
        sleepSeconds(placeSeconds);
        return writeAll(socket, response(200, sealed, "done"));
    });
    const std::string first = configuration(1);
    if (first.size() + 16 > valueBytes) {
        record.line("the configuration is too large");
        std::_Exit(CouldNotRun);
    }
    store.put("op/config", first);
    store.put("servers/" + id,
              R"({"service":"orderdesk","address":")" + server.address()
                  + R"(","zone":"waco-a","version":"v1","slots":100,"state":"ready",)"
                  + R"("cold_left_ms":0,"sequence":1,"born":1790000000000})");
    EntrySettings settings;
    settings.name = "edge-waco-a-1";
    settings.store = store.address();
    settings.callerPort = freePort();
    settings.readyPort = freePort();
    settings.memberPort = freePort();
    settings.metricsPort = freePort();
    settings.memoryMegabytes = memoryMegabytes;
    settings.seeds = {"127.0.0.1:" + std::to_string(settings.memberPort)};
    Entry entry(settings, arguments.folder);
    entry.start();
    if (!entry.awaitReady(15.0)) {
        record.line("the process does not become ready");
        std::_Exit(CouldNotRun);
    }
    record.line("the process is ready, with a configuration of " + std::to_string(first.size())
                + " bytes");
    sleepSeconds(settleSeconds);

    std::atomic<bool> stop {false};
    std::atomic<int> lost {0};
    std::atomic<int> answered {0};
    std::atomic<int> drafts {0};
    std::atomic<int> draftsCut {0};
    std::vector<std::thread> clients;
    clients.reserve(orderConnections);
    for (int client = 0; client < orderConnections; ++client) {
        clients.emplace_back([&, client] {
            const int socket = connectTo(settings.callerPort);
            std::string buffer;
            for (int number = 0; !stop; ++number) {
                const std::string attempt
                    = "order-" + std::to_string(client) + "-" + std::to_string(number);
                const bool sent = writeAll(socket, request("/place/1", attempt, 3'000));
                const int status = sent ? readAnswer(socket, buffer) : 0;
                answered += status == 0 ? 0 : 1;
                if (status != 0) {
                    continue;
                }
                const std::lock_guard lock(mutex);
                const bool ran = passedOn.count(attempt) > 0;
                lost += ran ? 1 : 0;
                record.line(attempt + (ran ? ": passed on to the server" : ": not passed on")
                            + ", and its kept connection ended without an answer");
                return;
            }
        });
    }
    std::thread watcher([&] {
        int peak = 0;
        for (int round = 0; !stop; ++round) {
            sleepSeconds(0.02);
            const int resident = residentMegabytes(entry.id());
            peak = std::max(peak, resident);
            if (round % 100 == 0) {
                record.line("memory " + std::to_string(resident) + " MB, peak "
                            + std::to_string(peak) + " MB, " + std::to_string(drafts)
                            + " drafts under way, " + std::to_string(answered)
                            + " orders answered");
            }
            if (resident > memoryMegabytes) {
                record.line("the process holds " + std::to_string(resident)
                            + " MB; the platform kills it");
                entry.signal(SIGKILL);
                stop = true;
            }
        }
    });
    for (int change = 0; change < stormVersions && !stop; ++change) {
        if (troubled()) {
            store.put("op/config", configuration(change + 2));
            record.line("version " + std::to_string(change + 2) + " is acknowledged");
        }
        sleepSeconds(stormGapSeconds);
        const std::string attempt = "draft-" + std::to_string(change);
        std::thread([&, attempt] {
            drafts += 1;
            const Answer answer
                = call(settings.callerPort, request("/draft/1", attempt, 39'000), 39.0);
            drafts -= 1;
            draftsCut += answer.complete ? 0 : 1;
        }).detach();
    }
    const double end = seconds() + watchSeconds;
    while (seconds() < end && !stop) {
        sleepSeconds(0.05);
    }
    const bool killed = stop;
    stop = true;
    sleepSeconds(1.0);
    record.line("drafts cut: " + std::to_string(draftsCut)
                + "; orders that were passed on and not answered: " + std::to_string(lost));
    entry.stop();
    std::_Exit(killed && lost > allowedLosses ? Broken : Held);
}
