#ifndef AZURESPINDLE_SESSION_CODEC_H
#define AZURESPINDLE_SESSION_CODEC_H

#include "decision/dispatcher.h"
#include "decision/events.h"
#include "json/object_reader.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace azurespindle::session {

/// Parses an event such as `{"type": "TokensArrived", "request": 1, ...}`. Omitted fields have
/// default values; instants are in microseconds since the start of the session.
/// \param faults receives the errors found; an event of unknown type is returned as Tick
decision::Event parseEvent(const nlohmann::json &json, json::Faults &faults);

/// Returns an effect as one line of JSON with its fields in a fixed order.
std::string formatEffect(const decision::Effect &effect);

/// Replays a recorded session with a new Dispatcher.
///
/// A session consists of lines of JSON. The first one may set options, as in
/// `{"options": {"leasing": true}}`. The event of each line `{"at": MICROSECONDS, "event": {...}}`
/// is passed to the dispatcher, and each resulting effect is written as a line `{"effect": {...}}`
/// after it. Lines that begin with `#` are copied. Effects in \a recorded are ignored, so that
/// replaying a session reproduces it byte for byte unless the dispatcher's decisions changed.
/// \param faults receives the errors found, with their line numbers
/// \return the session with the effects of its events
std::string replay(const std::string &recorded, json::Faults &faults);

} // namespace azurespindle::session

#endif
