#ifndef AZURESPINDLE_DECISION_SENDER_CHOICE_H
#define AZURESPINDLE_DECISION_SENDER_CHOICE_H

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace azurespindle::decision {

/// Names of the active entry processes, which all processes know alike but for moments.
using ProcessNames = std::shared_ptr<const std::vector<std::string>>;

/// Returns true if \a self is one of the \a count processes that may send to an upstream whose rate
/// is divided among a few. They are chosen by rendezvous hashing, so that all processes agree
/// without communication, and a process that leaves moves its own turn only.
bool isSender(const std::vector<std::string> &processes, const std::string &self,
              const std::string &upstream, std::size_t count);

} // namespace azurespindle::decision

#endif
