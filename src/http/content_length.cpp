#include "http/content_length.h"

#include <charconv>

namespace azurespindle::http {

std::optional<std::uint64_t> parseContentLength(std::string_view value)
{
    std::uint64_t length = 0;
    const char *end = value.data() + value.size();
    const auto [parsed, error] = std::from_chars(value.data(), end, length);
    return error == std::errc() && parsed == end ? std::optional(length) : std::nullopt;
}

} // namespace azurespindle::http
