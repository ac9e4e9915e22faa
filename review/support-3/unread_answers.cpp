// Clients send requests one after the other on kept connections and never read an answer. The
// process must not hold the answers without bound: the platform kills what exceeds its memory.

#include "kit.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <sys/socket.h>
#include <unistd.h>

using namespace review3;

namespace {

constexpr double historySeconds = 20.0;
constexpr double settleSeconds = 4.0;
constexpr double playSeconds = 75.0;
constexpr int memoryMegabytes = 110; // memory_mb of the machine
constexpr int unreadConnections = 8;
constexpr double requestGapSeconds = 0.002; // Of each of these connections, at least.
constexpr int maxUnderWay = 20; ///< Requests of a connection that the server has not run yet.
constexpr int ordinaryConnections = 8;
constexpr int allowedLosses = 3; // LOST: more than three times
constexpr std::size_t answerBytes = 4'800;
constexpr double placeSeconds = 0.2;

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

std::string request(const std::string &method, const std::string &path, const std::string &id)
{
    return method + " " + path + " HTTP/1.1\r\nHost: forge.example\r\nAzurespindle-Attempt-Id: "
        + id + "\r\nAzurespindle-Deadline-Ms: 3000\r\nAzurespindle-Key: " + key
        + (method == "POST" ? "\r\nContent-Length: 5\r\n\r\nhinge" : "\r\n\r\n");
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
    std::map<std::string, int> run;       ///< Looks that the server has run, by connection.
    std::atomic<long> looks {0};
    const std::string id = "i-0000000001";
    const std::string page(answerBytes, 'o');
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
        } else {
            looks += 1;
            const std::lock_guard lock(mutex);
            run[attempt.substr(0, attempt.rfind('-') + 1)] += 1;
        }
        return writeAll(socket, response(200, head + "Azurespindle-Server-Seal: s1\r\n", page));
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
    std::atomic<int> lost {0};
    std::atomic<int> answered {0};
    std::vector<std::thread> clients;
    clients.reserve(ordinaryConnections + unreadConnections);
    for (int client = 0; client < ordinaryConnections; ++client) {
        clients.emplace_back([&, client] {
            const int socket = connectTo(settings.callerPort);
            std::string buffer;
            for (int number = 0; !stop && seconds() < end; ++number) {
                const std::string attempt
                    = "order-" + std::to_string(client) + "-" + std::to_string(number);
                const bool sent = writeAll(socket, request("POST", "/place/1", attempt));
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
    for (int client = 0; client < unreadConnections; ++client) {
        clients.emplace_back([&, client] {
            for (int connection = 0; !stop && seconds() < end; ++connection) {
                const int socket = connectTo(settings.callerPort);
                std::thread reader;
                if (troubled()) {
                    const int small = 4'096;
                    ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
                } else {
                    reader = std::thread([socket] {
                        std::string buffer;
                        while (readAnswer(socket, buffer) != 0) { }
                    });
                }
                const std::string name
                    = "look-" + std::to_string(client) + "-" + std::to_string(connection) + "-";
                int number = 0;
                // It sends on at the pace at which its requests are run.
                const auto underWay = [&] {
                    const std::lock_guard lock(mutex);
                    return number - run[name];
                };
                while (!stop && seconds() < end) {
                    if (underWay() < maxUnderWay) {
                        if (!writeAll(socket,
                                      request("GET", "/look/1", name + std::to_string(number)))) {
                            break;
                        }
                        number += 1;
                    }
                    sleepSeconds(requestGapSeconds);
                }
                record.line("client " + std::to_string(client) + " sent " + std::to_string(number)
                            + " requests on this connection");
                ::shutdown(socket, SHUT_RDWR);
                if (reader.joinable()) {
                    reader.join();
                }
                ::close(socket);
                sleepSeconds(requestGapSeconds);
            }
        });
    }
    bool killed = false;
    int peak = 0;
    for (int round = 0; !killed && seconds() < end; ++round) {
        sleepSeconds(0.05);
        const int resident = residentMegabytes(entry.id());
        peak = std::max(peak, resident);
        if (round % 100 == 0) {
            record.line("memory " + std::to_string(resident) + " MB, " + std::to_string(looks)
                        + " looks run, " + std::to_string(answered) + " orders answered");
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
    const bool broken = killed && lost > allowedLosses;
    std::_Exit(broken ? Broken : Held);
}
