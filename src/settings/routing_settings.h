#ifndef AZURESPINDLE_SETTINGS_ROUTING_SETTINGS_H
#define AZURESPINDLE_SETTINGS_ROUTING_SETTINGS_H

#include "settings/settings.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace azurespindle::settings {

/// Fleet-wide limits that the operators set.
struct FleetBounds
{
    double retryShare = 0.2;           ///< Retries allowed, as a ratio of a service's requests.
    double retryBurst = 20.0;          ///< Retries allowed in each window in addition to that.
    milliseconds retryWindow {10'000}; ///< Window over which requests and retries are counted.
    milliseconds stopTimeout {8'000};  ///< Time from the stop signal until the process is killed.

    bool operator==(const FleetBounds &other) const = default;
};

/// Settings of a process that routes requests by the published routes.
struct RoutingSettings
{
    std::string name; ///< Name of the VM, unique in the fleet.
    std::string zone; ///< Availability zone of the VM.
    Address callerAddress;
    Address readyAddress; ///< Address that serves readiness checks at readyPath.
    std::string readyPath = "/readyz";
    Address memberAddress;
    /// Address at which members reach this process, if it differs from memberAddress.
    std::optional<Address> announcedMemberAddress;
    std::optional<Address> metricsAddress;
    Address publisherAddress;   ///< Address of the store that holds the published configuration.
    std::vector<Address> seeds; ///< Members that are contacted first when joining.
    std::map<std::string, std::string> regionOfZone; ///< Region by zone, for all zones.
    LogFormat logFormat = LogFormat::Json;
    std::size_t descriptors = 4'096;  ///< File descriptors that the process may open.
    double processorShare = 1.0;      ///< Share of a core that the VM provides.
    double linkMegabits = 1'000.0;    ///< Bandwidth of the VM's link, in Mbit/s.
    double memoryMegabytes = 2'048.0; ///< Memory of the VM, in MiB.
    FleetBounds bounds;

    bool operator==(const RoutingSettings &other) const = default;
};

/// Returns true if \a document has a `publisherAddress`, which only RoutingSettings have.
bool isRoutingSettings(const nlohmann::json &document);

/// Parses RoutingSettings from a JSON document.
/// \param faults receives every error found; the fields concerned have their default values
RoutingSettings parseRoutingSettings(const nlohmann::json &document, json::Faults &faults);

/// Reads and parses the file at \a path.
/// \return the settings, an error of readTextFile(), or DocumentInvalid with one line per fault
Result<RoutingSettings> loadRoutingSettings(const std::string &path);

} // namespace azurespindle::settings

#endif
