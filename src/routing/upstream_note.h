#ifndef AZURESPINDLE_ROUTING_UPSTREAM_NOTE_H
#define AZURESPINDLE_ROUTING_UPSTREAM_NOTE_H

#include "base/time_types.h"

#include <cstdint>
#include <string>

namespace azurespindle::routing {

/// What a process found out about an upstream by itself, before or without the store.
struct UpstreamNote
{
    enum class Kind : std::uint8_t {
        Refusing = 0, ///< Nothing listens at its address.
        Leaving = 1,  ///< It says that it leaves.
    };

    std::string upstream;
    std::uint64_t born = 0;
    Kind kind = Kind::Refusing;
    milliseconds leavesIn {0}; ///< Of one that leaves; 0: not known.
    bool operator==(const UpstreamNote &other) const = default;
};

} // namespace azurespindle::routing

#endif
