#ifndef AZURESPINDLE_DECISION_WORKSPACE_SHARES_H
#define AZURESPINDLE_DECISION_WORKSPACE_SHARES_H

#include "decision/demand_report.h"

#include <set>
#include <string>
#include <vector>

namespace azurespindle::decision {

/// A workspace has far more than its share if it uses more than this multiple of the mean.
constexpr double maxShareOfMean = 2.0;

/// Returns the workspaces that use far more than their share of the tokens. Requests without a
/// workspace have no share.
std::set<std::string> workspacesOverShare(const std::vector<WorkspaceUse> &uses);

/// Returns the part of all tokens in use, from 0 to 1, that the largest workspace uses.
double largestShare(const std::vector<WorkspaceUse> &uses);

} // namespace azurespindle::decision

#endif
