#ifndef AZURESPINDLE_DECISION_DEMAND_REPORT_H
#define AZURESPINDLE_DECISION_DEMAND_REPORT_H

#include "base/time_types.h"
#include "decision/types.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace azurespindle::decision {

/// Requests for one service and of one priority that wait for an upstream.
struct WaitingCount
{
    std::string service;
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    std::uint32_t requests = 0;
    Tokens memory = 0;       ///< KV memory that each needs on average; 0 for a plain service.
    milliseconds oldest {0}; ///< Age of the one that waits longest.
    bool operator==(const WaitingCount &other) const = default;
};

/// Requests for one service of engines and of one priority that arrive.
struct ArrivalRate
{
    std::string service;
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    double perSecond = 0.0;
    Tokens memory = 0;     ///< KV memory that each needs on average.
    Tokens prefill = 0;    ///< Prompt tokens that each has on average.
    milliseconds stay {0}; ///< Time that each spends at its engine on average; 0: unknown.
    bool operator==(const ArrivalRate &other) const = default;
};

/// KV memory that the running requests of one workspace claim.
struct WorkspaceUse
{
    std::string workspace;
    std::uint64_t tokens = 0;
    bool operator==(const WorkspaceUse &other) const = default;
};

/// What the callers of one process, or of several together, demand of the upstreams.
struct DemandReport
{
    /// Entries of each list.
    static constexpr std::size_t maxEntries = 16;
    /// Highest values that are believed, for one process or all together.
    static constexpr std::uint32_t maxPriority = 9;
    static constexpr std::uint32_t maxRequests = 10'000'000;
    static constexpr double maxPerSecond = 1e7;
    static constexpr Tokens maxTokens = 100'000'000;
    static constexpr std::uint64_t maxWorkspaceTokens = 1'000'000'000'000;
    static constexpr milliseconds maxDuration {3'600'000};

    std::vector<WaitingCount> waiting;
    std::vector<ArrivalRate> arrivals; ///< Empty if they are not told this time.
    /// The workspaces that use most, in descending order; empty if they are not told this time.
    std::vector<WorkspaceUse> workspaces;
    bool operator==(const DemandReport &other) const = default;
};

/// Returns the sum of several reports: counts and rates are added, sizes and times averaged. The
/// largest entries are kept where there are more than maxEntries.
DemandReport sumOf(const std::vector<DemandReport> &reports);

/// Returns true if each list keeps to maxEntries and each value to its range.
bool isPlausible(const DemandReport &report);

} // namespace azurespindle::decision

#endif
