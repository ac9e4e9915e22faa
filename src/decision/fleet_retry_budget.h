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

/// How many arrivals beyond the first of each request one service may get, from all processes.
struct FleetRetryLimits
{
    double share = 0.2; ///< Of the requests for the service.
    double burst = 0.0; ///< Beside that, in each window.
    milliseconds window {10'000};
    bool operator==(const FleetRetryLimits &other) const = default;
};

/// What one process counted for a service in the last window.
struct RequestCounts
{
    std::string service;
    std::uint32_t requests = 0;
    std::uint32_t resends = 0;
    bool operator==(const RequestCounts &other) const = default;
};

/// Bounds, over the whole fleet, how often requests are sent once more: retries, and generations
/// that go on elsewhere.
///
/// Each process has its part of the burst and its own requests' share, so that the sum holds
/// without a word between them. Beyond its part it may go while its peers say that most of the
/// fleet's budget is unused; what peers said counts only while it is fresh. While one counts on the
/// same word others do, too: therefore each borrows no more in that time than its part of the rest.
class FleetRetryBudget
{
public:
    /// Part of the limits that the processes' own parts add up to.
    static constexpr double ownPart = 0.8;
    /// Part of the fleet's limits up to which a process may borrow.
    static constexpr double borrowPart = 0.55;
    /// Part of a process's own budget that plain retries may use; the rest is for generations.
    static constexpr double retryPart = 0.6;
    static constexpr milliseconds peerMemory {1'500};
    /// Part of the processes that have to be heard before one borrows. In a large fleet some are
    /// always just starting or ending.
    static constexpr double knownPart = 0.9;
    /// How old what other zones said may be, on the way over two relays.
    static constexpr milliseconds newsAge {600};

    // Commands

    void setLimits(const FleetRetryLimits &limits) { this->limits = limits; }
    /// Sets the number of processes that the burst is divided by.
    void setProcessCount(std::size_t count) { this->processes = count == 0 ? 1 : count; }
    /// Notes a request of a caller.
    void recordRequest(const std::string &service, Instant now);
    /// Notes an arrival beyond the first.
    void recordResend(const std::string &service, Instant now);
    void updatePeer(const std::string &peer, const std::vector<RequestCounts> &counts, Instant now);
    /// Takes over what the processes of another zone counted together.
    void updateZone(const std::string &zone, const std::vector<RequestCounts> &counts,
                    std::size_t processes, Instant now);

    // Queries

    /// Returns true if a request for \a service may be sent once more.
    /// \param generation it goes on with a generation that would be lost otherwise.
    bool allows(const std::string &service, bool generation, Instant now) const;
    std::vector<RequestCounts> counts(Instant now) const;
    /// Returns what this process and its peers counted together, without other zones' reports.
    std::vector<RequestCounts> ownAndPeerCounts(Instant now) const;
    /// Returns how many processes ownAndPeers() speaks for.
    std::size_t countedProcesses(Instant now) const;

private:
    struct Events
    {
        std::deque<Instant> requests;
        std::deque<Instant> resends;
    };
    struct Peer
    {
        Instant heard;
        std::vector<RequestCounts> counts;
        std::size_t processes = 1; ///< Whose counts they are.
    };

    /// Returns how many processes' counts are fresh, this one's included.
    std::size_t freshProcesses(Instant now) const;
    /// Returns true if a process may take one more from what the others do not use.
    bool mayBorrow(const std::string &service, Instant now) const;
    void trim(Events &events, Instant now) const;
    RequestCounts own(const std::string &service, Instant now) const;
    RequestCounts fleet(const std::string &service, Instant now) const;

    FleetRetryLimits limits;
    std::size_t processes = 1;
    std::unordered_map<std::string, Events> services;
    std::map<std::string, Peer> peers;
    std::map<std::string, Peer> zones; ///< By zone: what its processes counted together.
};

} // namespace azurespindle::decision

#endif
