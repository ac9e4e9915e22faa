// A server breaks off a stream that has no length in the middle of an event, and answers once more
// on the same connection, with an error. The caller must not find that answer in its stream.

#include "kit.h"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <unistd.h>

using namespace review3;

namespace {

constexpr double historySeconds = 20.0;
constexpr double settleSeconds = 4.0;
constexpr int servers = 4;
constexpr int faultyServers = 2; // garble, share 0.5
constexpr int brokenOneIn = 50;  // garble, x 0.02
constexpr int connections = 8;
constexpr int requestsEach = 250;
constexpr int events = 10;
constexpr double eventSeconds = 0.004;

const std::string key = "goodkey000000000000a";

std::string configuration()
{
    return R"({"version":1,"routes":[{"name":"fit","host":"forge.example",)"
           R"("path_prefix":"/fit/","route_kind":"streaming","timeout_ms":6000,)"
           R"("target_latency_ms":1500,"priority":0,"service":"drafter","max_attempts":2,)"
           R"("public":false,"sticky":true,"resumable":true,"target_itl_ms":180}],)"
           R"("services":[{"name":"drafter","health_path":"/healthz","max_conns":252,)"
           R"("protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],)"
           R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
           R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
           R"("tenants":[{"name":"ranch","api_keys":[")"
        + key + R"("]}]})";
}

std::string request(const std::string &id)
{
    return "POST /fit/1 HTTP/1.1\r\nHost: forge.example\r\nAzurespindle-Attempt-Id: " + id
        + "\r\nAzurespindle-Deadline-Ms: 6000\r\nAzurespindle-Key: " + key
        + "\r\nContent-Length: 5\r\n\r\nhinge";
}

std::string event(const std::string &attempt, int number)
{
    return "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + " of "
        + attempt + "\n\n";
}

std::string shown(const std::string &bytes)
{
    std::string text;
    for (const char each : bytes) {
        text += each == '\r' ? "\\r" : each == '\n' ? "\\n" : std::string(1, each);
    }
    return text;
}

} // namespace

int main(int count, char **values)
{
    const Arguments arguments = readArguments(count, values);
    Record record(arguments.record);
    Store store(historySeconds);
    std::atomic<int> broken {0};
    std::vector<std::unique_ptr<HttpServer>> fleet;
    for (int number = 0; number < servers; ++number) {
        const std::string id = "i-000000000" + std::to_string(number);
        const bool faulty = number < faultyServers;
        const auto answers = std::make_shared<std::atomic<int>>(0);
        fleet.push_back(std::make_unique<HttpServer>([&, id, faulty, answers](
                                                         int socket, const Request &received) {
            const std::string attempt = received.header("azurespindle-attempt-id");
            const std::string head = "Azurespindle-Attempt-Id: " + attempt + "\r\n";
            if (received.header("azurespindle-expected-instance") != id) {
                return writeAll(socket,
                                response(421, head + "Azurespindle-Not-Executed: 1\r\n", ""));
            }
            const int first = std::atoi(received.header("last-event-id").c_str()) + 1;
            const bool breaks = troubled() && faulty && (*answers += 1) % brokenOneIn == 0;
            record.line(joined({id, " runs ", attempt, " from event ", std::to_string(first)}));
            writeAll(socket,
                     "HTTP/1.1 200 OK\r\n" + head
                         + "Azurespindle-Server-Seal: s1\r\nContent-Type: text/event-stream\r\n"
                           "Connection: close\r\n\r\n");
            for (int piece = first; piece <= events; ++piece) {
                const std::string bytes = event(attempt, piece);
                if (breaks && piece == events / 2) {
                    broken += 1;
                    record.line(joined({id, " breaks off ", attempt, " inside event ",
                                        std::to_string(piece), " and answers with an error"}));
                    writeAll(socket,
                             bytes.substr(0, bytes.size() / 2)
                                 + response(500, "Content-Type: text/plain\r\n", "server error"));
                    return false;
                }
                if (!writeAll(socket, bytes)) {
                    return false;
                }
                sleepSeconds(eventSeconds);
            }
            return false;
        }));
        store.put("servers/" + id,
                  R"({"service":"drafter","address":")" + fleet.back()->address()
                      + R"(","zone":"waco-a","version":"v1","slots":24,"state":"ready",)"
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
                const std::string id = "f" + std::to_string(client) + "-" + std::to_string(number);
                const Answer answer = call(settings.callerPort, request(id), 8.0);
                std::string expected;
                for (int piece = 1; piece <= events; ++piece) {
                    expected += event(id, piece);
                }
                if (answer.status != 200 || !answer.complete) {
                    failures += 1;
                } else if (answer.body == expected) {
                    whole += 1;
                } else {
                    wrong += 1;
                    record.line("MIXED: " + id
                                + " is answered 200, complete: " + shown(answer.body));
                }
            }
        });
    }
    for (std::thread &client : clients) {
        client.join();
    }
    record.line("requests " + std::to_string(connections * requestsEach) + ", broken off "
                + std::to_string(broken) + ", whole " + std::to_string(whole) + ", failures "
                + std::to_string(failures) + ", successes with a wrong body "
                + std::to_string(wrong));
    entry.stop();
    std::_Exit(whole == 0 ? CouldNotRun : wrong > 0 ? Broken : Held);
}
