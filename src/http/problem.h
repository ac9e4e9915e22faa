#ifndef AZURESPINDLE_HTTP_PROBLEM_H
#define AZURESPINDLE_HTTP_PROBLEM_H

#include "base/time_types.h"
#include "http/server.h"

#include <string>

namespace azurespindle::http {

/// An error response to a caller in the application/problem+json format (RFC 9457).
struct Problem
{
    int status = 500;
    int code = 0; ///< Stable error code; 0 if the error has none, such as a malformed request.
    std::string title;
    std::string detail;
    std::string outcome;         ///< "not-run" (only if this is certain), "unknown" or "ran".
    milliseconds retryAfter {0}; ///< Earliest retry; 0 if a retry is of no use.

    /// Returns the content type and, if there is one, Retry-After in seconds, rounded up.
    Headers headers() const;
    /// Returns the JSON document, terminated by a newline.
    std::string body() const;
    bool operator==(const Problem &other) const = default;
};

} // namespace azurespindle::http

#endif
