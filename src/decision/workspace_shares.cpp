#include "decision/workspace_shares.h"

#include <algorithm>

namespace azurespindle::decision {
namespace {

double totalOf(const std::vector<WorkspaceUse> &uses)
{
    double total = 0.0;
    for (const WorkspaceUse &each : uses) {
        total += static_cast<double>(each.tokens);
    }
    return total;
}

} // namespace

std::set<std::string> workspacesOverShare(const std::vector<WorkspaceUse> &uses)
{
    std::set<std::string> over;
    const auto count = static_cast<double>(uses.size());
    for (const WorkspaceUse &each : uses) {
        const double limit = maxShareOfMean * totalOf(uses) / count;
        if (!each.workspace.empty() && static_cast<double>(each.tokens) > limit) {
            over.insert(each.workspace);
        }
    }
    return over;
}

double largestShare(const std::vector<WorkspaceUse> &uses)
{
    std::uint64_t largest = 0;
    for (const WorkspaceUse &each : uses) {
        largest = std::max(largest, each.tokens);
    }
    return largest == 0 ? 0.0 : static_cast<double>(largest) / totalOf(uses);
}

} // namespace azurespindle::decision
