#ifndef AZURESPINDLE_HTTP_STATUS_LINE_H
#define AZURESPINDLE_HTTP_STATUS_LINE_H

#include <optional>
#include <string_view>

namespace azurespindle::http {

/// Parses the first line of a response, such as "HTTP/1.1 200 OK".
/// \return its status code, or nothing if the line is malformed, the version is neither HTTP/1.0
/// nor HTTP/1.1, or the code is not one that a server may send: three digits from 100 to 599.
std::optional<int> parseStatusLine(std::string_view line);

} // namespace azurespindle::http

#endif
