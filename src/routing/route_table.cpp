#include "routing/route_table.h"

#include <algorithm>
#include <utility>

namespace azurespindle::routing {
namespace {

std::string hostName(const std::string &host)
{
    std::string name = host.substr(0, host.find(':'));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return name;
}

} // namespace

RouteTable::RouteTable(RoutingConfiguration configuration) : own(std::move(configuration))
{
    for (const Route &route : this->own.routes) {
        this->byHost[hostName(route.host)][route.pathPrefix] = &route;
    }
    for (const Workspace &workspace : this->own.workspaces) {
        for (const std::string &key : workspace.keys) {
            this->byKey[key] = &workspace;
        }
    }
    for (const Service &service : this->own.services) {
        this->byName[service.name] = &service;
    }
}

const Route *RouteTable::find(const std::string &host, const std::string &path) const
{
    const auto routes = this->byHost.find(hostName(host));
    if (routes == this->byHost.end()) {
        return nullptr;
    }
    // A prefix ends with a slash, so the candidates are the path cut behind each of its slashes.
    std::size_t end = path.rfind('/');
    while (end != std::string::npos) {
        const auto found = routes->second.find(path.substr(0, end + 1));
        if (found != routes->second.end()) {
            return found->second;
        }
        end = end == 0 ? std::string::npos : path.rfind('/', end - 1);
    }
    return nullptr;
}

const Workspace *RouteTable::workspaceOf(const std::string &key) const
{
    const auto found = this->byKey.find(key);
    return found == this->byKey.end() ? nullptr : found->second;
}

const Service *RouteTable::service(const std::string &name) const
{
    const auto found = this->byName.find(name);
    return found == this->byName.end() ? nullptr : found->second;
}

} // namespace azurespindle::routing
