#ifndef AZURESPINDLE_ROUTING_UPSTREAM_OBSERVATION_H
#define AZURESPINDLE_ROUTING_UPSTREAM_OBSERVATION_H

#include "base/time_types.h"

#include <cstdint>
#include <string>

namespace azurespindle::routing {

/// A condition of an upstream that a process detected itself rather than read from the publishing
/// store. Processes exchange observations, because the store may lag or be unavailable.
struct UpstreamObservation
{
    enum class Kind : std::uint8_t {
        ConnectionRefused = 0, ///< No process listens at the upstream's address.
        Draining = 1,          ///< The upstream reports that it is shutting down.
        Leaving = 2,           ///< The upstream stated in a response that it is shutting down.
    };

    std::string upstream;          ///< Id of the upstream.
    std::uint64_t incarnation = 0; ///< UpstreamRecord::incarnation of the observed upstream.
    Kind kind = Kind::ConnectionRefused;
    milliseconds timeUntilExit {0}; ///< Time until a draining upstream exits; 0: unknown.
    bool operator==(const UpstreamObservation &other) const = default;
};

/// Where an observation comes from.
enum class ObservationSource : std::uint8_t {
    Self = 0,
    Member = 1, ///< A member of this process's zone, or any member of a small fleet.
    Relay = 2,  ///< Another zone.
};

} // namespace azurespindle::routing

#endif
