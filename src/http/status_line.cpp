#include "http/status_line.h"

#include <algorithm>
#include <charconv>

namespace azurespindle::http {
namespace {

constexpr std::string_view protocol = "HTTP/1.";
constexpr char lastMinorVersion = '1';
constexpr std::size_t codeDigits = 3;
constexpr int minStatus = 100;
constexpr int maxStatus = 599;

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

} // namespace

std::optional<int> parseStatusLine(std::string_view line)
{
    while (!line.empty() && (line.back() == '\n' || line.back() == '\r')) {
        line.remove_suffix(1);
    }
    const std::size_t codeAt = protocol.size() + 2; // After the minor version and a space.
    const std::size_t codeEnd = codeAt + codeDigits;
    if (line.size() < codeEnd || line.substr(0, protocol.size()) != protocol
        || !isDigit(line[protocol.size()]) || line[protocol.size()] > lastMinorVersion
        || line[codeAt - 1] != ' ') {
        return std::nullopt;
    }
    const std::string_view code = line.substr(codeAt, codeDigits);
    const bool endsThere = line.size() == codeEnd || line[codeEnd] == ' ';
    if (!endsThere || !std::all_of(code.begin(), code.end(), isDigit)) {
        return std::nullopt;
    }
    int status = 0;
    std::from_chars(code.data(), code.data() + code.size(), status);
    const bool isValid = status >= minStatus && status <= maxStatus;
    return isValid ? std::optional(status) : std::nullopt;
}

} // namespace azurespindle::http
