#ifndef AZURESPINDLE_BENCH_PROCESS_FLEET_H
#define AZURESPINDLE_BENCH_PROCESS_FLEET_H

#include "base/time_types.h"

#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

namespace azurespindle::bench {

/// What a fleet of real processes consists of.
struct FleetOptions
{
    std::size_t entries = 9;
    std::size_t engines = 20;
    std::size_t zones = 4;
    bool warmEngines = true;
    std::uint16_t firstPort = 21'000;
    std::string binaries; ///< Folder of the programs.
};

/// What one process has used so far.
struct Usage
{
    double cpuSeconds = 0.0;
    double residentBytes = 0.0;
};

/// Real entry processes, stand-in engines, a service and the platform, on loopback.
///
/// It ends only the processes that it started, by their ids.
class ProcessFleet
{
public:
    explicit ProcessFleet(const FleetOptions &options);
    ~ProcessFleet();
    ProcessFleet(const ProcessFleet &) = delete;
    ProcessFleet &operator=(const ProcessFleet &) = delete;

    // Commands

    /// Publishes the configuration with further fields, such as `"out":[…]`.
    void configure(const std::string &furtherFields);
    void platformFault(const std::string &kind);
    void engineFault(std::size_t engine, const std::string &kind, int ms);
    /// Starts an entry process that was ended, as its replacement.
    void startEntry(std::size_t entry);
    /// Sends a signal to an entry process.
    void signalEntry(std::size_t entry, int signal);
    /// Waits for an entry process to end. \return its exit code, -1 if it was killed.
    int waitEntry(std::size_t entry);
    /// Waits until every running entry process is ready. \return false after 15 seconds.
    bool waitReady();

    // Queries

    std::string entryUrl(std::size_t entry) const;
    std::size_t entryCount() const { return this->options.entries; }
    std::string zoneOfEngine(std::size_t engine) const;
    std::string engineCounts(std::size_t engine) const;
    std::string platformCounts() const;
    /// Returns how often the service ran each body, as JSON.
    std::string serviceRuns() const;
    Usage usage(std::size_t entry) const;
    std::uint64_t revision() const { return this->currentRevision; }

private:
    pid_t spawn(const std::vector<std::string> &arguments);
    std::string address(std::size_t offset) const;
    void writeDocuments();
    std::string configurationText(const std::string &furtherFields) const;

    FleetOptions options;
    std::string folder;
    std::uint64_t currentRevision = 1;
    std::vector<pid_t> others;
    std::vector<pid_t> entries;
};

/// Fetches a URL. \return the body, or an empty text.
std::string fetchText(const std::string &url);

/// Returns the value of a counter in Prometheus' text format, 0 if there is none.
double counterValue(const std::string &exposition, const std::string &name);

} // namespace azurespindle::bench

#endif
