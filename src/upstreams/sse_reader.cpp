#include "upstreams/sse_reader.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace azurespindle::upstreams {
namespace {

constexpr std::string_view eventTerminator = "\n\n";
constexpr std::string_view endMarker = "[DONE]";

/// Returns the value of the field \a name of an event, or std::nullopt if it has none.
std::optional<std::string_view> findField(std::string_view event, std::string_view name)
{
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        const std::string_view line = event.substr(0, end);
        const bool matches = line.size() > name.size() && line.substr(0, name.size()) == name
            && line[name.size()] == ':';
        if (matches) {
            std::string_view value = line.substr(name.size() + 1);
            if (!value.empty() && value.front() == ' ') {
                value.remove_prefix(1);
            }
            return value;
        }
        if (end == std::string_view::npos) {
            break;
        }
        event.remove_prefix(end + 1);
    }
    return std::nullopt;
}

/// Parses a token event with an id of the form "GENERATION:OFFSET" and JSON data with the text.
/// \return std::nullopt if the event has another form.
std::optional<TokenEvent> parseToken(std::string_view id, std::string_view data)
{
    const std::size_t colon = id.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    TokenEvent token;
    token.generation = id.substr(0, colon);
    const char *last = id.data() + id.size();
    const auto [rest, code] = std::from_chars(id.data() + colon + 1, last, token.offset);
    const auto json = nlohmann::json::parse(data, nullptr, false);
    const bool valid = code == std::errc() && rest == last && json.is_object()
        && json.contains("text") && json["text"].is_string();
    if (!valid) {
        return std::nullopt;
    }
    token.text = json["text"].get<std::string>();
    return token;
}

} // namespace

SseBatch SseReader::read(std::string_view bytes)
{
    SseBatch batch;
    this->buffer += bytes;
    std::size_t begin = 0;
    while (!batch.malformed) {
        const std::size_t end = this->buffer.find(eventTerminator, begin);
        if (end == std::string::npos) {
            break;
        }
        this->readEvent(std::string_view(this->buffer).substr(begin, end - begin), batch);
        begin = end + eventTerminator.size();
    }
    this->buffer.erase(0, begin);
    if (this->buffer.size() > maxEventBytes) {
        batch.malformed = true;
    }
    return batch;
}

void SseReader::readEvent(std::string_view event, SseBatch &batch)
{
    const auto data = findField(event, "data");
    if (!data) {
        return;
    }
    if (*data == endMarker) {
        batch.finished = true;
        return;
    }
    const auto id = findField(event, "id");
    const auto token = id ? parseToken(*id, *data) : std::nullopt;
    if (!token) {
        batch.malformed = true;
        return;
    }
    batch.tokens.push_back(*token);
}

} // namespace azurespindle::upstreams
