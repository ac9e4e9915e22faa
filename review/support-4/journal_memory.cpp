// Requests whose header is within max_header_bytes fill the memory of a process: the journal keeps
// the latest 4,096 entries whatever their size, and each holds the request's id.

#include "machine.h"

using namespace review;

namespace {

constexpr std::size_t maxHeaderBytes = 16'384;
constexpr std::size_t idBytes = 15'900;
constexpr std::size_t ordinaryIdBytes = 16;
constexpr unsigned memoryMb = 88;
constexpr std::size_t machines = 2;
constexpr std::size_t callersEach = 128;
/// Requests that all callers of a machine send at most.
constexpr std::size_t requestsEach = 30'000;
constexpr milliseconds serverWork {200};
constexpr int timeoutMs = 3'000;
constexpr milliseconds longestRun {80'000};

json configuration()
{
    return {{"version", 1},
            {"routes", {route("look", "idempotent", "desk", timeoutMs, 150, 2)}},
            {"services", {{{"name", "desk"}, {"health_path", "/healthz"}, {"max_conns", 600}}}},
            {"limits",
             {{"max_header_bytes", maxHeaderBytes},
              {"max_body_bytes", 4'194'304},
              {"header_timeout_ms", 3'000},
              {"idle_timeout_ms", 15'000}}},
            {"tenants", {{{"name", "gates"}, {"api_keys", {"key-of-gates"}}}}}};
}

/// Returns an id of \a bytes that no other request has.
std::string idOf(std::size_t number, std::size_t bytes)
{
    std::string id = std::to_string(1'000'000 + number);
    id.append(bytes - id.size(), 'f');
    return id;
}

std::string request(const std::string &id)
{
    return "GET /look/1 HTTP/1.1\r\nHost: shop.example\r\nAzurespindle-Attempt-Id: " + id
        + "\r\nAzurespindle-Deadline-Ms: " + std::to_string(timeoutMs)
        + "\r\nAzurespindle-Key: key-of-gates\r\n\r\n";
}

struct Counts
{
    std::atomic<std::size_t> sent {0};
    std::atomic<std::size_t> succeeded {0};
    std::atomic<std::size_t> refused {0};
    std::atomic<std::size_t> broken {0}; ///< The connection ended without an answer.
    std::atomic<std::size_t> unanswered {0};
    std::atomic<bool> stop {false};

    std::string text() const
    {
        return "sent " + std::to_string(this->sent) + ", 200: " + std::to_string(this->succeeded)
            + ", other answers: " + std::to_string(this->refused) + ", connection ended: "
            + std::to_string(this->broken) + ", no answer: " + std::to_string(this->unanswered);
    }
};

/// Sends requests one after the other on a kept connection, and connects again if it ends.
void call(std::uint16_t port, std::size_t idLength, Counts &counts)
{
    static std::atomic<std::size_t> lastNumber {0};
    Connection connection;
    while (!counts.stop && counts.sent < requestsEach) {
        if (!connection.isOpen() && !connection.connect(port)) {
            sleepFor(milliseconds(100));
            continue;
        }
        counts.sent += 1;
        Message answer;
        const bool sent = connection.send(request(idOf(lastNumber += 1, idLength)));
        const ReadEnd end = sent ? connection.read(answer, milliseconds(timeoutMs + 500))
                                 : ReadEnd::Closed;
        if (end == ReadEnd::Complete) {
            (answer.status() == 200 ? counts.succeeded : counts.refused) += 1;
        } else {
            (end == ReadEnd::Closed ? counts.broken : counts.unanswered) += 1;
        }
        if (end != ReadEnd::Complete
            || strcasecmp(answer.field("Connection").c_str(), "close") == 0) {
            connection.close();
        }
    }
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
                                               [](const Message &) { return serverWork; });
        store.put("op/config", configuration().dump());
        store.put("servers/desk-1", server.registration("north", 600));
        std::vector<Machine> all = startMachines(machines, folder.path, storePort, memoryMb);
        if (all.empty()) {
            record.line("a process did not get ready");
            return exitNotRun;
        }
        const std::size_t idLength = trouble ? idBytes : ordinaryIdBytes;
        record.line("ready, resident " + std::to_string(all[0].process->kilobytes("VmRSS"))
                    + " kB; length of an id: " + std::to_string(idLength)
                    + " bytes, of a request's header: "
                    + std::to_string(request(idOf(0, idLength)).size()) + " of "
                    + std::to_string(maxHeaderBytes) + " bytes");
        std::vector<Counts> counts(machines);
        std::vector<std::thread> callers;
        for (std::size_t index = 0; index < machines; ++index) {
            for (std::size_t caller = 0; caller < callersEach; ++caller) {
                callers.emplace_back(call, all[index].process->callerPort(), idLength,
                                     std::ref(counts[index]));
            }
        }
        const auto until = Clock::now() + longestRun;
        const auto sendsMore = [&counts] {
            return std::any_of(counts.begin(), counts.end(),
                               [](const Counts &each) { return each.sent < requestsEach; });
        };
        while (Clock::now() < until && sendsMore() && faultyMachines(all) < machinesForFault) {
            for (std::size_t index = 0; index < machines; ++index) {
                all[index].watch(record, counts[index].text());
            }
            sleepFor(milliseconds(20));
        }
        for (Counts &each : counts) {
            each.stop = true;
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        std::size_t succeeded = 0;
        for (std::size_t index = 0; index < machines; ++index) {
            succeeded += counts[index].succeeded;
            record.line(all[index].name + ": ends " + std::to_string(all[index].ends) + ", peak "
                        + std::to_string(all[index].peakKilobytes) + " kB; "
                        + counts[index].text());
        }
        record.line("the server ran " + std::to_string(server.runs()) + " requests");
        if (succeeded < 1'000) {
            record.line("too few requests were served: the case did not run");
            return exitNotRun;
        }
        const bool broken = faultyMachines(all) >= machinesForFault;
        record.line(broken ? "Fault: on two of two machines the process ended three times"
                           : "no process ended three times on two machines");
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
