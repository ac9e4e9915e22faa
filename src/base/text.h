#ifndef AZURESPINDLE_BASE_TEXT_H
#define AZURESPINDLE_BASE_TEXT_H

#include "base/time_types.h"

#include <string>

namespace azurespindle {

/// Returns \a duration in milliseconds, truncated to an integer, as a decimal string.
inline std::string millisecondsText(microseconds duration)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(duration).count());
}

} // namespace azurespindle

#endif
