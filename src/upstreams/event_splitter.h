#ifndef AZURESPINDLE_UPSTREAMS_EVENT_SPLITTER_H
#define AZURESPINDLE_UPSTREAMS_EVENT_SPLITTER_H

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
    std::optional<std::uint64_t> id; ///< Value of its id field, if that is a number.
    bool operator==(const RawEvent &other) const = default;
};

/// Incremental parser that splits an event stream into complete events and preserves their bytes.
///
/// A stream may break off in the middle of an event. An incomplete event is never returned, so that
/// another engine can continue with the event after the last complete one.
class EventSplitter
{
public:
    /// Largest incomplete event in bytes; a larger one is not the beginning of an event.
    static constexpr std::size_t maxEventBytes = 65'536;

    /// Appends \a bytes to the stream. \return the events that they complete, in order.
    std::vector<RawEvent> feed(std::string_view bytes);

    /// Returns the number of bytes of the incomplete event at the end.
    std::size_t pendingBytes() const { return this->buffer.size(); }

private:
    std::string buffer;
};

} // namespace azurespindle::upstreams

#endif
