#ifndef AZURESPINDLE_ROUTING_INTERNAL_JOURNAL_TEXT_H
#define AZURESPINDLE_ROUTING_INTERNAL_JOURNAL_TEXT_H

#include "base/time_types.h"

#include <string>

namespace azurespindle::routing::internal {

/// Returns the whole milliseconds between two instants, as the value of a journal field.
inline std::string millisecondsSince(Instant from, Instant to)
{
    return std::to_string((to - from).count() / 1'000);
}

} // namespace azurespindle::routing::internal

#endif
