#ifndef AZURESPINDLE_TESTS_PLATFORM_MANY_ROUTES_H
#define AZURESPINDLE_TESTS_PLATFORM_MANY_ROUTES_H

#include <cstddef>
#include <string>

namespace azurespindle::tests {

/// Returns routes for platformConfiguration(), the same ones each time, with a leading comma.
std::string manyRoutes(std::size_t count);

/// Returns the route `/<prefix>/` to a plain service, with a leading comma.
std::string plainRoute(const std::string &name, const std::string &prefix);

} // namespace azurespindle::tests

#endif
