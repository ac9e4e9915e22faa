#ifndef AZURESPINDLE_CALLERS_EVENT_ID_H
#define AZURESPINDLE_CALLERS_EVENT_ID_H

#include "decision/types.h"

#include <optional>
#include <string>

namespace azurespindle::callers {

/// Returns the `id` of a server-sent event: upstream, generation and number of tokens received so
/// far, which is enough for any entry process to resume the stream.
std::string formatEventId(const std::string &upstream, const std::string &generation,
                          decision::Tokens received);

/// Parses a `Last-Event-ID`; returns nothing if it does not have that format.
std::optional<decision::ResumePoint> parseEventId(const std::string &text);

/// Returns the name of a new generation, made of a hash of its workspace, \a random (which makes it
/// hard to guess), the request and the attempt.
std::string makeGenerationName(const std::string &workspace, std::uint64_t random,
                               decision::RequestId request, decision::AttemptNumber attempt);

/// Returns true if the name of the generation holds the hash of this workspace.
bool belongsTo(const std::string &generation, const std::string &workspace);

} // namespace azurespindle::callers

#endif
