// A request that crashes the servers that run it, while the machines are restarted in turn.

#include "../support-2/fleet.h"

#include <csignal>

namespace {

using namespace review;

constexpr const char *target = "/order/deadly";
constexpr double heartbeatMs = 1'200;
constexpr double lapseMs = 3 * heartbeatMs; ///< An entry is removed after this silence.
constexpr double serverDownMs = 2'500;
constexpr double contactMs = 3'000;
constexpr double inTouchMs = contactMs + 500;
constexpr double callPauseMs = 1'700; ///< Between two machines that the request comes to.
constexpr std::size_t allowedRetries = 3;
constexpr std::size_t serverCount = 6;

/// Application servers that crash, lapse from the store, and are back after some seconds.
class Desk
{
public:
    Desk(Store &store, Arrivals &arrivals, Record &record)
        : store(store), arrivals(arrivals), record(record)
    {
        for (std::size_t place = 0; place < serverCount; ++place) {
            this->open(place);
        }
    }

    /// Brings back the servers whose time has come, and removes entries that have lapsed.
    void advance()
    {
        std::vector<std::size_t> crashed;
        {
            const std::lock_guard lock(this->mutex);
            crashed.swap(this->crashes);
        }
        for (const std::size_t place : crashed) {
            this->servers[place]->crash();
            const std::string id = this->servers[place]->entry.id;
            this->lapses.emplace_back(nowMs() + lapseMs, id);
            this->returns.emplace_back(nowMs() + serverDownMs, place);
        }
        std::erase_if(this->lapses, [this](const auto &lapse) {
            if (lapse.first > nowMs()) {
                return false;
            }
            this->record.line("store removes the entry of " + lapse.second);
            this->store.remove("servers/" + lapse.second);
            return true;
        });
        std::erase_if(this->returns, [this](const auto &back) {
            if (back.first > nowMs()) {
                return false;
            }
            this->open(back.second);
            return true;
        });
    }

private:
    void open(std::size_t place)
    {
        this->starts += 1;
        const std::string id = "desk-" + std::to_string(this->starts);
        auto server = std::make_unique<PlainServer>(
            ServerEntry {id, "desk", place % 2 == 0 ? "a" : "b", 6, 0.0}, 30.0, this->arrivals);
        server->crashOn("deadly", [this, place, id] {
            this->record.line("server " + id + " crashes");
            const std::lock_guard lock(this->mutex);
            this->crashes.push_back(place);
        });
        this->record.line("server " + id + " is up");
        this->store.put("servers/" + id, server->registration());
        this->old.push_back(std::move(this->servers[place]));
        this->servers[place] = std::move(server);
    }

    Store &store;
    Arrivals &arrivals;
    Record &record;
    std::unique_ptr<PlainServer> servers[serverCount];
    std::vector<std::unique_ptr<PlainServer>> old;
    std::size_t starts = 0;
    std::vector<std::pair<double, std::string>> lapses;
    std::vector<std::pair<double, std::size_t>> returns;
    std::mutex mutex; ///< Guards the crashes.
    std::vector<std::size_t> crashes;
};

/// The caller whose request comes again and again, at one machine after another.
class DeadlyCaller
{
public:
    DeadlyCaller(std::vector<std::unique_ptr<Machine>> &machines, Record &record)
        : machines(machines), record(record)
    { }

    /// Sends it to the next machine, if that one is in touch and a pause has passed.
    void advance()
    {
        if (nowMs() < this->nextAt) {
            return;
        }
        this->nextAt = nowMs() + callPauseMs;
        Machine &machine = *this->machines[this->count++ % this->machines.size()];
        if (machine.running() && nowMs() - machine.startedAt() > inTouchMs) {
            ask(this->record, machine, "POST", target, "deadly-" + std::to_string(this->count),
                1'000, "the same order");
        }
    }

private:
    std::vector<std::unique_ptr<Machine>> &machines;
    Record &record;
    std::size_t count = 0;
    double nextAt = 0.0;
};

Verdict play(const CaseOptions &options)
{
    Record record(options.recordFile);
    Arrivals arrivals(record);
    Store store;
    Desk desk(store, arrivals, record);
    store.put("op/config",
              configuration(1, {route("order", "non_idempotent", "desk", 1'000, 150, 1)},
                            {{{"name", "desk"},
                              {"health_path", "/healthz"},
                              {"max_conns", 110},
                              {"cold_start_s", 0.0},
                              {"cold_per_s", 0.0}}}));
    std::vector<std::unique_ptr<Machine>> machines;
    for (const std::string zone : {"a", "b", "a"}) {
        const std::string seed = machines.empty() ? "" : machines.front()->memberAddress();
        const std::string name = "entry-" + std::to_string(machines.size() + 1);
        machines.push_back(
            std::make_unique<Machine>(MachineOptions {name, zone, store.port(), {"a", "b"}, seed}));
        machines.back()->start();
    }
    for (const auto &machine : machines) {
        if (!machine->waitUntilReady(milliseconds(10'000))) {
            return Verdict::CouldNotRun;
        }
    }
    DeadlyCaller caller(machines, record);
    const auto goOn = [&](double duration) {
        const double until = nowMs() + duration;
        while (nowMs() < until) {
            caller.advance();
            desk.advance();
            sleepMs(10);
        }
    };
    goOn(inTouchMs + 16'000);
    const std::size_t before = arrivals.all().size();
    say(record, "the request has reached " + std::to_string(before) + " servers");
    if (before < 3) {
        say(record, "it has not crashed three servers");
    }
    for (const auto &machine : machines) {
        if (options.trouble) {
            say(record, machine->options.name + " gets SIGTERM and starts again");
            machine->signal(SIGTERM);
            while (machine->running()) {
                goOn(100);
            }
            machine->start();
        }
        goOn(18'000);
    }
    std::vector<double> crashes;
    for (const Arrival &arrival : arrivals.all()) {
        if (!arrival.misdirected) {
            crashes.push_back(arrival.at);
        }
    }
    std::size_t late = 0;
    for (const double at : crashes) {
        late += crashes.size() >= 3 && at > crashes[2] + contactMs ? 1 : 0;
    }
    say(record,
        "it reached " + std::to_string(crashes.size()) + " servers, " + std::to_string(late)
            + " of them later than " + std::to_string(int(contactMs))
            + " ms after it had crashed the third; allowed are " + std::to_string(allowedRetries));
    return late > allowedRetries ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int count, char **values)
{
    return review::runCase(count, values, play);
}
