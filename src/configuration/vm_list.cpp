#include "configuration/vm_list.h"

namespace azurespindle::configuration {
namespace {

VmRole parseRole(const std::string &text)
{
    if (text == "entry") {
        return VmRole::Entry;
    }
    return text == "service" ? VmRole::Service : VmRole::Engine;
}

settings::Address readAddress(json::ObjectReader &reader)
{
    const std::string text = reader.requiredText("address");
    const auto address = settings::parseAddress(text);
    if (address.ok()) {
        return address.value();
    }
    if (!text.empty()) {
        reader.addFault("address", "IP:PORT");
    }
    return {};
}

Vm readVm(json::ObjectReader &reader)
{
    Vm vm;
    vm.name = reader.requiredText("name");
    vm.zone = reader.requiredText("zone");
    vm.role = parseRole(reader.choice("role", {"entry", "engine", "service"}, "engine"));
    const std::string state = reader.choice("state", {"live", "leaving"}, "live");
    vm.state = state == "leaving" ? VmState::Leaving : VmState::Live;
    vm.address = readAddress(reader);
    vm.serves = reader.text("serves", "");
    if (vm.role != VmRole::Entry && vm.serves.empty()) {
        reader.addFault("serves", "the model or service that the VM serves");
    }
    return vm;
}

} // namespace

std::vector<std::string> entryAddresses(const VmList &list)
{
    std::vector<std::string> addresses;
    for (const Vm &vm : list.vms) {
        if (vm.role == VmRole::Entry) {
            addresses.push_back(vm.address.text());
        }
    }
    return addresses;
}

VmList parseVmList(const nlohmann::json &json, json::Faults &faults)
{
    json::ObjectReader reader(json, "$", faults);
    VmList list;
    list.revision = static_cast<std::uint64_t>(reader.requiredInteger("revision", {1, INT64_MAX}));
    if (!reader.has("vms")) {
        reader.addFault("vms", "a list of objects");
    }
    reader.objectList("vms", [&](json::ObjectReader &vm) { list.vms.push_back(readVm(vm)); });
    reader.finish();
    return list;
}

} // namespace azurespindle::configuration
