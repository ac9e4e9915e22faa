// Many requests at once, each with a long Azurespindle-Prompt-Prefix inside max_header_bytes, take
// a process over the memory of its machine: what is parsed from a header is charged to no budget.

#include "machine.h"

using namespace review;

namespace {

constexpr std::size_t maxHeaderBytes = 16'384;
constexpr std::size_t headerBytes = 16'100;
constexpr unsigned memoryMb = 88;
constexpr std::size_t connections = 900;
constexpr std::size_t engines = 57;
constexpr std::size_t engineSlots = 24;
constexpr int timeoutMs = 39'000;
constexpr int objectiveMs = 1'800;
constexpr int eventsOfRun = 30;
constexpr milliseconds eventInterval {100};
/// Time for which the process has run, undisturbed, before the requests come (contact_ms).
constexpr milliseconds contactTime {4'500};
/// Time for which the process is watched, longer than any request waits in its queue.
constexpr milliseconds watchedTime {4'000};
constexpr milliseconds answerPatience {10'000};

json configuration()
{
    json draft = route("draft", "streaming", "models", timeoutMs, objectiveMs, 1);
    draft["sticky"] = true;
    draft["target_itl_ms"] = 180;
    const json engine {{"slots", engineSlots},  {"kv_capacity", 26'921}, {"kv_bytes", 262'144},
                       {"link_mbps", 38'000.0}, {"moves", true},         {"backups", false},
                       {"stride", 4},           {"kv_handle_s", 5.0}};
    return {{"version", 1},
            {"routes", {draft, route("order", "non_idempotent", "desk", orderTimeoutMs, 1'500, 1)}},
            {"services",
             {{{"name", "models"},
               {"health_path", "/healthz"},
               {"max_conns", 742},
               {"cold_start_s", 1.0},
               {"cold_per_s", 27.0},
               {"engine", engine}},
              {{"name", "desk"}, {"health_path", "/healthz"}, {"max_conns", 600}}}},
            {"limits",
             {{"max_header_bytes", maxHeaderBytes},
              {"max_body_bytes", 4'194'304},
              {"header_timeout_ms", 3'000},
              {"idle_timeout_ms", 15'000}}}};
}

/// A model server: streams numbered events to as many requests as it has slots, and says of others
/// that it did not run them.
class Engine
{
public:
    Engine(std::string id, std::uint16_t port)
        : id(std::move(id)), port(port),
          listener(port, [this](Connection &connection) { this->serve(connection); })
    { }

    std::string registration() const
    {
        return json {{"service", "models"},      {"address", loopback(this->port)},
                     {"zone", "north"},          {"version", "1"},
                     {"slots", engineSlots},     {"state", "ready"},
                     {"cold_left_ms", 0},        {"sequence", 1},
                     {"born", 1'700'000'000'000}}
            .dump();
    }

    std::size_t runs() const { return this->runCount; }

private:
    void serve(Connection &connection)
    {
        Message request;
        if (connection.read(request, milliseconds(10'000)) != ReadEnd::Complete) {
            return;
        }
        const std::string echo
            = "Azurespindle-Attempt-Id: " + request.field("Azurespindle-Attempt-Id") + "\r\n";
        if (this->running.fetch_add(1) >= engineSlots) {
            connection.send(response(503, echo + "Azurespindle-Not-Executed: 1\r\n", ""));
            this->running -= 1;
            return;
        }
        this->runCount += 1;
        this->stream(connection, echo);
        this->running -= 1;
    }

    void stream(Connection &connection, const std::string &echo) const
    {
        if (!connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + echo
                             + "Azurespindle-Server-Seal: seal." + this->id
                             + "\r\nTransfer-Encoding: chunked\r\n\r\n")) {
            return;
        }
        for (int event = 1; event <= eventsOfRun; ++event) {
            const std::string text = "id: " + std::to_string(event) + "\ndata: tokens\n\n";
            char size[20];
            std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
            if (!connection.send(size + text + "\r\n")) {
                return;
            }
            sleepFor(eventInterval);
        }
        connection.send("0\r\n\r\n");
    }

    const std::string id;
    const std::uint16_t port;
    std::atomic<std::size_t> running {0};
    std::atomic<std::size_t> runCount {0};
    Listener listener;
};

/// Returns a request whose header has \a bytes at least, if the list of prompt parts can fill it.
std::string request(const std::string &id, std::size_t bytes)
{
    std::string text = "POST /draft/1 HTTP/1.1\r\nHost: shop.example\r\nAzurespindle-Attempt-Id: "
        + id + "\r\nAzurespindle-Deadline-Ms: " + std::to_string(timeoutMs)
        + "\r\nAzurespindle-Model: m\r\nAzurespindle-Token-Usage: 4000,80"
        + "\r\nContent-Length: 2\r\nAzurespindle-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410";
    std::size_t number = 0;
    while (text.size() + 8 < bytes) {
        char part[24];
        std::snprintf(part, sizeof(part), ",%zx:1", number % 16);
        text += part;
        number += 1;
    }
    return text + "\r\n\r\nhi";
}

int play(Record &record)
{
    try {
        const bool trouble = withTrouble();
        const TemporaryFolder folder;
        const std::uint16_t storePort = freePort();
        Store &store = *new Store(storePort); // Its threads run until the program ends.
        store.put("op/config", configuration().dump());
        std::vector<Engine *> fleet;
        for (std::size_t index = 0; index < engines; ++index) {
            const std::string id = "i-" + std::to_string(index);
            fleet.push_back(new Engine(id, freePort()));
            store.put("servers/" + id, fleet.back()->registration());
        }
        const std::uint16_t deskPort = freePort();
        PlainServer &desk = *new PlainServer("desk-1", "desk", deskPort,
                                             [](const Message &) { return orderWork; });
        store.put("servers/desk-1", desk.registration("north", 24));
        Machine machine = startMachine(folder.path, storePort, memoryMb);
        if (machine.process == nullptr) {
            record.line("the process did not get ready");
            return exitNotRun;
        }
        OrderCallers orders(machine.process->callerPort(), desk);
        sleepFor(contactTime);
        const std::size_t bytes = trouble ? headerBytes : 0;
        record.line("resident " + std::to_string(machine.process->kilobytes("VmRSS"))
                    + " kB; header of a request: "
                    + std::to_string(request("draft-0", bytes).size()) + " of "
                    + std::to_string(maxHeaderBytes) + " bytes; " + orders.text());
        std::vector<std::unique_ptr<Connection>> clients;
        std::size_t sent = 0;
        bool ended = false;
        for (std::size_t index = 0; index < connections && !ended; ++index) {
            clients.push_back(std::make_unique<Connection>());
            const bool accepted = clients.back()->connect(machine.process->callerPort());
            const std::string text = request("draft-" + std::to_string(index), bytes);
            sent += accepted && clients.back()->send(text, milliseconds(500)) ? 1 : 0;
            ended = machine.exceedsMemory(record);
        }
        const auto until = Clock::now() + watchedTime;
        while (!ended && Clock::now() < until) {
            ended = machine.exceedsMemory(record);
            sleepFor(milliseconds(5));
        }
        std::size_t answered = 0;
        for (const auto &client : clients) {
            Message answer;
            answered += client->read(answer, answerPatience) == ReadEnd::Complete ? 1 : 0;
        }
        orders.stop();
        std::size_t runs = 0;
        for (const Engine *engine : fleet) {
            runs += engine->runs();
        }
        record.line("requests sent: " + std::to_string(sent) + ", answered: "
                    + std::to_string(answered) + ", begun by engines: " + std::to_string(runs)
                    + "; peak " + std::to_string(machine.peakKilobytes) + " kB; " + orders.text());
        if (sent == 0 || orders.answeredCount() < orderCallers) {
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
