#include "upstreams/event_stream_reader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace azurespindle::upstreams {
namespace {

constexpr std::string_view dataField = "data";
constexpr std::string_view idField = "id";
/// Fields of the standard that an event has once at most.
constexpr std::array<std::string_view, 3> singleFields {idField, "event", "retry"};

template<typename Names> bool contains(const Names &names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

const char *toText(EventFault fault)
{
    switch (fault) {
    case EventFault::UnknownField:
        return "a line of the stream is no field of an event";
    case EventFault::RepeatedField:
        return "a field stands twice in an event";
    case EventFault::MixedLineEnds:
        return "the lines of the stream end differently";
    case EventFault::InvalidId:
        return "an event's id is not a number";
    case EventFault::IdNotIncreasing:
        return "an event's id does not increase";
    case EventFault::IdWithoutData:
        return "an event has an id and no data";
    case EventFault::TooLarge:
        return "an event is too large";
    }
    return "";
}

EventStreamReader::EventStreamReader(std::vector<std::string> extraFields)
    : extraFields(std::move(extraFields))
{ }

EventBatch EventStreamReader::feed(std::string_view bytes)
{
    EventBatch batch;
    if (this->fault) {
        batch.fault = this->fault;
        return batch;
    }
    std::size_t searchBegin = this->buffer.size();
    this->buffer += bytes;
    while (!this->fault) {
        const std::size_t lineFeed = this->buffer.find('\n', searchBegin);
        if (lineFeed == std::string::npos) {
            break;
        }
        const std::string_view whole(this->buffer);
        std::string_view line = whole.substr(this->lineBegin, lineFeed - this->lineBegin);
        this->lineBegin = lineFeed + 1;
        searchBegin = this->lineBegin;
        if (!this->removeLineEnd(line)) {
            this->fault = EventFault::MixedLineEnds;
        } else if (line.empty()) {
            this->fault = this->finishEvent(this->lineBegin, batch.events);
            searchBegin = 0;
        } else {
            this->fault = this->readLine(line);
        }
    }
    if (!this->fault && this->buffer.size() > maxEventBytes) {
        this->fault = EventFault::TooLarge;
    }
    if (this->fault) {
        this->buffer = std::string();
    }
    batch.fault = this->fault;
    return batch;
}

bool EventStreamReader::removeLineEnd(std::string_view &line)
{
    LineEnd found = LineEnd::LineFeed;
    if (!line.empty() && line.back() == '\r') {
        found = LineEnd::CarriageReturnLineFeed;
        line.remove_suffix(1);
    }
    if (!this->lineEnd) {
        this->lineEnd = found;
    }
    // A carriage return alone would end a line as well.
    return found == this->lineEnd && line.find('\r') == std::string_view::npos;
}

std::optional<EventFault> EventStreamReader::readLine(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == 0) {
        return std::nullopt; // A comment.
    }
    const std::string_view name = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? "" : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ') {
        value.remove_prefix(1);
    }
    return this->readField(name, value);
}

std::optional<EventFault> EventStreamReader::readField(std::string_view name,
                                                       std::string_view value)
{
    if (name == dataField) {
        this->hasData = true;
        return std::nullopt;
    }
    if (!contains(singleFields, name) && !contains(this->extraFields, name)) {
        return EventFault::UnknownField;
    }
    if (contains(this->fields, name)) {
        return EventFault::RepeatedField;
    }
    this->fields.emplace_back(name);
    return name == idField ? this->readId(value) : std::nullopt;
}

std::optional<EventFault> EventStreamReader::readId(std::string_view value)
{
    std::uint64_t number = 0;
    const char *end = value.data() + value.size();
    const auto [parsed, error] = std::from_chars(value.data(), end, number);
    if (error != std::errc() || parsed != end) {
        return EventFault::InvalidId;
    }
    if (this->previousId && number <= *this->previousId) {
        return EventFault::IdNotIncreasing;
    }
    this->id = number;
    return std::nullopt;
}

std::optional<EventFault> EventStreamReader::finishEvent(std::size_t end,
                                                         std::vector<RawEvent> &events)
{
    if (end > maxEventBytes) {
        return EventFault::TooLarge;
    }
    if (this->id && !this->hasData) {
        return EventFault::IdWithoutData;
    }
    events.push_back({this->buffer.substr(0, end), this->id});
    this->buffer.erase(0, end);
    this->lineBegin = 0;
    this->previousId = this->id ? this->id : this->previousId;
    this->fields.clear();
    this->id.reset();
    this->hasData = false;
    return std::nullopt;
}

} // namespace azurespindle::upstreams
