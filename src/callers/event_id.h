#ifndef AZURESPINDLE_CALLERS_EVENT_ID_H
#define AZURESPINDLE_CALLERS_EVENT_ID_H

#include "decision/types.h"

#include <optional>
#include <string>

namespace azurespindle::callers {

/// Returns the `id` of a caller's event: upstream, generation and the tokens received so far,
/// so that any entry process can go on from there.
std::string formatEventId(const std::string &upstream, const std::string &generation,
                          decision::Tokens received);

/// Parses a `Last-Event-ID`; returns nothing if it is not one of ours.
std::optional<decision::ResumePoint> parseEventId(const std::string &text);

/// Returns the name of a new generation: hard to guess, and bound to its workspace.
std::string makeGenerationName(const std::string &workspace, std::uint64_t random,
                               decision::RequestId request, decision::AttemptNumber attempt);

/// Returns true if the generation was begun for this workspace.
bool belongsTo(const std::string &generation, const std::string &workspace);

} // namespace azurespindle::callers

#endif
