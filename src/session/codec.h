#ifndef AZURESPINDLE_SESSION_CODEC_H
#define AZURESPINDLE_SESSION_CODEC_H

#include "decision/dispatcher.h"
#include "decision/events.h"
#include "json/object_reader.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace azurespindle::session {

/// Parses one event, such as `{"type": "TokensArrived", "request": 1, …}`. Fields that are left
/// out keep their defaults; instants are microseconds since the session began.
decision::Event parseEvent(const nlohmann::json &json, json::Faults &faults);

/// Returns one effect as JSON, on one line, fields in a fixed order.
std::string formatEffect(const decision::Effect &effect);

/// Replays a recorded session against a fresh Dispatcher.
///
/// A session is JSON lines. The first may set options: `{"options": {"leasing": true}}`. A line
/// `{"at": MICROSECONDS, "event": {…}}` is fed to the dispatcher; each effect it has becomes a
/// line `{"effect": {…}}` below it. Lines that begin with `#` are kept. Effects that already stand
/// in \a recorded are ignored, so replaying a session yields it again, byte for byte, unless the
/// decisions changed.
/// \return the session with its effects; faults are added with the line they are in.
std::string replay(const std::string &recorded, json::Faults &faults);

} // namespace azurespindle::session

#endif
