// Requests whose header is within max_header_bytes fill the memory of a process: the journal keeps
// the latest 4,096 entries whatever their size, and each holds the request's id.

#include "machine.h"

using namespace review;

namespace {

constexpr std::size_t maxHeaderBytes = 16'384;
constexpr std::size_t idBytes = 15'900;
constexpr std::size_t ordinaryIdBytes = 16;
constexpr unsigned memoryMb = 88;
constexpr std::size_t callers = 128;
/// Requests that all callers with ids of their own send at most.
constexpr std::size_t maxRequests = 30'000;
constexpr milliseconds serverWork {200};
constexpr int timeoutMs = 3'000;
constexpr milliseconds longestRun {60'000};
/// Time for which the process has run, undisturbed, before the requests come (contact_ms).
constexpr milliseconds contactTime {4'500};

json configuration()
{
    return {{"version", 1},
            {"routes",
             {route("look", "idempotent", "desk", timeoutMs, 150, 2),
              route("order", "non_idempotent", "desk", orderTimeoutMs, 1'500, 1)}},
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
    while (!counts.stop && counts.sent < maxRequests) {
        if (!connection.isOpen() && !connection.connect(port)) {
            sleepFor(milliseconds(100));
            continue;
        }
        counts.sent += 1;
        Message answer;
        const bool sent = connection.send(request(idOf(lastNumber += 1, idLength)));
        const ReadEnd end
            = sent ? connection.read(answer, milliseconds(timeoutMs + 500)) : ReadEnd::Closed;
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
        PlainServer &server
            = *new PlainServer("desk-1", "desk", serverPort, [](const Message &request) {
                  const bool order = request.startLine.find("/order/") != std::string::npos;
                  return order ? orderWork : serverWork;
              });
        store.put("op/config", configuration().dump());
        store.put("servers/desk-1", server.registration("north", 600));
        Machine machine = startMachine(folder.path, storePort, memoryMb);
        if (machine.process == nullptr) {
            record.line("the process did not get ready");
            return exitNotRun;
        }
        OrderCallers orders(machine.process->callerPort(), server);
        sleepFor(contactTime);
        const std::size_t idLength = trouble ? idBytes : ordinaryIdBytes;
        record.line("resident " + std::to_string(machine.process->kilobytes("VmRSS"))
                    + " kB; length of an id: " + std::to_string(idLength)
                    + " bytes, of a request's header: "
                    + std::to_string(request(idOf(0, idLength)).size()) + " of "
                    + std::to_string(maxHeaderBytes) + " bytes");
        Counts counts;
        std::vector<std::thread> threads;
        for (std::size_t index = 0; index < callers; ++index) {
            threads.emplace_back(call, machine.process->callerPort(), idLength, std::ref(counts));
        }
        const auto until = Clock::now() + longestRun;
        auto nextReport = Clock::now();
        bool ended = false;
        while (!ended && Clock::now() < until && counts.sent < maxRequests) {
            if (Clock::now() >= nextReport) {
                nextReport += milliseconds(1'000);
                record.line("resident " + std::to_string(machine.process->kilobytes("VmRSS"))
                            + " kB; " + counts.text() + "; " + orders.text());
            }
            ended = machine.exceedsMemory(record);
            sleepFor(milliseconds(20));
        }
        counts.stop = true;
        for (std::thread &thread : threads) {
            thread.join();
        }
        orders.stop();
        record.line("peak " + std::to_string(machine.peakKilobytes) + " kB; " + counts.text() + "; "
                    + orders.text() + "; the server ran " + std::to_string(server.runs())
                    + " requests");
        if (counts.succeeded < 1'000 || orders.answeredCount() < orderCallers) {
            record.line("too few requests were served: the case did not run");
            return exitNotRun;
        }
        const bool broken = ended && orders.lostCount() > lostAllowed;
        record.line(broken ? "LOST is broken" : "LOST held");
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
