// A faulty server spoils one byte of the Content-Length of some of its answers. What it then says
// of its body cannot be read, so such an answer must not reach the caller as a complete success.

#include "kit.h"

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <set>
#include <unistd.h>

using namespace review3;

namespace {

constexpr double historySeconds = 20.0;
constexpr double settleSeconds = 4.0;
constexpr int servers = 4;
constexpr int faultyServers = 2; // garble, share 0.5
constexpr int spoiledOneIn = 50; // garble, x 0.02
constexpr int connections = 6;
constexpr int requestsEach = 1'000;
constexpr std::size_t bodyBytes = 800;

const std::string key = "goodkey000000000000a";

std::string route(const std::string &name, const std::string &kind)
{
    return R"({"name":")" + name + R"(","host":"forge.example","path_prefix":"/)" + name
        + R"(/","route_kind":")" + kind
        + R"(","timeout_ms":1000,"target_latency_ms":150,"priority":2,"service":"orderdesk",)"
        + R"("max_attempts":1,"public":false,"sticky":false,"resumable":false})";
}

std::string configuration()
{
    return R"({"version":1,"routes":[)" + route("look", "idempotent") + ","
        + route("place", "non_idempotent")
        + R"(],"services":[{"name":"orderdesk","health_path":"/healthz","max_conns":110,)"
        + R"("protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],)"
        + R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
        + R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
        + R"("tenants":[{"name":"ranch","api_keys":[")" + key + R"("]}]})";
}

std::string request(const std::string &method, const std::string &path, const std::string &id)
{
    return method + " " + path + " HTTP/1.1\r\nHost: forge.example\r\nAzurespindle-Attempt-Id: "
        + id + "\r\nAzurespindle-Deadline-Ms: 1000\r\nAzurespindle-Key: " + key
        + (method == "POST" ? "\r\nContent-Length: 5\r\n\r\nhinge" : "\r\n\r\n");
}

/// Returns the body of the answer to a request: it names the request, and has its own end.
std::string bodyFor(const std::string &attempt)
{
    std::string body = "order " + attempt + " ";
    body.append(bodyBytes - 4 - body.size(), '.');
    return body + "end\n";
}

} // namespace

int main(int count, char **values)
{
    const Arguments arguments = readArguments(count, values);
    Record record(arguments.record);
    Store store(historySeconds);
    std::atomic<int> ran {0};
    std::atomic<int> spoiled {0};
    std::vector<std::unique_ptr<HttpServer>> fleet;
    for (int number = 0; number < servers; ++number) {
        const std::string id = "i-000000000" + std::to_string(number);
        const bool faulty = number < faultyServers;
        const auto answers = std::make_shared<std::atomic<int>>(0);
        fleet.push_back(std::make_unique<HttpServer>(
            [&, id, faulty, answers](int socket, const Request &received) {
                const std::string attempt = received.header("azurespindle-attempt-id");
                const std::string head = "Azurespindle-Attempt-Id: " + attempt + "\r\n";
                if (received.header("azurespindle-expected-instance") != id) {
                    return writeAll(socket,
                                    response(421, head + "Azurespindle-Not-Executed: 1\r\n", ""));
                }
                ran += 1;
                std::string bytes
                    = response(200, head + "Azurespindle-Server-Seal: s1\r\n", bodyFor(attempt));
                const bool spoils = troubled() && faulty && (*answers += 1) % spoiledOneIn == 0;
                if (spoils) {
                    spoiled += 1;
                    const std::string field = "Content-Length: ";
                    bytes[bytes.find(field) + field.size() + 1] = '~'; // 800 becomes 8~0.
                    record.line(joined(
                        {id, " runs ", attempt, " and spoils a byte of its answer's length"}));
                }
                writeAll(socket, bytes);
                return !spoils;
            }));
        store.put("servers/" + id,
                  R"({"service":"orderdesk","address":")" + fleet.back()->address()
                      + R"(","zone":"waco-a","version":"v1","slots":6,"state":"ready",)"
                      + R"("cold_left_ms":0,"sequence":1,"born":1790000000000})");
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
    std::atomic<int> whole {0};
    std::atomic<int> failures {0};
    std::atomic<int> wrong {0};
    std::vector<std::thread> clients;
    clients.reserve(connections);
    for (int client = 0; client < connections; ++client) {
        clients.emplace_back([&, client] {
            for (int number = 0; number < requestsEach; ++number) {
                const std::string id = "r" + std::to_string(client) + "-" + std::to_string(number);
                const bool places = number % 2 == 0;
                const Answer answer = call(
                    settings.callerPort,
                    request(places ? "POST" : "GET", places ? "/place/1" : "/look/1", id), 2.0);
                const bool success = answer.status >= 200 && answer.status < 300;
                if (!success || !answer.complete) {
                    failures += 1;
                } else if (answer.body == bodyFor(id)) {
                    whole += 1;
                } else {
                    wrong += 1;
                    record.line("MIXED: " + id + " is answered " + std::to_string(answer.status)
                                + " with the server's seal, complete, with "
                                + std::to_string(answer.body.size()) + " of "
                                + std::to_string(bodyBytes) + " bytes: \"" + answer.body + "\"");
                }
            }
        });
    }
    for (std::thread &client : clients) {
        client.join();
    }
    record.line("requests " + std::to_string(connections * requestsEach) + ", run "
                + std::to_string(ran) + ", spoiled " + std::to_string(spoiled) + ", whole "
                + std::to_string(whole) + ", failures " + std::to_string(failures)
                + ", successes with a wrong body " + std::to_string(wrong));
    entry.stop();
    std::_Exit(whole == 0 ? CouldNotRun : wrong > 0 ? Broken : Held);
}
