#include "serving/caller_refusals.h"

#include <optional>

namespace azurespindle::serving {
namespace {

using http::RefusalReason;
using journal::EventId;

std::optional<EventId> eventFor(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::HeaderTooLarge:
    case RefusalReason::TrailersTooLarge:
    case RefusalReason::BodyTooLarge:
        return EventId::RequestLimitReached;
    case RefusalReason::HeaderTimedOut:
    case RefusalReason::BodyTimedOut:
        return EventId::RequestTimedOut;
    case RefusalReason::MemoryShort:
        return EventId::InputMemoryShort;
    case RefusalReason::TooManyConnections:
        return EventId::ConnectionLimitReached;
    case RefusalReason::Malformed:
        break;
    }
    return std::nullopt;
}

} // namespace

void CallerRefusals::record(const http::CallerRefusal &refusal)
{
    this->counts.at(static_cast<std::size_t>(refusal.reason)) += 1;
    if (const std::optional<EventId> event = eventFor(refusal.reason)) {
        this->journal.record({*event,
                              {{"reason", http::refusalReasonName(refusal.reason)},
                               {"status", std::to_string(refusal.status)},
                               {"heldBytes", std::to_string(refusal.heldBytes)}}});
    }
}

std::uint64_t CallerRefusals::count(RefusalReason reason) const
{
    return this->counts.at(static_cast<std::size_t>(reason));
}

std::string CallerRefusals::exposition() const
{
    std::string text;
    for (std::size_t index = 0; index < http::refusalReasonCount; ++index) {
        const auto reason = static_cast<RefusalReason>(index);
        text += std::string("azurespindle_caller_refusals_total{reason=\"")
            + http::refusalReasonName(reason) + "\"} " + std::to_string(this->count(reason)) + "\n";
    }
    return text;
}

} // namespace azurespindle::serving
