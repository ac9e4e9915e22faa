// azurespindle-capacity FOLDER: works out docs/CAPACITY.md's tables from the bench's JSON.

#include "base/text_file.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <cstdio>
#include <iostream>
#include <map>
#include <string>
#include <vector>

namespace {

// The target, and today's larger user.
struct Size
{
    const char *name;
    double nodes;
    double upstreams;
    double requests; ///< Each second.
    double tokens;   ///< Each second.
    double workspaces;
    double models;
    double zones;
    double regions;
    double changes;  ///< Of the configuration, each day.
    double replaced; ///< VMs replaced or dead, each day.
    double documentBytes;
};

constexpr Size today {"today", 9, 24, 30, 5'000, 10, 1, 4, 1, 20, 9, 4'096};
constexpr Size target {"target", 910, 2'700, 40'000, 11e6, 1'800, 5, 14, 4, 3'200, 873, 16'384};

// Bounds for control on one node.
constexpr double corePercent = 3.9;
constexpr double memoryBytes = 32.0 * 1'048'576.0;
constexpr double bytesPerSecond = 4'096.0;

constexpr double secondsPerDay = 86'400.0;
constexpr double secondsBetweenTokens = 0.05;
constexpr double linksPerNode = 8.0; ///< Four chosen, and on the mean four that chose it.
constexpr double usedUpstreams = 20.0;
constexpr double renewalsPerSecond = 1.0 / 2.5;
constexpr double loadsPerSecond = 0.5;
constexpr double watchersPerZone = 2.0;
constexpr double watchSeconds = 20.0;
constexpr double loadReportBytes = 450.0; ///< Request, response, headers.
constexpr double keyedCallsShare = 0.05;
constexpr double keySeconds = 3'600.0;
constexpr double lengthClassBytes = 700.0;
constexpr double prefixBlockBytes = 64.0;
constexpr double standingsPerSecond = 1.0 / 15.0;
constexpr double fleetScopeEngines = 48.0;
constexpr double seriesBytes = 4'096.0;       ///< Five histograms of some tens of buckets.
constexpr double contendedSecondsEach = 0.25; ///< Between renewals, for each upstream in use.

/// Measures of all suites by name.
class Measures
{
public:
    explicit Measures(const std::string &folder)
    {
        for (const char *suite : {"decision", "proxy", "control"}) {
            const auto text
                = azurespindle::readTextFile(folder + "/" + std::string(suite) + ".json");
            if (!text.ok()) {
                std::cerr << text.error().message() << "\n";
                std::exit(1);
            }
            for (const auto &line : nlohmann::json::parse(text.value())) {
                this->values[line["measure"]] = line["value"];
            }
        }
    }

    double operator[](const std::string &name) const { return this->values.at(name); }

private:
    std::map<std::string, double> values;
};

struct Cost
{
    double cores = 0.0; ///< Percent of one core.
    double bytes = 0.0; ///< Each second, sent and received.
    double memory = 0.0;
};

struct Role
{
    const char *name;
    const char *mechanism;
    Cost (*cost)(const Measures &, const Size &);
};

double exchangesCpu(const Measures &measured, double perSecond)
{
    // From the control bench: processor time over frame bytes at 64 idle nodes.
    const double perByte = measured["64-nodes/cpu-mean"] / measured["64-nodes/bytes-mean"];
    return perSecond * perByte;
}

Cost heartbeats(const Measures &measured, const Size &size)
{
    const double links = std::min(linksPerNode, size.nodes - 1.0);
    const double beats = links * 2.0 * (measured["frame/heartbeat"] + 4.0);
    const double news
        = size.replaced * 3.0 / secondsPerDay * measured["frame/member-news"] * links * 2.0;
    return {exchangesCpu(measured, beats + news), beats + news,
            size.nodes * measured["bytes-per-member/1000"]};
}

Cost holding(const Measures &measured, const Size &size)
{
    const double used = std::min(usedUpstreams, size.upstreams);
    const double bytes = renewalsPerSecond * used
        * (measured["frame/lease-request"] + measured["frame/lease-grant"] + 8.0);
    const double memory = used * (measured["bytes-per-upstream/1000"] + 1'024.0 * prefixBlockBytes);
    return {exchangesCpu(measured, bytes), bytes, memory};
}

Cost stewarding(const Measures &measured, const Size &size)
{
    const double own = size.upstreams / size.nodes;
    const double used = std::min(usedUpstreams, size.upstreams);
    const double holders = used * size.nodes / size.upstreams;
    const double leases = renewalsPerSecond * own * holders
        * (measured["frame/lease-request"] + measured["frame/lease-grant"] + 8.0);
    const double bytes = leases + own * loadsPerSecond * loadReportBytes;
    return {exchangesCpu(measured, bytes), bytes,
            own * holders * measured["bytes-per-holder/1000"]};
}

Cost documents(const Measures &measured, const Size &size)
{
    const double changes = size.changes / secondsPerDay;
    const double watchers = std::min(watchersPerZone, size.nodes / size.zones) * size.zones;
    // From a peer it comes compressed, sent once and received once; from the service as it is.
    const double compression
        = measured["frame/document-of-100-exceptions"] / measured["document-of-100-exceptions"];
    const double bytes = changes * size.documentBytes * (2.0 * compression + watchers / size.nodes);
    return {exchangesCpu(measured, bytes), bytes, 8.0 * size.documentBytes};
}

Cost fairness(const Measures &measured, const Size &size)
{
    return {0.0, 0.0, size.models * size.workspaces * measured["bytes-per-workspace/1000"]};
}

Cost lengths(const Measures &, const Size &size)
{
    return {0.0, 0.0, size.models * std::min(512.0, size.workspaces * 2.0) * lengthClassBytes};
}

Cost keys(const Measures &measured, const Size &size)
{
    const double held
        = std::min(65'536.0, size.requests / size.nodes * keyedCallsShare * keySeconds);
    return {0.0, 0.0, held * measured["bytes-per-key/1000"]};
}

/// The node that gives out the permits of one pool of one zone; most give out none.
Cost orders(const Measures &measured, const Size &size)
{
    const double own = size.upstreams / size.nodes;
    const double heard = std::max(size.upstreams / size.zones / size.models,
                                  std::min(fleetScopeEngines, size.upstreams / size.models));
    const double exchange = measured["frame/permit-request"] + measured["frame/permit-answer"];
    const double bytes = (own + heard) * standingsPerSecond * exchange;
    return {exchangesCpu(measured, bytes), bytes,
            heard * measured["bytes-per-ordered-engine/1000"]};
}

Cost metricSeries(const Measures &, const Size &size)
{
    return {0.0, 0.0, std::min(256.0, size.workspaces * 2.0) * seriesBytes};
}

Cost idle(const Measures &measured, const Size &)
{
    // The process as such: program, libraries, stacks, journal; timers and ticks.
    return {measured["64-nodes/cpu-mean"], 0.0, measured["64-nodes/resident-mean"]};
}

const std::vector<Role> roles {
    {"the idle process", "timers at 50 ms, 1 s; recent events bounded at 4,096", idle},
    {"heartbeats and membership", "overlay of 4 chosen links, 1 s; news once along links",
     heartbeats},
    {"holding leases", "20 upstreams a process; renewed each 2.5 s", holding},
    {"stewarding upstreams", "rendezvous in the zone; loads read each 2 s", stewarding},
    {"configuration and VM list",
     "2 watchers a zone; revision on heartbeats, fetched once, compressed", documents},
    {"fairness", "counters for each workspace and pool", fairness},
    {"length knowledge", "512 classes a pool", lengths},
    {"ordering engines, giving out permits", "own engines and one pool told each 15 s", orders},
    {"metrics", "256 series, scraped by the platform", metricSeries},
    {"homing idempotency keys", "65,536 keys, one hour; 5 % of calls keyed", keys},
};

std::string number(double value)
{
    char text[32];
    std::snprintf(text, sizeof(text), value >= 100.0 ? "%.0f" : "%.2g", value);
    return text;
}

std::string kilobytes(double bytes)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.0f KB", std::ceil(bytes / 1'024.0));
    return text;
}

const char *verdict(double value, double bound)
{
    return value <= bound ? "within" : "**over**";
}

void printControl(const Measures &measured, const Size &size)
{
    std::printf("\n### Control of one node, %s\n\n| role | processor | bytes/s | memory | "
                "mechanism |\n|---|---|---|---|---|\n",
                size.name);
    Cost sum;
    for (const Role &role : roles) {
        const Cost cost = role.cost(measured, size);
        sum.cores += cost.cores;
        sum.bytes += cost.bytes;
        sum.memory += cost.memory;
        std::printf("| %s | %s %% | %s | %s | %s |\n", role.name, number(cost.cores).c_str(),
                    number(cost.bytes).c_str(), kilobytes(cost.memory).c_str(), role.mechanism);
    }
    std::printf("| **all** | %s %% of %s %%: %s | %s of %s: %s | %s of %s: %s | |\n",
                number(sum.cores).c_str(), number(corePercent).c_str(),
                verdict(sum.cores, corePercent), number(sum.bytes).c_str(),
                number(bytesPerSecond).c_str(), verdict(sum.bytes, bytesPerSecond),
                kilobytes(sum.memory).c_str(), kilobytes(memoryBytes).c_str(),
                verdict(sum.memory, memoryBytes));
}

void printData(const Measures &measured, const Size &size)
{
    const double tokens = size.tokens / size.nodes;
    const double streams = tokens * secondsBetweenTokens;
    const double cores = tokens * measured["cpu-per-1000-tokens"] / 1e6;
    const double placing = size.requests / size.nodes * measured["placement/40-upstreams"] / 1e6;
    const double memory
        = streams * (measured["bytes-per-open-stream"] + measured["bytes-per-generation/1000"]);
    std::printf("| %s | %s | %s | %s | %s | %s | %s | %s |\n", size.name,
                number(size.requests / size.nodes).c_str(), number(tokens).c_str(),
                number(streams).c_str(), number(cores).c_str(), number(placing * 100.0).c_str(),
                kilobytes(memory).c_str(), number(cores * size.nodes).c_str());
}

/// What leases cost while every upstream is warm and contended, in bytes a second.
void printContention(const Measures &measured, const Size &size)
{
    const double exchange
        = measured["frame/contended-lease-request"] + measured["frame/contended-lease-grant"];
    const double used = std::min(usedUpstreams, size.upstreams);
    const double perSecond = 1.0 / std::max(0.5, contendedSecondsEach * used);
    const double holding = used * perSecond * exchange;
    const double own = size.upstreams / size.nodes;
    const double stewarding
        = holding + own * loadsPerSecond * loadReportBytes; // As many holders as it holds itself.
    const double others = heartbeats(measured, size).bytes + documents(measured, size).bytes
        + orders(measured, size).bytes;
    const double sum = holding + stewarding + others;
    std::printf("| %s | %s | %s | %s | %s of %s: %s |\n", size.name, number(holding).c_str(),
                number(stewarding).c_str(), number(others).c_str(), number(sum).c_str(),
                number(bytesPerSecond).c_str(), verdict(sum, bytesPerSecond));
}

void printPlatform(const Size &size)
{
    const double watchers = std::min(watchersPerZone, size.nodes / size.zones) * size.zones;
    const double reads = 2.0 * watchers / watchSeconds + watchers * size.changes / secondsPerDay;
    std::printf("| %s | %s | %s | 2000 | %s |\n", size.name, number(watchers).c_str(),
                number(reads).c_str(), verdict(reads, 2'000.0));
}

} // namespace

int main(int count, char **values)
{
    const Measures measured(count > 1 ? values[1] : "docs/measurements");
    std::printf("## Worked out from the measurements\n");
    for (const Size &size : {today, target}) {
        printControl(measured, size);
    }
    std::printf(
        "\n### Bytes a second while every upstream is contended\n\n| size | holding leases | "
        "stewarding | the rest | all |\n|---|---|---|---|---|\n");
    printContention(measured, today);
    printContention(measured, target);
    std::printf("\n### Data path of one node\n\n| size | requests/s | tokens/s | open streams | "
                "cores | placements, %% of a core | memory of streams | cores of the fleet "
                "|\n|---|---|---|---|---|---|---|---|\n");
    printData(measured, today);
    printData(measured, target);
    std::printf("\n### Reads of the configuration service\n\n| size | watchers | calls/s, both "
                "documents | allowed | verdict |\n|---|---|---|---|---|\n");
    printPlatform(today);
    printPlatform(target);
    std::printf("\n### Slopes used\n\n| measure | value |\n|---|---|\n");
    for (const char *name : {"frame/heartbeat",
                             "frame/lease-request",
                             "frame/lease-grant",
                             "frame/member-news",
                             "frame/contended-lease-request",
                             "frame/contended-lease-grant",
                             "frame/permit-request",
                             "frame/permit-answer",
                             "bytes-per-ordered-engine/1000",
                             "bytes-per-member/1000",
                             "bytes-per-upstream/1000",
                             "bytes-per-generation/1000",
                             "bytes-per-workspace/1000",
                             "bytes-per-holder/1000",
                             "bytes-per-key/1000",
                             "placement/40-upstreams",
                             "cpu-per-1000-tokens",
                             "bytes-per-open-stream",
                             "8-nodes/bytes-mean",
                             "64-nodes/bytes-mean",
                             "64-nodes/cpu-mean",
                             "64-nodes/resident-mean"}) {
        std::printf("| %s | %s |\n", name, number(measured[name]).c_str());
    }
    return 0;
}
