#ifndef AZURESPINDLE_UPSTREAMS_EVENT_STREAM_READER_H
#define AZURESPINDLE_UPSTREAMS_EVENT_STREAM_READER_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azurespindle::upstreams {

/// One event of an event stream in its original bytes, including the blank line that ends it.
struct RawEvent
{
    std::string bytes;
    std::optional<std::uint64_t> id; ///< Value of its id field, if it has one.
    bool operator==(const RawEvent &other) const = default;
};

/// Why the bytes of an event stream are not sound.
enum class EventFault {
    UnknownField,    ///< A line is no field that an event may have.
    RepeatedField,   ///< A field other than data stands twice in an event.
    MixedLineEnds,   ///< A line does not end as the first line of the stream did.
    InvalidId,       ///< An id is not a decimal number.
    IdNotIncreasing, ///< An id is not larger than the one before it.
    IdWithoutData,   ///< An event has an id and no data.
    TooLarge,        ///< An event is larger than EventStreamReader::maxEventBytes.
};

/// Returns a description of \a fault for logs.
const char *toText(EventFault fault);

/// The result of reading a part of an event stream.
struct EventBatch
{
    std::vector<RawEvent> events;    ///< Complete and sound events, in order.
    std::optional<EventFault> fault; ///< What follows the events, if that is not sound.
    bool operator==(const EventBatch &other) const = default;
};

/// Incremental parser that splits an event stream into complete events and preserves their bytes.
///
/// A stream may break off at any byte, and bytes of another response may follow. The reader
/// therefore returns an event only when each of its lines is a field that an event may have, and
/// nothing after a fault, so that another engine can continue after the last event returned. The
/// data of an event may be any text.
class EventStreamReader
{
public:
    /// Largest event in bytes.
    static constexpr std::size_t maxEventBytes = 65'536;

    /// \param extraFields names of fields that the stream's events may have in addition to `id`,
    /// `event`, `data`, `retry` and comments.
    explicit EventStreamReader(std::vector<std::string> extraFields = {});

    /// Appends \a bytes to the stream. \return the events that they complete, and the first fault.
    /// After a fault the stream has ended: all later calls return the same fault and no event.
    EventBatch feed(std::string_view bytes);

    /// Returns the number of bytes of the incomplete event at the end.
    std::size_t pendingBytes() const { return this->buffer.size(); }

private:
    enum class LineEnd { LineFeed, CarriageReturnLineFeed };

    /// Reads a complete line without its line feed. \return what is wrong with it.
    std::optional<EventFault> readLine(std::string_view line);
    /// Checks the end of \a line and removes it. \return false if it differs from the stream's.
    bool removeLineEnd(std::string_view &line);
    std::optional<EventFault> readField(std::string_view name, std::string_view value);
    std::optional<EventFault> readId(std::string_view value);
    /// Removes the event that ends at \a end from the buffer, and adds it to \a events.
    std::optional<EventFault> finishEvent(std::size_t end, std::vector<RawEvent> &events);

    std::vector<std::string> extraFields;
    std::string buffer;                      ///< The incomplete event.
    std::size_t lineBegin = 0;               ///< Position in `buffer` of the incomplete line.
    std::optional<LineEnd> lineEnd;          ///< How the lines of the stream end.
    std::optional<std::uint64_t> previousId; ///< Id of the last event that has one.
    std::optional<EventFault> fault;
    // Of the incomplete event:
    std::vector<std::string> fields; ///< Names of its fields, without data and comments.
    std::optional<std::uint64_t> id;
    bool hasData = false;
};

} // namespace azurespindle::upstreams

#endif
