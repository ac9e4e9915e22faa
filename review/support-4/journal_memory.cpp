// Requests whose header is within max_header_bytes fill the memory of a process: the journal keeps
// the latest 4,096 entries whatever their size, and each holds the request's id.

#include "harness.h"

#include <algorithm>

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
constexpr std::size_t memoryKilobytes = memoryMb * 1'024;
/// Fault: so many ends on so many machines make the day count 0.
constexpr std::size_t endsForFault = 3;
constexpr std::size_t machinesForFault = 2;
constexpr milliseconds longestRun {80'000};
constexpr milliseconds restartDelay {500};

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

/// A machine of the platform: "A process that exceeds memory_mb is killed", and is restarted after
/// a short delay.
struct Machine
{
    std::unique_ptr<EntryProcess> process;
    Counts counts;
    std::vector<std::thread> callers;
    std::size_t ends = 0;
    std::size_t peakKilobytes = 0;
    std::optional<Clock::time_point> restartAt;
};

void watchMemory(Machine &machine, const std::string &name, Record &record)
{
    if (machine.restartAt) {
        if (Clock::now() >= *machine.restartAt) {
            machine.restartAt.reset();
            machine.process->start();
            record.line(name + ": started again");
        }
        return;
    }
    const std::size_t resident = machine.process->kilobytes("VmRSS");
    machine.peakKilobytes = std::max(machine.peakKilobytes, resident);
    const bool lives = machine.process->alive();
    if (lives && resident <= memoryKilobytes) {
        return;
    }
    if (lives) {
        machine.process->kill();
    }
    machine.ends += 1;
    machine.restartAt = Clock::now() + restartDelay;
    record.line(name + ": resident " + std::to_string(resident) + " kB of "
                + std::to_string(memoryKilobytes) + " kB: "
                + (lives ? "killed by the platform" : "the process had ended") + ", end "
                + std::to_string(machine.ends) + "; " + machine.counts.text());
}

std::size_t faultyMachines(const std::vector<Machine> &all)
{
    std::size_t count = 0;
    for (const Machine &machine : all) {
        count += machine.ends >= endsForFault ? 1 : 0;
    }
    return count;
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
        std::vector<std::uint16_t> memberPorts;
        std::vector<std::string> seeds;
        for (std::size_t index = 0; index < machines; ++index) {
            memberPorts.push_back(freePort());
            seeds.push_back(loopback(memberPorts.back()));
        }
        std::vector<Machine> all(machines);
        for (std::size_t index = 0; index < machines; ++index) {
            all[index].process = std::make_unique<EntryProcess>(
                folder.path, "entry-" + std::to_string(index + 1), "north", storePort, seeds,
                memoryMb, memberPorts[index]);
        }
        for (const Machine &machine : all) {
            if (!machine.process->waitReady(milliseconds(20'000))) {
                record.line("a process did not get ready");
                return exitNotRun;
            }
        }
        const std::size_t idLength = trouble ? idBytes : ordinaryIdBytes;
        record.line("ready, resident " + std::to_string(all[0].process->kilobytes("VmRSS"))
                    + " kB; length of an id: " + std::to_string(idLength)
                    + " bytes, of a request's header: "
                    + std::to_string(request(idOf(0, idLength)).size()) + " of "
                    + std::to_string(maxHeaderBytes) + " bytes");
        for (Machine &machine : all) {
            for (std::size_t index = 0; index < callersEach; ++index) {
                machine.callers.emplace_back(call, machine.process->callerPort(), idLength,
                                             std::ref(machine.counts));
            }
        }
        const auto until = Clock::now() + longestRun;
        const auto sendsMore = [&all] {
            return std::any_of(all.begin(), all.end(), [](const Machine &machine) {
                return machine.counts.sent < requestsEach;
            });
        };
        while (Clock::now() < until && sendsMore() && faultyMachines(all) < machinesForFault) {
            for (std::size_t index = 0; index < machines; ++index) {
                watchMemory(all[index], "entry-" + std::to_string(index + 1), record);
            }
            sleepFor(milliseconds(20));
        }
        for (Machine &machine : all) {
            machine.counts.stop = true;
        }
        std::size_t succeeded = 0;
        for (std::size_t index = 0; index < machines; ++index) {
            for (std::thread &caller : all[index].callers) {
                caller.join();
            }
            succeeded += all[index].counts.succeeded;
            record.line("entry-" + std::to_string(index + 1) + ": ends "
                        + std::to_string(all[index].ends) + ", peak "
                        + std::to_string(all[index].peakKilobytes) + " kB; "
                        + all[index].counts.text());
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
