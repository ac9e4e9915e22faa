#ifndef AZURESPINDLE_UPSTREAMS_EVENT_SPLITTER_H
#define AZURESPINDLE_UPSTREAMS_EVENT_SPLITTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azurespindle::upstreams {

/// One event of a stream, byte for byte, with the blank line that ends it.
struct RawEvent
{
    std::string bytes;
    std::optional<std::uint64_t> id;
    bool operator==(const RawEvent &other) const = default;
};

/// Cuts an event stream into whole events without changing a byte.
///
/// An engine may break off in the middle of an event; what has not ended is never passed on, so
/// that another engine can go on with the event after the last whole one.
class EventSplitter
{
public:
    /// Takes bytes in. \return the events that are whole now, in order.
    std::vector<RawEvent> feed(std::string_view bytes);

    /// Returns the bytes of an event that has not ended.
    std::size_t pendingBytes() const { return this->pending.size(); }

private:
    std::string pending;
};

} // namespace azurespindle::upstreams

#endif
