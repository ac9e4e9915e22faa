// One measure for each fault of the brief, on nine real entry processes and twenty engines.

#include "suites.h"

#include "load.h"
#include "process_fleet.h"

#include <csignal>
#include <functional>
#include <nlohmann/json.hpp>
#include <thread>

namespace azurespindle::bench {
namespace {

constexpr std::size_t entries = 9;
/// Fresh stewards wait out the leases of predecessors that they cannot rule out.
constexpr int stewardsOpenMs = 8'000;
/// Time in which enough streams open for a fault to meet some of them.
constexpr int untilManyOpenMs = 4'000;
constexpr double requestsPerSecond = 30.0;

/// A caller of the order service who mints a key and sends its call to several members.
class OrderCaller
{
public:
    explicit OrderCaller(const ProcessFleet &fleet) : fleet(fleet), thread([this] { this->run(); })
    { }

    ~OrderCaller() { this->stop(); }
    OrderCaller(const OrderCaller &) = delete;
    OrderCaller &operator=(const OrderCaller &) = delete;

    void stop()
    {
        this->stopping = true;
        if (this->thread.joinable()) {
            this->thread.join();
        }
    }

    std::size_t sent() const { return this->number; }
    /// Returns the orders of which some answer said that they did not run and none said otherwise.
    const std::vector<std::string> &saidNotRun() const { return this->notRun; }

private:
    void run()
    {
        while (!this->stopping) {
            this->sendOne(this->number);
            this->number += 1;
        }
    }

