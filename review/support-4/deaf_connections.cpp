// Callers whose connection has a request in progress while the memory for callers' input runs
// short get their answer, and then no answer to any later request on that connection.

#include "harness.h"

using namespace review;

namespace {

constexpr std::size_t maxBodyBytes = 4'194'304;
constexpr std::size_t largeBodyBytes = 4'100'000;
constexpr unsigned memoryMb = 110;
constexpr std::size_t completeBodies = 5;
constexpr std::size_t unfinishedBodies = 20;
constexpr std::size_t ordinaryCallers = 16;
constexpr int ordinaryTimeoutMs = 3'000;
constexpr int uploadTimeoutMs = 12'000;
/// CONFIG: a request that is unanswered at its route's timeout_ms has an answer this much later.
constexpr milliseconds answerSlack {500};
constexpr milliseconds ordinaryWork {2'000};
constexpr milliseconds uploadWork {8'000};
/// Idle time of the callers between two requests; four fifths of idle_timeout_ms are allowed.
constexpr milliseconds pause {4'000};

json configuration()
{
    return {{"version", 1},
            {"routes",
             {route("look", "idempotent", "desk", ordinaryTimeoutMs, 2'500, 1),
              route("upload", "idempotent", "desk", uploadTimeoutMs, 10'000, 1)}},
            {"services", {{{"name", "desk"}, {"health_path", "/healthz"}, {"max_conns", 110}}}},
            {"limits",
             {{"max_header_bytes", 16'384},
              {"max_body_bytes", maxBodyBytes},
              {"header_timeout_ms", 3'000},
              {"idle_timeout_ms", 15'000}}}};
}

std::string ordinaryRequest(const std::string &id)
{
    return "GET /look/1 HTTP/1.1\r\nHost: shop.example\r\nAzurespindle-Attempt-Id: " + id
        + "\r\nAzurespindle-Deadline-Ms: " + std::to_string(ordinaryTimeoutMs) + "\r\n\r\n";
}

std::string chunk(std::size_t bytes)
{
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes);
    return size + std::string(bytes, 'b') + "\r\n";
}

/// Returns a request with a body in chunks, without the last chunk.
std::string chunkedRequest(const std::string &id, std::size_t bodyBytes)
{
    std::string text = "POST /upload/1 HTTP/1.1\r\nHost: shop.example\r\nAzurespindle-Attempt-Id: "
        + id + "\r\nAzurespindle-Deadline-Ms: " + std::to_string(uploadTimeoutMs)
        + "\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t sent = 0; sent < bodyBytes; sent += 65'536) {
        text += chunk(std::min<std::size_t>(65'536, bodyBytes - sent));
    }
    return text;
}

struct Outcome
{
    ReadEnd first = ReadEnd::TimedOut;
    int firstStatus = 0;
    bool closeAnnounced = false;
    bool secondSent = false;
    ReadEnd second = ReadEnd::TimedOut;
    int secondStatus = 0;
};

const char *text(ReadEnd end)
{
    return end == ReadEnd::Complete ? "answered"
        : end == ReadEnd::Closed    ? "closed"
                                    : "no answer, connection open";
}

/// Sends two requests, one after the other, on one connection.
void ordinaryCaller(std::size_t number, std::uint16_t port, Outcome &outcome, Record &record)
{
    const std::string name = "ordinary-" + std::to_string(number);
    Connection connection;
    Message answer;
    if (!connection.connect(port) || !connection.send(ordinaryRequest(name + "-a"))) {
        return;
    }
    const milliseconds patience = milliseconds(ordinaryTimeoutMs) + answerSlack;
    outcome.first = connection.read(answer, patience);
    outcome.firstStatus = answer.status();
    outcome.closeAnnounced = strcasecmp(answer.field("Connection").c_str(), "close") == 0;
    record.line(name + "-a: " + text(outcome.first) + " " + std::to_string(outcome.firstStatus)
                + (outcome.closeAnnounced ? ", connection: close" : ""));
    if (outcome.first != ReadEnd::Complete || outcome.closeAnnounced) {
        return;
    }
    sleepFor(pause);
    outcome.secondSent = connection.send(ordinaryRequest(name + "-b"));
    answer = {};
    outcome.second = connection.read(answer, patience);
    outcome.secondStatus = answer.status();
    record.line(name + "-b, on the same connection: " + text(outcome.second) + " "
                + std::to_string(outcome.secondStatus));
}

int play(Record &record)
{
    try {
        const bool trouble = withTrouble();
        const TemporaryFolder folder;
        const std::uint16_t storePort = freePort();
        Store &store = *new Store(storePort); // Its threads run until the program ends.
        const std::uint16_t serverPort = freePort();
        PlainServer &server
            = *new PlainServer("desk-1", "desk", serverPort, [](const Message &request) {
                  const bool upload = request.startLine.find("/upload/") != std::string::npos;
                  return upload ? uploadWork : ordinaryWork;
              });
        store.put("op/config", configuration().dump());
        store.put("servers/desk-1", server.registration("north", 100));
        const std::uint16_t memberPort = freePort();
        EntryProcess entry(folder.path, "entry-1", "north", storePort, {loopback(memberPort)},
                           memoryMb, memberPort);
        if (!entry.waitReady(milliseconds(20'000))) {
            record.line("the process did not get ready");
            return exitNotRun;
        }
        record.line(std::string("ready; trouble: ") + (trouble ? "yes" : "no"));

        std::vector<std::unique_ptr<Connection>> crowd;
        std::size_t completeSent = 0;
        if (trouble) {
            for (std::size_t index = 0; index < completeBodies; ++index) {
                crowd.push_back(std::make_unique<Connection>());
                const std::string id = "complete-" + std::to_string(index);
                if (crowd.back()->connect(entry.callerPort())
                    && crowd.back()->send(chunkedRequest(id, largeBodyBytes) + "0\r\n\r\n")) {
                    completeSent += 1;
                }
            }
            record.line("bodies of " + std::to_string(largeBodyBytes)
                        + " bytes sent whole: " + std::to_string(completeSent));
            sleepFor(milliseconds(500));
        }

        std::vector<Outcome> outcomes(ordinaryCallers);
        std::vector<std::thread> callers;
        for (std::size_t index = 0; index < ordinaryCallers; ++index) {
            callers.emplace_back(ordinaryCaller, index, entry.callerPort(),
                                 std::ref(outcomes[index]), std::ref(record));
        }
        sleepFor(milliseconds(600));
        record.line("the server has begun to run " + std::to_string(server.runs()) + " requests");
        if (trouble) {
            for (std::size_t index = 0; index < unfinishedBodies; ++index) {
                crowd.push_back(std::make_unique<Connection>());
                const std::string id = "unfinished-" + std::to_string(index);
                if (crowd.back()->connect(entry.callerPort())) {
                    crowd.back()->send(chunkedRequest(id, largeBodyBytes), milliseconds(300));
                }
            }
            record.line("bodies that stop short of their end: " + std::to_string(unfinishedBodies));
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        const bool alive = entry.alive();
        record.line(std::string("the process ") + (alive ? "lives" : "has ended")
                    + (entry.isReady() ? " and says that it is ready" : " and is not ready")
                    + ", peak " + std::to_string(entry.kilobytes("VmHWM")) + " kB");
        {
            Connection fresh;
            Message answer;
            const bool sent
                = fresh.connect(entry.callerPort()) && fresh.send(ordinaryRequest("fresh"));
            const ReadEnd end = sent ? fresh.read(answer, milliseconds(3'500)) : ReadEnd::Closed;
            record.line(std::string("a request on a new connection afterwards: ") + text(end) + " "
                        + std::to_string(answer.status()));
        }

        std::size_t firstAnswered = 0;
        std::size_t sentAgain = 0;
        std::size_t unanswered = 0;
        for (const Outcome &each : outcomes) {
            firstAnswered += each.first == ReadEnd::Complete ? 1 : 0;
            sentAgain += each.secondSent ? 1 : 0;
            unanswered += each.secondSent && each.second == ReadEnd::TimedOut ? 1 : 0;
        }
        record.line("first requests answered: " + std::to_string(firstAnswered) + " of "
                    + std::to_string(ordinaryCallers));
        record.line("second requests on a connection that was left open: "
                    + std::to_string(sentAgain) + ", without an answer "
                    + std::to_string(answerSlack.count())
                    + " ms after the route's timeout_ms: " + std::to_string(unanswered));
        if (sentAgain == 0) {
            record.line("no connection was left open: the case did not run");
            return trouble ? exitHeld : exitNotRun;
        }
        // CONFIG: eight or more of the requests that last longer than the timeout_ms of their
        // route, and over a quarter, have no final answer 0.5 s after it.
        const bool broken = unanswered >= 8 && 4 * unanswered > sentAgain;
        record.line(broken ? "CONFIG is broken" : "CONFIG held");
        return broken ? exitBroken : exitHeld;
    } catch (const std::exception &error) {
        record.line(std::string("could not run: ") + error.what());
        return exitNotRun;
    }
}

} // namespace

int main(int count, char **values)
{
    return runCase(count, values, play);
}
