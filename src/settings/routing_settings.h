#ifndef AZURESPINDLE_SETTINGS_ROUTING_SETTINGS_H
#define AZURESPINDLE_SETTINGS_ROUTING_SETTINGS_H

#include "settings/settings.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace azurespindle::settings {

/// Limits that hold over the whole fleet, as its operators state them.
struct FleetBounds
{
    double retryShare = 0.2;           ///< Repeated sends, of the requests for a service.
    double retryBurst = 20.0;          ///< Repeated sends beside that, in each window.
    milliseconds retryWindow {10'000}; ///< Window of both.
    milliseconds stopTimeout {8'000};  ///< From the stop signal until the process is killed.

    bool operator==(const FleetBounds &other) const = default;
};

/// What a process is told that routes requests by published routes.
struct RoutingSettings
{
    std::string name; ///< Name of the VM, unique in the fleet.
    std::string zone; ///< Availability zone of the VM.
    Address callerAddress;
    Address readyAddress;
    std::string readyPath = "/readyz";
    Address memberAddress;
    /// Where the members reach this process, if that is not where it listens.
    std::optional<Address> announcedMemberAddress;
    std::optional<Address> metricsAddress;
    Address publisherAddress; ///< The store that the configuration is published in.
    std::vector<Address> seeds;
    std::map<std::string, std::string> regionOfZone; ///< Of all zones.
    LogFormat logFormat = LogFormat::Json;
    std::size_t descriptors = 4'096; ///< Sockets that the process may have open.
    FleetBounds bounds;

    bool operator==(const RoutingSettings &other) const = default;
};

/// Returns true if \a document looks like routing settings rather than other settings.
bool isRoutingSettings(const nlohmann::json &document);

/// Fills RoutingSettings from a JSON document; adds every fault to \a faults.
RoutingSettings parseRoutingSettings(const nlohmann::json &document, json::Faults &faults);

/// Reads and parses the file at \a path.
/// \return the settings, or DocumentInvalid with one line for each fault.
Result<RoutingSettings> loadRoutingSettings(const std::string &path);

} // namespace azurespindle::settings

#endif
