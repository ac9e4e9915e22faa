#ifndef AZURESPINDLE_DECISION_SHARE_METER_H
#define AZURESPINDLE_DECISION_SHARE_METER_H

#include "base/recent_map.h"
#include "base/time_types.h"

#include <cstddef>
#include <string>

namespace azurespindle::decision {

/// Knows which workspaces lately got more than their share of the tokens.
///
/// Service decays by half in each halfLife. A workspace's share is its weight beside the weights of
/// all that were served lately, so that one which is alone is never above it.
class ShareMeter
{
public:
    static constexpr std::size_t maxWorkspaces = 4'096;
    static constexpr seconds halfLife {10};
    /// Service of so many tokens or fewer does not make a workspace one of those that share.
    static constexpr double leastTokens = 50.0;
    /// A workspace is above its share once it has so many times as much.
    static constexpr double tolerance = 1.2;

    // Commands

    /// Adds service; negative tokens are given back.
    void note(const std::string &workspace, double tokens, double weight, Instant now);
    /// Lets time pass: brings what aboveShare() compares up to date.
    void passTime(Instant now);

    // Queries

    bool aboveShare(const std::string &workspace) const;
    std::size_t size() const { return this->served.size(); }

private:
    struct Service
    {
        double tokens = 0.0;
        double weight = 1.0;
    };

    RecentMap<std::string, Service> served {maxWorkspaces};
    double sumTokens = 0.0;  ///< As of the last passTime().
    double sumWeights = 0.0; ///< Of those that share.
    Instant decayed;
};

} // namespace azurespindle::decision

#endif
