#ifndef AZURESPINDLE_ROUTING_ROUTE_TABLE_H
#define AZURESPINDLE_ROUTING_ROUTE_TABLE_H

#include "routing/types.h"

#include <map>
#include <string>
#include <unordered_map>

namespace azurespindle::routing {

/// An immutable lookup table over one version of the routing configuration.
///
///     const Route *route = table.find("shop.example", "/orders/7");
class RouteTable
{
public:
    explicit RouteTable(RoutingConfiguration configuration);

    /// Returns the route of \a host with the longest path prefix that matches \a path, or nullptr.
    /// \param host value of a Host header; its case and port are ignored.
    const Route *find(const std::string &host, const std::string &path) const;
    /// Returns the workspace that the API key \a key belongs to, or nullptr.
    const Workspace *workspaceOf(const std::string &key) const;
    /// Returns the service of that name, or nullptr.
    const Service *service(const std::string &name) const;
    const RoutingConfiguration &configuration() const { return this->source; }

private:
    const RoutingConfiguration source;
    /// Routes by host and path prefix.
    std::unordered_map<std::string, std::map<std::string, const Route *>> routesByHost;
    std::unordered_map<std::string, const Workspace *> workspacesByKey;
    std::unordered_map<std::string, const Service *> servicesByName;
};

} // namespace azurespindle::routing

#endif
