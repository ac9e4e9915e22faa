#ifndef AZURESPINDLE_ROUTING_ROUTE_TABLE_H
#define AZURESPINDLE_ROUTING_ROUTE_TABLE_H

#include "routing/types.h"

#include <map>
#include <string>
#include <unordered_map>

namespace azurespindle::routing {

/// One configuration, indexed for the requests that it has to answer for.
///
///     const Route *route = table.find("shop.example", "/orders/7");
class RouteTable
{
public:
    explicit RouteTable(RoutingConfiguration configuration);

    /// Returns the route of \a host whose prefix is the longest that begins \a path, or nullptr.
    /// \param host as in a Host header: case and port do not count.
    const Route *find(const std::string &host, const std::string &path) const;
    /// Returns the workspace that holds \a key, or nullptr.
    const Workspace *workspaceOf(const std::string &key) const;
    const Service *service(const std::string &name) const;
    const RoutingConfiguration &configuration() const { return this->own; }

private:
    const RoutingConfiguration own;
    /// By host; of each, the routes by prefix.
    std::unordered_map<std::string, std::map<std::string, const Route *>> byHost;
    std::unordered_map<std::string, const Workspace *> byKey;
    std::unordered_map<std::string, const Service *> byName;
};

} // namespace azurespindle::routing

#endif
