// A few clients that send requests one after the other on kept connections and read no answer take a
// process over the memory of its machine: small answers wait to be sent without any bound.

#include "machine.h"

using namespace review;

namespace {

constexpr unsigned memoryMb = 110;
constexpr std::size_t machines = 2;
constexpr std::size_t silentClients = 4;
constexpr std::size_t ordinaryClients = 4;
/// Bytes of an answer, as the largest of the site.
constexpr std::size_t answerBytes = 4'800;
constexpr std::size_t requestsPerStep = 10;
constexpr milliseconds stepInterval {20};
/// Requests that a client sends at most.
constexpr std::size_t requestsEach = 40'000;
constexpr int timeoutMs = 1'000;
constexpr milliseconds longestRun {75'000};
/// Size of the buffer in which the system of a client keeps what it has not read.
constexpr int receiveBufferBytes = 4'096;

json configuration()
{
    return {{"version", 1},
            {"routes", {route("look", "idempotent", "desk", timeoutMs, 150, 2)}},
            {"services", {{{"name", "desk"}, {"health_path", "/healthz"}, {"max_conns", 600}}}},
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

std::string nextId()
{
    static std::atomic<std::size_t> lastNumber {0};
    return "r" + std::to_string(lastNumber += 1);
}

struct Counts
{
    std::atomic<std::size_t> pipelined {0};
    std::atomic<std::size_t> answered {0};   ///< Of ordinary clients.
    std::atomic<std::size_t> unanswered {0}; ///< Of ordinary clients.
    std::atomic<bool> stop {false};

    std::string text() const
    {
        return "pipelined requests sent: " + std::to_string(this->pipelined)
            + "; of ordinary clients, answered: " + std::to_string(this->answered)
            + ", ended without an answer: " + std::to_string(this->unanswered);
    }
};

/// Sends requests on a kept connection without waiting for the answers, which it reads or not.
void pipeline(std::uint16_t port, bool readsAnswers, Counts &counts)
{
    Connection connection;
    for (std::size_t sent = 0; sent < requestsEach && !counts.stop;) {
        if (!connection.isOpen() && !connection.connect(port, receiveBufferBytes)) {
            sleepFor(milliseconds(200));
            continue;
        }
        std::string requests;
        for (std::size_t index = 0; index < requestsPerStep; ++index) {
            requests += request(nextId());
        }
        bool open = connection.send(requests, milliseconds(2'000));
        sent += requestsPerStep;
        counts.pipelined += requestsPerStep;
        for (std::size_t index = 0; open && readsAnswers && index < requestsPerStep; ++index) {
            Message answer;
            open = connection.read(answer, milliseconds(2'000)) == ReadEnd::Complete;
        }
        if (!open) {
            connection.close();
        }
        sleepFor(stepInterval);
    }
}

/// Sends one request after the other and reads each answer.
void ordinaryClient(std::uint16_t port, Counts &counts)
{
    Connection connection;
    while (!counts.stop) {
        if (!connection.isOpen() && !connection.connect(port)) {
            sleepFor(milliseconds(200));
            continue;
        }
        Message answer;
        const bool answered = connection.send(request(nextId()))
            && connection.read(answer, milliseconds(timeoutMs + 500)) == ReadEnd::Complete;
        (answered ? counts.answered : counts.unanswered) += 1;
        if (!answered) {
            connection.close();
        }
        sleepFor(milliseconds(50));
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
        PlainServer &server = *new PlainServer(
            "desk-1", "desk", serverPort, [](const Message &) { return milliseconds(0); },
            answerBytes);
        store.put("op/config", configuration().dump());
        store.put("servers/desk-1", server.registration("north", 24));
        std::vector<Machine> all = startMachines(machines, folder.path, storePort, memoryMb);
        if (all.empty()) {
            record.line("a process did not get ready");
            return exitNotRun;
        }
        record.line(std::string("ready; at each machine ") + std::to_string(silentClients)
                    + " clients send on without waiting and "
                    + (trouble ? "read nothing" : "read their answers") + ", "
                    + std::to_string(ordinaryClients) + " ordinary clients");
        std::vector<Counts> counts(machines);
        std::vector<std::thread> clients;
        for (std::size_t index = 0; index < machines; ++index) {
            const std::uint16_t port = all[index].process->callerPort();
            for (std::size_t client = 0; client < silentClients; ++client) {
                clients.emplace_back(pipeline, port, !trouble, std::ref(counts[index]));
            }
            for (std::size_t client = 0; client < ordinaryClients; ++client) {
                clients.emplace_back(ordinaryClient, port, std::ref(counts[index]));
            }
        }
        const auto until = Clock::now() + longestRun;
        auto nextReport = Clock::now();
        while (Clock::now() < until && faultyMachines(all) < machinesForFault) {
            for (std::size_t index = 0; index < machines; ++index) {
                all[index].watch(record, counts[index].text());
            }
            if (Clock::now() >= nextReport) {
                nextReport += milliseconds(5'000);
                record.line("resident: " + std::to_string(all[0].process->kilobytes("VmRSS"))
                            + " and " + std::to_string(all[1].process->kilobytes("VmRSS"))
                            + " kB; the server has run " + std::to_string(server.runs())
                            + " requests");
            }
            sleepFor(milliseconds(20));
        }
        for (Counts &each : counts) {
            each.stop = true;
        }
        for (std::thread &client : clients) {
            client.join();
        }
        std::size_t answered = 0;
        for (std::size_t index = 0; index < machines; ++index) {
            answered += counts[index].answered;
            record.line(all[index].name + ": ends " + std::to_string(all[index].ends) + ", peak "
                        + std::to_string(all[index].peakKilobytes) + " kB; "
                        + counts[index].text());
        }
        if (answered < 100) {
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
