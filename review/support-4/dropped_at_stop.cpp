// Requests that a process has read behind one in progress are dropped without an answer when it is
// stopped with SIGTERM.

#include "harness.h"

#include <algorithm>

using namespace review;

namespace {

constexpr unsigned memoryMb = 110;
constexpr std::size_t clients = 12;
constexpr int timeoutMs = 3'000;
/// Time for which the process has run, undisturbed, before the requests come (contact_ms 3,000).
constexpr milliseconds contactTime {3'500};
constexpr milliseconds work {1'500};
constexpr milliseconds secondAfter {100};
constexpr milliseconds termAfter {600};
constexpr milliseconds lossSlack {200};
constexpr milliseconds patience {9'000};

json configuration()
{
    return {{"version", 1},
            {"routes", {route("look", "idempotent", "desk", timeoutMs, 2'000, 1)}},
            {"services", {{{"name", "desk"}, {"health_path", "/healthz"}, {"max_conns", 110}}}},
            {"limits",
             {{"max_header_bytes", 16'384},
              {"max_body_bytes", 4'194'304},
              {"header_timeout_ms", 3'000},
              {"idle_timeout_ms", 15'000}}}};
}

std::string request(const std::string &id)
{
    return "GET /look/1 HTTP/1.1\r\nHost: shop.example\r\nAzurespindle-Attempt-Id: " + id
        + "\r\nAzurespindle-Deadline-Ms: " + std::to_string(timeoutMs) + "\r\n\r\n";
}

struct Outcome
{
    bool firstAnswered = false;
    bool secondSent = false;
    bool secondAnswered = false;
    bool lost = false; ///< The connection ended with the second request read and not answered.
};

void client(std::size_t number, std::uint16_t port, Outcome &outcome, Record &record)
{
    const std::string name = "client-" + std::to_string(number);
    Connection connection;
    if (!connection.connect(port) || !connection.send(request(name + "-a"))) {
        return;
    }
    sleepFor(secondAfter);
    outcome.secondSent = connection.send(request(name + "-b"));
    const auto sentAt = Clock::now();
    Message answer;
    outcome.firstAnswered = connection.read(answer, patience) == ReadEnd::Complete;
    record.line(name + "-a: " + std::to_string(answer.status()));
    answer = {};
    const ReadEnd end = connection.read(answer, patience);
    const auto after = std::chrono::duration_cast<milliseconds>(Clock::now() - sentAt);
    outcome.secondAnswered = end == ReadEnd::Complete;
    // A connection that is closed with unread bytes is reset: a plain end shows that all was read.
    outcome.lost = end == ReadEnd::Closed && !connection.wasReset() && after > lossSlack;
    record.line(name + "-b: "
                + (outcome.secondAnswered ? std::to_string(answer.status())
                                          : std::string(connection.wasReset() ? "reset" : "closed"))
                + ", " + std::to_string(after.count()) + " ms after it was sent");
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
            = *new PlainServer("desk-1", "desk", serverPort, [](const Message &) { return work; });
        store.put("op/config", configuration().dump());
        store.put("servers/desk-1", server.registration("north", 24));
        const std::uint16_t memberPort = freePort();
        EntryProcess entry(folder.path, "entry-1", "north", storePort, {loopback(memberPort)},
                           memoryMb, memberPort);
        if (!entry.waitReady(milliseconds(20'000))) {
            record.line("the process did not get ready");
            return exitNotRun;
        }
        record.line(std::string("ready; trouble: ") + (trouble ? "yes" : "no"));
        sleepFor(contactTime);
        std::vector<Outcome> outcomes(clients);
        std::vector<std::thread> threads;
        for (std::size_t index = 0; index < clients; ++index) {
            threads.emplace_back(client, index, entry.callerPort(), std::ref(outcomes[index]),
                                 std::ref(record));
        }
        sleepFor(termAfter);
        if (trouble) {
            record.line("SIGTERM");
            entry.signal(SIGTERM);
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        std::size_t sent = 0;
        std::size_t answered = 0;
        std::size_t lost = 0;
        for (const Outcome &each : outcomes) {
            sent += each.firstAnswered && each.secondSent ? 1 : 0;
            answered += each.secondAnswered ? 1 : 0;
            lost += each.lost ? 1 : 0;
        }
        record.line("second requests: " + std::to_string(sent) + ", answered "
                    + std::to_string(answered) + ", read and dropped "
                    + std::to_string(lossSlack.count())
                    + " ms or more after their last byte: " + std::to_string(lost)
                    + "; the server ran " + std::to_string(server.runs()) + " requests");
        if (sent == 0) {
            return exitNotRun;
        }
        record.line(lost > 0 ? "LOST is broken" : "LOST held");
        return lost > 0 ? exitBroken : exitHeld;
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
