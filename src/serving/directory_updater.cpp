#include "serving/directory_updater.h"

namespace azurespindle::serving {

bool DirectoryUpdater::apply(members::DocumentKind kind, const nlohmann::json &document)
{
    json::Faults none;
    configuration::Document configuration = this->directory->configuration;
    configuration::VmList vmList = this->directory->vmList;
    if (kind == members::DocumentKind::Configuration) {
        configuration = configuration::parseDocument(document, none);
    } else {
        vmList = configuration::parseVmList(document, none);
    }
    const bool newer = configuration.revision > this->directory->configuration.revision
        || vmList.revision > this->directory->vmList.revision;
    if (newer) {
        this->directory = std::make_shared<Directory>(buildDirectory(configuration, vmList));
    }
    return newer;
}

} // namespace azurespindle::serving
