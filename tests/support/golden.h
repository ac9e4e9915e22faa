#ifndef AZURESPINDLE_TESTS_SUPPORT_GOLDEN_H
#define AZURESPINDLE_TESTS_SUPPORT_GOLDEN_H

#include "json/object_reader.h"

#include <cstddef>
#include <functional>
#include <string>

namespace azurespindle::tests {

using Replay = std::function<std::string(const std::string &recorded, json::Faults &faults)>;

/// Replays every recorded session in \a folder of the golden files and fails at the first that
/// differs, with the line and its neighbours. With UPDATE_GOLDEN set the files are rewritten
/// instead, and the diff is what is reviewed. \return the number of sessions.
std::size_t checkGoldenSessions(const std::string &folder, const Replay &replay);

} // namespace azurespindle::tests

#endif
