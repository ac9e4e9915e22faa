// Processor time, bytes and memory of control, per node, over 2 to 64 real processes.

#include "suites.h"

#include "process_fleet.h"

#include <algorithm>
#include <thread>

namespace azurespindle::bench {
namespace {

constexpr std::size_t fleetSizes[] = {2, 4, 8, 16, 32, 64};
constexpr seconds settleTime {6};
constexpr seconds measuredTime {8};
// The target's bounds for one node.
constexpr double maxCorePercent = 3.9;
constexpr double maxBytesPerSecond = 4'096.0;
constexpr double maxResidentBytes = 32.0 * 1'048'576.0;
constexpr double maxConfigurationSeconds = 5.0;

struct Sample
{
    double cpuSeconds = 0.0;
    double frameBytes = 0.0;
    double reads = 0.0;
    double loadReads = 0.0;
    double resident = 0.0;
};

Sample sample(const ProcessFleet &fleet, std::size_t entry)
{
    const std::string text = fetchText(fleet.entryUrl(entry) + "/metrics");
    const Usage usage = fleet.usage(entry);
    return {usage.cpuSeconds,
            counterValue(text, "azurespindle_frame_bytes_sent_total")
                + counterValue(text, "azurespindle_frame_bytes_received_total"),
            counterValue(text, "azurespindle_configuration_reads_total"),
            counterValue(text, "azurespindle_load_reads_total"), usage.residentBytes};
}

std::vector<Sample> sampleAll(const ProcessFleet &fleet)
{
    std::vector<Sample> samples;
    for (std::size_t entry = 0; entry < fleet.entryCount(); ++entry) {
        samples.push_back(sample(fleet, entry));
    }
    return samples;
}

/// Returns the seconds from publishing a configuration to its being in force in every process.
double configurationSeconds(ProcessFleet &fleet)
{
    const Instant begin = monotonicNow();
    fleet.configure("");
    const std::string wanted = "\"revision\": " + std::to_string(fleet.revision());
    for (std::size_t entry = 0; entry < fleet.entryCount(); ++entry) {
        while (fetchText(fleet.entryUrl(entry) + "/configuration").find(wanted)
               == std::string::npos) {
            if (monotonicNow() - begin > seconds(20)) {
                return 20.0;
            }
            std::this_thread::sleep_for(milliseconds(5));
        }
    }
    return inSeconds(monotonicNow() - begin);
}

void measure(Report &report, std::size_t size, const std::string &binaries)
{
    FleetOptions options;
    options.entries = size;
    options.zones = std::min<std::size_t>(size, 4);
    options.binaries = binaries;
    ProcessFleet fleet(options);
    const std::string label = std::to_string(size) + "-nodes/";
    if (!fleet.waitReady()) {
        report.atMost("control", label + "unready", 1.0, "count", 0.0);
        return;
    }
    std::this_thread::sleep_for(settleTime);
    const std::vector<Sample> before = sampleAll(fleet);
    const Instant begin = monotonicNow();
    std::this_thread::sleep_for(measuredTime);
    const std::vector<Sample> after = sampleAll(fleet);
    const double span = inSeconds(monotonicNow() - begin);
    Sample mean;
    Sample most;
    const auto count = static_cast<double>(size);
    for (std::size_t entry = 0; entry < size; ++entry) {
        const double cpu = (after[entry].cpuSeconds - before[entry].cpuSeconds) / span * 100.0;
        const double bytes = (after[entry].frameBytes - before[entry].frameBytes) / span;
        mean.cpuSeconds += cpu / count;
        mean.frameBytes += bytes / count;
        mean.resident += after[entry].resident / count;
        mean.reads += (after[entry].reads - before[entry].reads) / span;
        mean.loadReads += (after[entry].loadReads - before[entry].loadReads) / span / count;
        most.cpuSeconds = std::max(most.cpuSeconds, cpu);
        most.frameBytes = std::max(most.frameBytes, bytes);
        most.resident = std::max(most.resident, after[entry].resident);
    }
    report.add("control", label + "cpu-mean", mean.cpuSeconds, "% of a core");
    report.atMost("control", label + "cpu-max", most.cpuSeconds, "% of a core", maxCorePercent);
    report.add("control", label + "bytes-mean", mean.frameBytes, "bytes/s");
    report.atMost("control", label + "bytes-max", most.frameBytes, "bytes/s", maxBytesPerSecond);
    report.add("control", label + "resident-mean", mean.resident, "bytes");
    report.atMost("control", label + "resident-max", most.resident, "bytes", maxResidentBytes);
    report.add("control", label + "configuration-reads-all", mean.reads, "reads/s");
    report.add("control", label + "load-reads", mean.loadReads, "reads/s");
    report.atMost("control", label + "configuration-in-force", configurationSeconds(fleet), "s",
                  maxConfigurationSeconds);
}

} // namespace

void runControl(Report &report, const std::string &binaries)
{
    for (const std::size_t size : fleetSizes) {
        measure(report, size, binaries);
    }
}

} // namespace azurespindle::bench