    std::string post(std::size_t entry, const std::string &path, const std::string &body,
                     const std::string &key) const
    {
        http::ClientRequest request;
        request.method = "POST";
        request.url = this->fleet.entryUrl(entry) + path;
        request.body = body;
        request.totalTimeout = milliseconds(1'500);
        if (!key.empty()) {
            request.headers["idempotency-key"] = key;
        }
        std::string answer;
        http::fetch(request, answer);
        return answer;
    }

    void sendOne(std::size_t index)
    {
        const std::string minted = this->post(index % entries, "/v1/idempotency-keys", "", "");
        const auto json = nlohmann::json::parse(minted, nullptr, false);
        if (!json.is_object()) {
            return;
        }
        const std::string key = json.value("key", "");
        const std::string order = "order " + std::to_string(index);
        bool ran = false;
        bool refused = false;
        for (std::size_t step = 0; step < 3; ++step) {
            const std::string answer
                = this->post((index + step) % entries, "/services/orders/new", order, key);
            ran = ran || answer.find("\"filed\":true") != std::string::npos;
            refused = refused || answer.find("\"outcome\":\"not-run\"") != std::string::npos;
        }
        if (refused && !ran) {
            this->notRun.push_back(order);
        }
    }

    const ProcessFleet &fleet;
    std::atomic<bool> stopping {false};
    std::size_t number = 0;
    std::vector<std::string> notRun;
    std::thread thread;
};

struct Disturbance
{
    const char *name;
    std::function<void(ProcessFleet &, Load &)> disturb;
};

void wait(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

void killAndReplace(ProcessFleet &fleet, Load &load)
{
    fleet.signalEntry(0, SIGKILL);
    load.setUsable(0, false);
    fleet.waitEntry(0);
    wait(3'000);
    fleet.startEntry(0);
    fleet.waitReady();
    load.setUsable(0, true);
}

void pauseAndWake(ProcessFleet &fleet, Load &load)
{
    fleet.signalEntry(1, SIGSTOP);
    load.setUsable(1, false);
    wait(9'000);
    fleet.signalEntry(1, SIGCONT);
    wait(1'000);
    load.setUsable(1, true);
}

void platformOutage(ProcessFleet &fleet, Load &)
{
    fleet.platformFault("down");
    wait(4'000);
    fleet.platformFault("up");
}

void engineFaults(ProcessFleet &fleet, const char *kind, int ms)
{
    for (std::size_t engine = 2; engine < 5; ++engine) {
        fleet.engineFault(engine, kind, ms);
        wait(700);
    }
}

const std::vector<Disturbance> &disturbances()
{
    static const std::vector<Disturbance> all {
        {"none", [](ProcessFleet &, Load &) { wait(3'000); }},
        {"entry-killed", killAndReplace},
        {"entry-paused", pauseAndWake},
        {"platform-down", platformOutage},
        {"engine-connections-cut",
         [](ProcessFleet &fleet, Load &) { engineFaults(fleet, "cut", 0); }},
        {"engine-stalled",
         [](ProcessFleet &fleet, Load &) { engineFaults(fleet, "stall", 1'500); }},
        {"engine-crashed",
         [](ProcessFleet &fleet, Load &) { engineFaults(fleet, "crash", 1'000); }},
        {"engine-turned-cold", [](ProcessFleet &fleet, Load &) { engineFaults(fleet, "cold", 0); }},
    };
    return all;
}

Load::Options loadOptions(const ProcessFleet &fleet, std::uint64_t seed, int duration)
{
    Load::Options options;
    for (std::size_t entry = 0; entry < entries; ++entry) {
        options.entries.push_back(fleet.entryUrl(entry));
    }
    options.workload.requestsPerSecond = requestsPerSecond;
    options.duration = seconds(duration);
    options.maxOutput = 600.0;
    options.seed = seed;
    return options;
}

double collapses(const ProcessFleet &fleet, std::size_t engines)
{
    double sum = 0.0;
    for (std::size_t engine = 0; engine < engines; ++engine) {
        const auto json = nlohmann::json::parse(fleet.engineCounts(engine), nullptr, false);
        sum += json.is_object() ? json.value("collapses", 0.0) : 0.0;
    }
    return sum;
}

void runOne(Report &report, ProcessFleet &fleet, const Disturbance &disturbance, std::uint64_t seed)
{
    Load load(loadOptions(fleet, seed, 12));
    load.start();
    wait(untilManyOpenMs);
    disturbance.disturb(fleet, load);
    LoadResult seen = load.finish();
    const std::string label = std::string(disturbance.name) + "/";
    report.add("faults", label + "finished", static_cast<double>(seen.finished), "count");
    report.add("faults", label + "resumed", static_cast<double>(seen.resumed), "count");
    report.add("faults", label + "refused", static_cast<double>(seen.refused), "count");
    report.add("faults", label + "broken", static_cast<double>(seen.broken), "count");
    report.add("faults", label + "gap-p99", percentileOf(seen.gaps, 0.99) * 1e3, "ms");
    report.atMost("faults", label + "mixed", static_cast<double>(seen.mixed), "count", 0.0);
    report.atMost("faults", label + "cut", static_cast<double>(seen.cut), "count", 0.0);
}

/// Replaces every entry process under load, one after the other, by a planned stop.
void rollingReplacement(Report &report, ProcessFleet &fleet)
{
    Load load(loadOptions(fleet, 99, 45));
    load.start();
    wait(1'000);
    double failedStops = 0.0;
    for (std::size_t entry = 0; entry < entries; ++entry) {
        load.setUsable(entry, false);
        fleet.signalEntry(entry, SIGTERM);
        failedStops += fleet.waitEntry(entry) == 0 ? 0.0 : 1.0;
        fleet.startEntry(entry);
        fleet.waitReady();
        load.setUsable(entry, true);
    }
    const LoadResult seen = load.finish();
    report.add("faults", "rolling-replacement/finished", static_cast<double>(seen.finished),
               "count");
    report.add("faults", "rolling-replacement/refused", static_cast<double>(seen.refused), "count");
    report.atMost("faults", "rolling-replacement/cut",
                  static_cast<double>(seen.cut + seen.broken + seen.resumed) + failedStops, "count",
                  0.0);
    report.atMost("faults", "rolling-replacement/mixed", static_cast<double>(seen.mixed), "count",
                  0.0);
}

void reportOrders(Report &report, const ProcessFleet &fleet, const OrderCaller &orders)
{
    const auto runs = nlohmann::json::parse(fleet.serviceRuns(), nullptr, false);
    double doubled = 0.0;
    for (const auto &[order, count] : runs.items()) {
        doubled += count.get<int>() > 1 ? 1.0 : 0.0;
    }
    double falselyNotRun = 0.0;
    for (const std::string &order : orders.saidNotRun()) {
        falselyNotRun += runs.contains(order) ? 1.0 : 0.0;
    }
    report.add("faults", "orders/sent", static_cast<double>(orders.sent()), "count");
    report.add("faults", "orders/ran", static_cast<double>(runs.size()), "count");
    report.atMost("faults", "orders/doubled", doubled, "count", 0.0);
    report.atMost("faults", "orders/falsely-not-run", falselyNotRun, "count", 0.0);
}

} // namespace

void runFaults(Report &report, const std::string &binaries)
{
    FleetOptions options;
    options.entries = entries;
    options.binaries = binaries;
    ProcessFleet fleet(options);
    if (!fleet.waitReady()) {
        report.atMost("faults", "unready", 1.0, "count", 0.0);
        return;
    }
    wait(stewardsOpenMs);
    OrderCaller orders(fleet);
    std::uint64_t seed = 0;
    for (const Disturbance &disturbance : disturbances()) {
        runOne(report, fleet, disturbance, ++seed);
    }
    const double before = collapses(fleet, options.engines);
    rollingReplacement(report, fleet);
    orders.stop();
    reportOrders(report, fleet, orders);
    report.atMost("faults", "cold-collapses", before, "count", 0.0);
}

} // namespace azurespindle::bench
