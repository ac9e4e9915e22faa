#ifndef AZURESPINDLE_CONFIGURATION_VM_LIST_H
#define AZURESPINDLE_CONFIGURATION_VM_LIST_H

#include "settings/settings.h"
#include "json/object_reader.h"

#include <string>
#include <vector>

namespace azurespindle::configuration {

enum class VmRole { Entry, Engine, Service };
enum class VmState { Live, Leaving };

/// One VM in the platform's list.
struct Vm
{
    std::string name;
    std::string zone;
    VmRole role = VmRole::Engine;
    VmState state = VmState::Live;
    settings::Address address; ///< HTTP address; for entry VMs the member address.
    std::string serves;        ///< Model of an engine or name of a service; empty for entry VMs.

    auto operator<=>(const Vm &other) const = default;
};

/// The platform's list of live and leaving VMs. The list lags behind, so a VM that is missing from
/// it may still be running.
struct VmList
{
    std::uint64_t revision = 0;
    std::vector<Vm> vms;

    bool operator==(const VmList &other) const = default;
};

/// Returns the member addresses of the entry VMs in the form IP:PORT.
std::vector<std::string> entryAddresses(const VmList &list);

/// Parses a VmList from JSON.
/// \param faults receives every error found; the fields concerned have their default values
VmList parseVmList(const nlohmann::json &json, json::Faults &faults);

} // namespace azurespindle::configuration

#endif
