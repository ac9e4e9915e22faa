#ifndef AZURESPINDLE_CLI_FLEET_EXPLAIN_H
#define AZURESPINDLE_CLI_FLEET_EXPLAIN_H

#include <string>
#include <vector>

namespace azurespindle::cli {

/// Response of one member to an explain query.
struct MemberExplanation
{
    std::string member;
    std::string text; ///< One event per line, each starting with its time; empty without events.
    bool answered = false;
};

/// Merges the event lines of all members in order of time and inserts the member's name after the
/// time. Times come from each member's own clock, so clock skew can affect the order. Members that
/// did not respond are listed at the end.
std::string mergeExplanations(const std::vector<MemberExplanation> &members);

/// Gets the member list from the process at \a address and queries every live or suspect member
/// for the events of \a id.
/// \return an empty list if the process at \a address does not respond.
std::vector<MemberExplanation> explainFromMembers(const std::string &address,
                                                  const std::string &id);

} // namespace azurespindle::cli

#endif
