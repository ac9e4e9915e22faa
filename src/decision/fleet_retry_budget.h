#ifndef AZURESPINDLE_DECISION_FLEET_RETRY_BUDGET_H
#define AZURESPINDLE_DECISION_FLEET_RETRY_BUDGET_H

#include "base/time_types.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace azurespindle::decision {

/// Fleet-wide limits on how many requests for one service may be resent.
struct FleetRetryLimits
{
    double share = 0.2;           ///< Resends per request for the service.
    double burst = 0.0;           ///< Further resends in each window.
    milliseconds window {10'000}; ///< Length of the sliding window.
    bool operator==(const FleetRetryLimits &other) const = default;
};

/// Requests for one service in the current window, as one process or zone counted them.
struct RequestCounts
{
    std::string service;
    std::uint32_t requests = 0;
    std::uint32_t resends = 0; ///< Times a request was sent beyond the first.
    bool operator==(const RequestCounts &other) const = default;
};

/// A fleet-wide budget for resending requests: retries, and generations that continue on another
/// upstream.
///
/// Each process may use its part of the burst and the share that its own requests earn, so that the
/// fleet stays within the limits without communication. For generations, a process may borrow
/// beyond its part while fresh counts of its peers show that most of the fleet's budget is unused.
/// Several processes may borrow on the same counts at the same time; therefore a process whose
/// counts come from other zones, too, borrows at most its part of the remaining budget within
/// maxZoneCountsAge.
class FleetRetryBudget
{
public:
    /// Share of the limits that is divided among the processes.
    static constexpr double ownShare = 0.8;
    /// Share of the fleet's limits up to which a process may borrow.
    static constexpr double borrowLimitShare = 0.55;
    /// Share of a process's own budget that retries may use. The rest is reserved for generations.
    static constexpr double retryShare = 0.6;
    /// Time for which the counts of a peer or zone are used.
    static constexpr milliseconds countsTimeout {1'500};
    /// Share of the processes whose counts must be fresh before one may borrow. It is less than 1
    /// because some processes of a large fleet are always starting or stopping.
    static constexpr double minFreshShare = 0.9;
    /// Highest age of counts from other zones, which pass through two relays.
    static constexpr milliseconds maxZoneCountsAge {600};

    // Commands

    /// Sets the limits that apply to each service.
    void setLimits(const FleetRetryLimits &limits) { this->limits = limits; }
    /// Sets the number of processes that share the budget. 0 counts as 1.
    void setProcessCount(std::size_t count) { this->processes = count == 0 ? 1 : count; }
    /// Counts a request of a caller.
    void recordRequest(const std::string &service, Instant now);
    /// Counts a resend of a request.
    void recordResend(const std::string &service, Instant now);
    /// Replaces the counts of a peer.
    void updatePeer(const std::string &peer, const std::vector<RequestCounts> &counts, Instant now);
    /// Replaces the total counts of another zone.
    /// \param processes number of processes whose counts they are.
    void updateZone(const std::string &zone, const std::vector<RequestCounts> &counts,
                    std::size_t processes, Instant now);

    // Queries

    /// Returns true if a request for \a service may be resent.
    /// \param generation true if the resend continues a generation that would be lost otherwise.
    bool allows(const std::string &service, bool generation, Instant now) const;
    /// Returns the counts of this process by service.
    std::vector<RequestCounts> counts(Instant now) const;
    /// Returns the sums of the counts of this process and its peers, without those of other zones.
    std::vector<RequestCounts> ownAndPeerCounts(Instant now) const;
    /// Returns the sums of all counts of which this process hears, its own included.
    std::vector<RequestCounts> allCounts(Instant now) const;
    /// Returns the number of processes whose counts ownAndPeerCounts() includes.
    std::size_t countedProcesses(Instant now) const;
    /// Returns the number of processes with fresh counts, including this one.
    std::size_t freshProcesses(Instant now) const;

private:
    /// Times of the events of one service in the current window.
    struct History
    {
        std::deque<Instant> requests;
        std::deque<Instant> resends;
    };
    struct Report
    {
        Instant receivedAt;
        std::vector<RequestCounts> counts;
        std::size_t processes = 1; ///< Number of processes whose counts they are.
    };

    /// Returns the sums of the own counts and those of \a sources that are fresh.
    std::vector<RequestCounts>
    sumOf(const std::vector<const std::map<std::string, Report> *> &sources, Instant now) const;
    /// Returns true if this process may resend one more request from the unused budget of others.
    bool mayBorrow(const std::string &service, Instant now) const;
    /// Drops the events that have left the window.
    void trimHistory(History &history, Instant now) const;
    RequestCounts ownCounts(const std::string &service, Instant now) const;
    /// Returns the sum of the own counts and all fresh counts of peers and zones.
    RequestCounts fleetCounts(const std::string &service, Instant now) const;

    FleetRetryLimits limits;
    std::size_t processes = 1;
    std::unordered_map<std::string, History> histories;
    std::map<std::string, Report> peers;
    std::map<std::string, Report> zones; ///< Totals by zone.
};

} // namespace azurespindle::decision

#endif
