#include "routing/route_table.h"

#include <algorithm>
#include <utility>

namespace azurespindle::routing {
namespace {

std::string normalizedHost(const std::string &host)
{
    std::string name = host.substr(0, host.find(':'));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return name;
}

} // namespace

RouteTable::RouteTable(RoutingConfiguration configuration) : source(std::move(configuration))
{
    for (const Route &route : this->source.routes) {
        this->routesByHost[normalizedHost(route.host)][route.pathPrefix] = &route;
    }
    for (const Workspace &workspace : this->source.workspaces) {
        for (const std::string &key : workspace.keys) {
            this->workspacesByKey[key] = &workspace;
        }
    }
    for (const Service &service : this->source.services) {
        this->servicesByName[service.name] = &service;
    }
}

const Route *RouteTable::find(const std::string &host, const std::string &path) const
{
    const auto routes = this->routesByHost.find(normalizedHost(host));
    if (routes == this->routesByHost.end()) {
        return nullptr;
    }
    // Prefixes end with a slash, so the candidates are the path truncated after each slash, the
    // longest first.
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
    const auto found = this->workspacesByKey.find(key);
    return found == this->workspacesByKey.end() ? nullptr : found->second;
}

const Service *RouteTable::service(const std::string &name) const
{
    const auto found = this->servicesByName.find(name);
    return found == this->servicesByName.end() ? nullptr : found->second;
}

} // namespace azurespindle::routing
