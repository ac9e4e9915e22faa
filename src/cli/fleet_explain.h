#ifndef AZURESPINDLE_CLI_FLEET_EXPLAIN_H
#define AZURESPINDLE_CLI_FLEET_EXPLAIN_H

#include <string>
#include <vector>

namespace azurespindle::cli {

/// What one member has to say of a subject.
struct MemberExplanation
{
    std::string member;
    std::string text; ///< Lines that begin with their time; empty if nothing concerns the subject.
    bool answered = false;
};

/// Strings the lines of all members together by time, each with its member behind the time. The
/// times are of each member's own clock.
std::string mergeExplanations(const std::vector<MemberExplanation> &members);

/// Asks the process at \a address for the members it knows, and every live one of them for what
/// concerns \a id. \return nothing if the process itself does not answer.
std::vector<MemberExplanation> explainEverywhere(const std::string &address, const std::string &id);

} // namespace azurespindle::cli

#endif
