#include "platform/many_routes.h"

#include <random>

namespace azurespindle::tests {
namespace {

constexpr std::size_t nameLength = 8;

std::string randomName(std::mt19937 &random)
{
    static const std::string letters = "abcdefghijklmnopqrstuvwxyz0123456789";
    std::string name;
    for (std::size_t letter = 0; letter < nameLength; ++letter) {
        name += letters[random() % letters.size()];
    }
    return name;
}

} // namespace

std::string plainRoute(const std::string &name, const std::string &prefix)
{
    return R"(,{"name":"r-)" + name + R"(","host":"shop.example","path_prefix":"/)" + prefix
        + R"(/","route_kind":"idempotent","timeout_ms":1500,"target_latency_ms":150,)"
          R"("priority":2,"service":"desk","max_attempts":2,"public":false,)"
          R"("sticky":false,"resumable":false})";
}

std::string manyRoutes(std::size_t count)
{
    std::mt19937 random; // NOLINT(cert-msc32-c,cert-msc51-cpp): the same routes each time.
    std::string routes;
    for (std::size_t route = 0; route < count; ++route) {
        const std::string name = randomName(random);
        routes += plainRoute(name, randomName(random));
    }
    return routes;
}

} // namespace azurespindle::tests
