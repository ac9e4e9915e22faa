// Clients send requests whose ids are as long as the limit of a header allows, and read each
// answer. What the process keeps of past requests must leave room for ordinary uploads.

#include "kit.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <unistd.h>

using namespace review3;

namespace {

constexpr double historySeconds = 20.0;
constexpr double settleSeconds = 4.0;
constexpr double playSeconds = 60.0;
constexpr int memoryMegabytes = 88; // memory_mb of the smallest machine
constexpr int askingConnections = 4;
constexpr int requestsEach = 1'500;
constexpr int orderConnections = 8;
constexpr int uploadConnections = 6;
constexpr int allowedLosses = 3;            // LOST: more than three times
constexpr std::size_t longIdBytes = 15'900; // max_header_bytes is 16,384
constexpr std::size_t shortIdBytes = 16;
constexpr std::size_t uploadBytes = 2'000'000; // max_body_bytes is 4,194,304
constexpr double placeSeconds = 0.3;

const std::string key = "goodkey000000000000a";

std::string route(const std::string &name, const std::string &kind, int attempts)
{
    return R"({"name":")" + name + R"(","host":"forge.example","path_prefix":"/)" + name
        + R"(/","route_kind":")" + kind
        + R"(","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"orderdesk",)"
        + R"("max_attempts":)" + std::to_string(attempts)
        + R"(,"public":false,"sticky":false,"resumable":false})";
}

std::string configuration()
{
    return R"({"version":1,"routes":[)" + route("look", "idempotent", 2) + ","
        + route("place", "non_idempotent", 1)
        + R"(],"services":[{"name":"orderdesk","health_path":"/healthz","max_conns":110,)"
        + R"("protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],)"
        + R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
        + R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
        + R"("tenants":[{"name":"ranch","api_keys":[")" + key + R"("]}]})";
}

std::string request(const std::string &method, const std::string &path, const std::string &id,
                    const std::string &body)
{
    return method + " " + path + " HTTP/1.1\r\nHost: forge.example\r\nAzurespindle-Attempt-Id: "
        + id + "\r\nAzurespindle-Deadline-Ms: 3000\r\nAzurespindle-Key: " + key
        + (method == "POST" ? "\r\nContent-Length: " + std::to_string(body.size()) : "")
        + "\r\n\r\n" + body;
}

} // namespace

int main(int count, char **values)
{
    const Arguments arguments = readArguments(count, values);
    Record record(arguments.record);
    const std::string &folder = arguments.folder;
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
        if (received.method == "POST") {
            {
                const std::lock_guard lock(mutex);
                passedOn[attempt] = true;
            }
            sleepSeconds(placeSeconds);
        }
        return writeAll(socket, response(200, head + "Azurespindle-Server-Seal: s1\r\n", "done"));
    });
    store.put("op/config", configuration());
    store.put("servers/" + id,
              R"({"service":"orderdesk","address":")" + server.address()
                  + R"(","zone":"waco-a","version":"v1","slots":60,"state":"ready",)"
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
    Entry entry(settings, folder);
    entry.start();
    if (!entry.awaitReady(15.0)) {
        record.line("the process does not become ready");
        std::_Exit(CouldNotRun);
    }
    record.line("the process is ready");
    sleepSeconds(settleSeconds);

    const double end = seconds() + playSeconds;
    std::atomic<bool> stop {false};
    std::atomic<int> asking {askingConnections};
    std::atomic<int> looked {0};
    std::atomic<int> lost {0};
    std::atomic<int> answered {0};
    std::vector<std::thread> clients;
    clients.reserve(askingConnections + orderConnections + uploadConnections);
    for (int client = 0; client < askingConnections; ++client) {
        clients.emplace_back([&, client] {
            const int socket = connectTo(settings.callerPort);
            std::string buffer;
            const std::size_t bytes = troubled() ? longIdBytes : shortIdBytes;
            for (int number = 0; !stop && number < requestsEach; ++number) {
                std::string attempt = std::to_string(client) + "-" + std::to_string(number) + "-";
                attempt.append(bytes - attempt.size(), 'f');
                if (!writeAll(socket, request("GET", "/look/1", attempt, ""))
                    || readAnswer(socket, buffer) == 0) {
                    record.line("a look's connection ended without an answer");
                    break;
                }
                looked += 1;
            }
            ::close(socket);
            asking -= 1;
        });
    }
    for (int client = 0; client < orderConnections + uploadConnections; ++client) {
        clients.emplace_back([&, client] {
            const bool uploads = client >= orderConnections;
            while (uploads && !stop && asking > 0) {
                sleepSeconds(0.05);
            }
            const int socket = connectTo(settings.callerPort);
            const std::string body(uploads ? uploadBytes : 5, 'u');
            std::string buffer;
            for (int number = 0; !stop && seconds() < end; ++number) {
                const std::string attempt
                    = "order-" + std::to_string(client) + "-" + std::to_string(number);
                const bool sent = writeAll(socket, request("POST", "/place/1", attempt, body));
                const int status = sent ? readAnswer(socket, buffer) : 0;
                answered += status == 0 ? 0 : 1;
                if (status == 200) {
                    continue;
                }
                const std::lock_guard lock(mutex);
                const bool ran = passedOn.count(attempt) > 0;
                record.line(attempt + (ran ? ": passed on to the server" : ": not passed on")
                            + ", answer " + std::to_string(status));
                lost += ran && status == 0 ? 1 : 0;
                if (status == 0) {
                    return;
                }
            }
        });
    }
    bool killed = false;
    int peak = 0;
    for (int round = 0; !killed && seconds() < end; ++round) {
        sleepSeconds(0.02);
        const int resident = residentMegabytes(entry.id());
        peak = std::max(peak, resident);
        if (round % 100 == 0) {
            record.line("memory " + std::to_string(resident) + " MB, " + std::to_string(looked)
                        + " looks and " + std::to_string(answered) + " orders answered");
        }
        if (resident > memoryMegabytes) {
            record.line("the process holds " + std::to_string(resident)
                        + " MB; the platform kills it");
            entry.signal(SIGKILL);
            killed = true;
        } else if (entry.ended()) {
            record.line("the process has ended by itself");
            killed = true;
        }
    }
    stop = !killed;
    sleepSeconds(1.0);
    record.line("peak " + std::to_string(peak)
                + " MB; orders that were passed on and not answered: " + std::to_string(lost));
    entry.stop();
    std::_Exit(killed && lost > allowedLosses ? Broken : Held);
}
