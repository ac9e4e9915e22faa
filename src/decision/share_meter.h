#ifndef AZURESPINDLE_DECISION_SHARE_METER_H
#define AZURESPINDLE_DECISION_SHARE_METER_H

#include "base/recent_map.h"
#include "base/time_types.h"

#include <cstddef>
#include <string>

namespace azurespindle::decision {

/// Measures which workspaces recently received more than their fair share of the tokens.
///
/// Usage decays exponentially. The fair share of a workspace is its weight divided by the weights
/// of all workspaces that were recently active, so that a single active workspace is never above
/// its share.
class ShareMeter
{
public:
    static constexpr std::size_t maxWorkspaces = 4'096;
    static constexpr seconds halfLife {10}; ///< Time in which usage decays by half.
    /// Decayed usage, in tokens, from which a workspace counts as active.
    static constexpr double minTokens = 50.0;
    /// Factor by which usage must exceed the fair share.
    static constexpr double tolerance = 1.2;

    // Commands

    /// Adds tokens served to a workspace; a negative number corrects an earlier forecast.
    void recordUsage(const std::string &workspace, double tokens, double weight, Instant now);
    /// Decays all usage to \a now and recomputes the totals that isAboveShare() compares with.
    void decay(Instant now);

    // Queries

    bool isAboveShare(const std::string &workspace) const;
    std::size_t size() const { return this->usage.size(); }

private:
    struct Usage
    {
        double tokens = 0.0;
        double weight = 1.0;
    };

    RecentMap<std::string, Usage> usage {maxWorkspaces};
    double totalTokens = 0.0; ///< Usage of the active workspaces at the last decay().
    double totalWeight = 0.0; ///< Weights of the active workspaces at the last decay().
    Instant lastDecay;
};

} // namespace azurespindle::decision

#endif
