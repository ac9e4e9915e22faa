#ifndef AZURESPINDLE_ROUTING_INTERNAL_JOURNAL_TEXT_H
#define AZURESPINDLE_ROUTING_INTERNAL_JOURNAL_TEXT_H

#include "base/time_types.h"
#include "routing/types.h"

#include <array>
#include <cinttypes>
#include <cstdio>
#include <string>
#include <vector>

namespace azurespindle::routing::internal {

/// Returns the whole milliseconds between two instants, as the value of a journal field.
inline std::string millisecondsSince(Instant from, Instant to)
{
    return std::to_string((to - from).count() / 1'000);
}

/// Returns the ids of prompt parts in hexadecimal, separated by commas, as the value of a journal
/// field.
inline std::string partsText(const std::vector<std::uint64_t> &parts)
{
    std::string text;
    for (const std::uint64_t part : parts) {
        std::array<char, 24> id {};
        std::snprintf(id.data(), id.size(), "%s%" PRIx64, text.empty() ? "" : ",", part);
        text += id.data();
    }
    return text;
}

inline std::string partsText(const std::vector<PromptPart> &parts)
{
    std::vector<std::uint64_t> ids;
    ids.reserve(parts.size());
    for (const PromptPart &part : parts) {
        ids.push_back(part.id);
    }
    return partsText(ids);
}

/// Returns a relative speed as the value of a journal field.
std::string speedText(double speed);

} // namespace azurespindle::routing::internal

#endif
