#ifndef AZURESPINDLE_HTTP_PROBLEM_H
#define AZURESPINDLE_HTTP_PROBLEM_H

#include "base/time_types.h"
#include "http/server.h"

#include <string>

namespace azurespindle::http {

/// An error as callers see it, in the shape of application/problem+json.
struct Problem
{
    int status = 500;
    int code = 0; ///< Stable number; 0 for requests that were malformed as such.
    std::string title;
    std::string detail;
    std::string outcome;         ///< "not-run" (proved), "unknown" or "ran".
    milliseconds retryAfter {0}; ///< 0: no use in trying again.

    Headers headers() const;
    std::string body() const;
    bool operator==(const Problem &other) const = default;
};

} // namespace azurespindle::http

#endif
