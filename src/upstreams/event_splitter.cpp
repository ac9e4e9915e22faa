#include "upstreams/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace azurespindle::upstreams {
namespace {

/// Returns the position after the first blank line, or npos if there is none.
std::size_t endOfEvent(const std::string &text)
{
    std::size_t line = 0;
    while (line < text.size()) {
        const std::size_t end = text.find('\n', line);
        if (end == std::string::npos) {
            return std::string::npos;
        }
        const bool blank = end == line || (end == line + 1 && text[line] == '\r');
        if (blank) {
            return end + 1;
        }
        line = end + 1;
    }
    return std::string::npos;
}

/// Returns the value of the event's id field, or std::nullopt if it is missing or not a number.
std::optional<std::uint64_t> parseId(const std::string &event)
{
    std::size_t line = 0;
    while (line < event.size()) {
        const std::size_t end = std::min(event.find('\n', line), event.size());
        if (event.compare(line, 3, "id:") == 0) {
            std::size_t begin = line + 3;
            begin += event[begin] == ' ' ? 1 : 0;
            std::uint64_t id = 0;
            const auto [rest, code] = std::from_chars(event.data() + begin, event.data() + end, id);
            return code == std::errc() ? std::optional(id) : std::nullopt;
        }
        line = end + 1;
    }
    return std::nullopt;
}

} // namespace

std::vector<RawEvent> EventSplitter::feed(std::string_view bytes)
{
    this->buffer += bytes;
    std::vector<RawEvent> events;
    for (std::size_t end = endOfEvent(this->buffer); end != std::string::npos;
         end = endOfEvent(this->buffer)) {
        RawEvent event {this->buffer.substr(0, end), std::nullopt};
        event.id = parseId(event.bytes);
        events.push_back(std::move(event));
        this->buffer.erase(0, end);
    }
    return events;
}

} // namespace azurespindle::upstreams
