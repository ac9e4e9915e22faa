// A client asks with HEAD on a kept connection while the only server of the service is down, and
// goes on with GET on the same connection once it is back.

#include "kit.h"

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <sys/socket.h>
#include <unistd.h>

using namespace review3;

namespace {

constexpr double historySeconds = 20.0;
constexpr double settleSeconds = 4.0;
constexpr double downSeconds = 4.5; // srv_crash, for_s
constexpr double answerSeconds = 1.0;

const std::string key = "goodkey000000000000a";

std::string configuration()
{
    return R"({"version":1,"routes":[{"name":"look","host":"forge.example",)"
           R"("path_prefix":"/look/","route_kind":"idempotent","timeout_ms":1000,)"
           R"("target_latency_ms":150,"priority":2,"service":"orderdesk","max_attempts":2,)"
           R"("public":false,"sticky":false,"resumable":false}],)"
           R"("services":[{"name":"orderdesk","health_path":"/healthz","max_conns":110,)"
           R"("protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],)"
           R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
           R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
           R"("tenants":[{"name":"ranch","api_keys":[")"
        + key + R"("]}]})";
}

std::string request(const std::string &method, const std::string &id)
{
    return method
        + " /look/1 HTTP/1.1\r\nHost: forge.example\r\nAzurespindle-Deadline-Ms: 1000\r\n"
          "Azurespindle-Key: "
        + key + "\r\nAzurespindle-Attempt-Id: " + id + "\r\n\r\n";
}

/// Reads what arrives within answerSeconds.
std::string receiveAll(int socket)
{
    std::string all;
    const double end = seconds() + answerSeconds;
    char bytes[4'096];
    while (seconds() < end) {
        const ssize_t count = ::recv(socket, bytes, sizeof(bytes), MSG_DONTWAIT);
        if (count == 0) {
            break;
        }
        if (count > 0) {
            all.append(bytes, static_cast<std::size_t>(count));
        } else {
            sleepSeconds(0.01);
        }
    }
    return all;
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
    const std::string id = "i-0000000001";
    std::atomic<bool> down {false};
    HttpServer server([&](int socket, const Request &received) {
        if (down) {
            resetConnection(socket);
            return false;
        }
        const std::string attempt = received.header("azurespindle-attempt-id");
        record.line("server runs " + received.method + " " + attempt);
        const std::string head = response(
            200, "Azurespindle-Attempt-Id: " + attempt + "\r\nAzurespindle-Server-Seal: s1\r\n",
            "order");
        const bool bodiless = received.method == "HEAD";
        return writeAll(socket, bodiless ? head.substr(0, head.find("\r\n\r\n") + 4) : head);
    });
    const std::string entryOfServer = R"({"service":"orderdesk","address":")" + server.address()
        + R"(","zone":"waco-a","version":"v1","slots":6,"state":"ready","cold_left_ms":0,)"
        + R"("sequence":1,"born":1790000000000})";
    store.put("op/config", configuration());
    store.put("servers/" + id, entryOfServer);
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
    const int socket = connectTo(settings.callerPort);
    if (troubled()) {
        record.line("the server crashes");
        down = true;
    }
    writeAll(socket, request("HEAD", "h1"));
    const std::string toHead = receiveAll(socket);
    record.line("to HEAD: " + shown(toHead));
    if (troubled()) {
        sleepSeconds(downSeconds);
        down = false;
        record.line("the server is back");
        sleepSeconds(1.0);
    }
    writeAll(socket, request("GET", "g1"));
    const std::string toGet = receiveAll(socket);
    record.line("to GET: " + shown(toGet));
    ::close(socket);
    entry.stop();
    // An answer to HEAD ends with its head, whatever length it states.
    const std::size_t end = toHead.find("\r\n\r\n");
    if (end == std::string::npos) {
        std::_Exit(CouldNotRun);
    }
    const std::string next = toHead.substr(end + 4) + toGet;
    const bool isAnswer = next.rfind("HTTP/1.1 ", 0) == 0;
    record.line(isAnswer ? "the next bytes are the answer to GET"
                         : "MIXED: the next bytes are no answer: " + shown(next.substr(0, 60)));
    std::_Exit(isAnswer ? Held : Broken);
}
