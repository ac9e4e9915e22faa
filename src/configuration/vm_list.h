#ifndef AZURESPINDLE_CONFIGURATION_VM_LIST_H
#define AZURESPINDLE_CONFIGURATION_VM_LIST_H

#include "settings/settings.h"
#include "json/object_reader.h"

#include <string>
#include <vector>

namespace azurespindle::configuration {

enum class VmRole { Entry, Engine, Service };
enum class VmState { Live, Leaving };

/// One VM of the platform's list.
struct Vm
{
    std::string name;
    std::string zone;
    VmRole role = VmRole::Engine;
    VmState state = VmState::Live;
    settings::Address address; ///< Engines and services: HTTP. Entry VMs: member address.
    std::string serves;        ///< Model of an engine, name of a service; empty for entry VMs.

    auto operator<=>(const Vm &other) const = default;
};

/// The platform's list of live and leaving VMs. It lags; a VM missing from it may still be there.
struct VmList
{
    std::uint64_t revision = 0;
    std::vector<Vm> vms;

    bool operator==(const VmList &other) const = default;
};

/// Returns the member addresses of the entry VMs, as IP:PORT.
std::vector<std::string> entryAddresses(const VmList &list);

/// Fills a VmList from JSON; adds every fault to \a faults.
VmList parseVmList(const nlohmann::json &json, json::Faults &faults);

} // namespace azurespindle::configuration

#endif
