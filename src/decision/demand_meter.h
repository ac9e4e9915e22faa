#ifndef AZURESPINDLE_DECISION_DEMAND_METER_H
#define AZURESPINDLE_DECISION_DEMAND_METER_H

#include "base/recent_map.h"
#include "base/time_types.h"
#include "decision/demand_report.h"
#include "decision/types.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace azurespindle::decision {

/// Measures the requests for engines that arrive at this process, by service and priority: how
/// many, how large they are, and how long they stay at their engines.
class DemandMeter
{
public:
    /// Services and priorities that are measured.
    static constexpr std::size_t maxKinds = 64;
    /// Time over which arrivals are averaged where the processes' rates are added up.
    static constexpr milliseconds shortWindow {2'000};
    /// Time over which they are averaged where the rate of one process, which is small, stands for
    /// all.
    static constexpr milliseconds longWindow {8'000};

    // Commands

    void recordArrival(const std::string &service, std::uint32_t priority, Tokens memory,
                       Tokens prefill, Instant now);
    /// Records that a request which was executed has left its engine.
    void recordStay(const std::string &service, std::uint32_t priority, microseconds stay);

    // Queries

    /// Returns the current rates, averaged over \a window, which is one of the two above.
    std::vector<ArrivalRate> rates(milliseconds window, Instant now) const;
    /// Returns the mean time that a request stays at its engine; 0: unknown.
    milliseconds stayOf(const std::string &service, std::uint32_t priority) const;

private:
    struct Kind
    {
        std::string service;
        std::uint32_t priority = 0;
        double inShortWindow = 0.0; ///< Number of arrivals, whose weight decays with their age.
        double inLongWindow = 0.0;
        Instant countedAt;
        double memory = 0.0;
        double prefill = 0.0;
        double staySeconds = 0.0;
        bool hasArrived = false;
        bool hasStayed = false;
    };

    static std::string keyOf(const std::string &service, std::uint32_t priority);

    RecentMap<std::string, Kind> kinds {maxKinds};
};

} // namespace azurespindle::decision

#endif
