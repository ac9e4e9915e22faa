#ifndef AZURESPINDLE_DECISION_CLAIM_DIFFERENCES_H
#define AZURESPINDLE_DECISION_CLAIM_DIFFERENCES_H

#include "decision/load_table.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace azurespindle::decision {

/// Claims to be told in one report.
struct ClaimUpdate
{
    bool complete = false; ///< Whether \a claims lists all claims rather than only changed ones.
    std::vector<UpstreamClaim> claims; ///< A claim that ended is empty, unless \a complete is set.
    bool operator==(const ClaimUpdate &other) const = default;
};

/// Reduces a series of sums of claims to what changed since the last report.
///
/// All claims are told again at regular intervals, for receivers that joined late or missed a
/// report. A change of memory alone waits for that unless it is large, since each running
/// generation changes it a little all the time.
class ClaimDifferences
{
public:
    /// Change of memory, in tokens, that is told at once.
    static constexpr Tokens minMemoryChange = 1'024;

    /// \param reportsPerCompleteOne number of reports of which one lists all claims.
    explicit ClaimDifferences(std::uint64_t reportsPerCompleteOne)
        : reportsPerCompleteOne(reportsPerCompleteOne)
    { }

    // Commands

    /// Returns what the next report has to tell, given all claims of now.
    ClaimUpdate next(const std::vector<UpstreamClaim> &claims);
    /// Makes the next report a complete one, because its receivers are new.
    void restart() { this->reports = 0; }

private:
    static bool matters(const ResourceClaim &before, const ResourceClaim &after);

    const std::uint64_t reportsPerCompleteOne;
    std::uint64_t reports = 0;                 ///< Reports since the last restart.
    std::map<std::string, ResourceClaim> told; ///< Claims as they were last told.
};

} // namespace azurespindle::decision

#endif
