#include "serving/directory_updater.h"

namespace azurespindle::serving {

bool DirectoryUpdater::apply(members::DocumentKind kind, const nlohmann::json &document)
{
    json::Faults ignoredFaults;
    configuration::Document configuration = this->directory->configuration;
    configuration::VmList vmList = this->directory->vmList;
    if (kind == members::DocumentKind::Configuration) {
        configuration = configuration::parseDocument(document, ignoredFaults);
    } else {
        vmList = configuration::parseVmList(document, ignoredFaults);
    }
    const bool newer = configuration.revision > this->directory->configuration.revision
        || vmList.revision > this->directory->vmList.revision;
    if (newer) {
        this->directory = std::make_shared<Directory>(buildDirectory(configuration, vmList));
    }
    return newer;
}

} // namespace azurespindle::serving
