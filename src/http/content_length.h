#ifndef AZURESPINDLE_HTTP_CONTENT_LENGTH_H
#define AZURESPINDLE_HTTP_CONTENT_LENGTH_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace azurespindle::http {

/// Parses the value of a Content-Length field.
/// \return the length in bytes, or nothing if the value is not decimal digits and nothing else, or
/// does not fit.
std::optional<std::uint64_t> parseContentLength(std::string_view value);

} // namespace azurespindle::http

#endif
