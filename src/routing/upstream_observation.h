#ifndef AZURESPINDLE_ROUTING_UPSTREAM_OBSERVATION_H
#define AZURESPINDLE_ROUTING_UPSTREAM_OBSERVATION_H

#include "base/time_types.h"

#include <cstdint>
#include <string>

namespace azurespindle::routing {

/// What a process found out about an upstream by itself, before or without the store.
struct UpstreamObservation
{
    enum class Kind : std::uint8_t {
        ConnectionRefused = 0, ///< Nothing listens at its address.
        Draining = 1,          ///< It says that it leaves.
    };

    std::string upstream;
    std::uint64_t incarnation = 0;
    Kind kind = Kind::ConnectionRefused;
    milliseconds timeUntilExit {0}; ///< Of one that leaves; 0: not known.
    bool operator==(const UpstreamObservation &other) const = default;
};

} // namespace azurespindle::routing

#endif
