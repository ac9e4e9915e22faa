// A refusal of the process's own to a HEAD request bears a body, which a client on a kept
// connection reads as the beginning of its next answer.

#include "harness.h"

#include <algorithm>

using namespace review;

namespace {

constexpr unsigned memoryMb = 110;
constexpr std::size_t clients = 12;
constexpr int timeoutMs = 1'000;
constexpr milliseconds patience {1'500};
/// config_apply_ms and contact_ms of the site, and a second more.
constexpr milliseconds afterChange {6'000};

const std::string keyThatGoes = "key-that-goes";
const std::string keyThatStays = "key-that-stays";

json configuration(unsigned version, const std::vector<std::string> &keys)
{
    return {{"version", version},
            {"routes", {route("look", "idempotent", "desk", timeoutMs, 150, 2)}},
            {"services", {{{"name", "desk"}, {"health_path", "/healthz"}, {"max_conns", 110}}}},
            {"limits",
             {{"max_header_bytes", 16'384},
              {"max_body_bytes", 4'194'304},
              {"header_timeout_ms", 3'000},
              {"idle_timeout_ms", 15'000}}},
            {"tenants", {{{"name", "gates"}, {"api_keys", keys}}}}};
}

std::string request(const std::string &method, const std::string &id, const std::string &key)
{
    return method + " /look/1 HTTP/1.1\r\nHost: shop.example\r\nAzurespindle-Attempt-Id: " + id
        + "\r\nAzurespindle-Deadline-Ms: " + std::to_string(timeoutMs)
        + "\r\nAzurespindle-Key: " + key + "\r\n\r\n";
}

struct Outcome
{
    int firstHead = 0;
    int secondHead = 0;
    bool kept = false; ///< The connection was left open after the second HEAD.
    ReadEnd getEnd = ReadEnd::TimedOut;
    std::string getStart; ///< First line of what came where the answer to GET is due.
    bool sound = false;
};

void ask(std::size_t number, std::uint16_t port, const std::function<void()> &waitForChange,
         Outcome &outcome, Record &record)
{
    const std::string name = "client-" + std::to_string(number);
    Connection connection;
    Message answer;
    if (!connection.connect(port) || !connection.send(request("HEAD", name + "-a", keyThatGoes))
        || connection.read(answer, patience, false) != ReadEnd::Complete) {
        return;
    }
    outcome.firstHead = answer.status();
    waitForChange();
    if (!connection.send(request("HEAD", name + "-b", keyThatGoes))
        || connection.read(answer, patience, false) != ReadEnd::Complete) {
        return;
    }
    outcome.secondHead = answer.status();
    outcome.kept = strcasecmp(answer.field("Connection").c_str(), "close") != 0;
    if (!outcome.kept || !connection.send(request("GET", name + "-c", keyThatStays))) {
        return;
    }
    answer = {};
    outcome.getEnd = connection.read(answer, patience);
    outcome.getStart = answer.startLine;
    outcome.sound = outcome.getEnd == ReadEnd::Complete
        && answer.startLine.rfind("HTTP/1.1 ", 0) == 0
        && answer.field("Azurespindle-Attempt-Id") == name + "-c";
    record.line(name + ": HEAD " + std::to_string(outcome.firstHead) + ", later HEAD "
                + std::to_string(outcome.secondHead) + ", then GET on the same connection: "
                + (outcome.sound ? "its own answer, " : "what came begins with ") + "\""
                + outcome.getStart.substr(0, 90) + "\"");
}

int play(Record &record)
{
    try {
        const bool trouble = withTrouble();
        const TemporaryFolder folder;
        const std::uint16_t storePort = freePort();
        Store &store = *new Store(storePort); // Its threads run until the program ends.
        const std::uint16_t serverPort = freePort();
        PlainServer &server = *new PlainServer("desk-1", "desk", serverPort,
                                               [](const Message &) { return milliseconds(30); });
        store.put("op/config", configuration(1, {keyThatGoes, keyThatStays}).dump());
        store.put("servers/desk-1", server.registration("north", 24));
        const std::uint16_t memberPort = freePort();
        EntryProcess entry(folder.path, "entry-1", "north", storePort, {loopback(memberPort)},
                           memoryMb, memberPort);
        if (!entry.waitReady(milliseconds(20'000))) {
            record.line("the process did not get ready");
            return exitNotRun;
        }
        record.line(std::string("ready; trouble: ") + (trouble ? "yes" : "no"));
        std::atomic<bool> changed {false};
        const auto waitForChange = [&changed] {
            while (!changed) {
                sleepFor(milliseconds(20));
            }
        };
        std::vector<Outcome> outcomes(clients);
        std::vector<std::thread> threads;
        for (std::size_t index = 0; index < clients; ++index) {
            threads.emplace_back([&, index] {
                ask(index, entry.callerPort(), waitForChange, outcomes[index], record);
            });
        }
        sleepFor(milliseconds(1'000));
        if (trouble) {
            store.put("op/config", configuration(2, {keyThatStays}).dump());
            record.line("version 2: the key \"" + keyThatGoes + "\" is taken away");
        }
        sleepFor(afterChange);
        changed = true;
        for (std::thread &thread : threads) {
            thread.join();
        }
        std::size_t asked = 0;
        std::size_t wrong = 0;
        for (const Outcome &each : outcomes) {
            asked += each.kept ? 1 : 0;
            wrong += each.kept && !each.sound && !each.getStart.empty() ? 1 : 0;
        }
        record.line("GET on a kept connection after HEAD: " + std::to_string(asked)
                    + ", begun by bytes that are no answer: " + std::to_string(wrong)
                    + "; the server ran " + std::to_string(server.runs()) + " requests");
        if (asked == 0) {
            return exitNotRun;
        }
        record.line(wrong > 0 ? "MIXED is broken" : "MIXED held");
        return wrong > 0 ? exitBroken : exitHeld;
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
