#ifndef AZURESPINDLE_DECISION_COLD_START_LIMITER_H
#define AZURESPINDLE_DECISION_COLD_START_LIMITER_H

#include "base/recent_map.h"
#include "base/time_types.h"
#include "decision/sender_choice.h"

#include <cstddef>
#include <string>
#include <utility>

namespace azurespindle::decision {

/// Rate limiter for the requests that one process sends to cold upstreams.
///
/// When a zone comes back, its upstreams are empty, so that every process finds them the best
/// choice at the same moment. Each process gets an equal part of the rate that a cold upstream
/// sustains and spaces its requests evenly. Where that part would be less than one request a
/// second, only as many processes send as the upstream takes requests, because each may send its
/// first at once. The total therefore holds without communication between processes.
class ColdStartLimiter
{
public:
    /// Share of a cold upstream's rate that the processes use together.
    static constexpr double usedShare = 0.9;
    /// Upstreams whose last send is remembered.
    static constexpr std::size_t maxUpstreams = 4'096;

    // Commands

    /// Sets the number of processes that share the rate of an upstream. 0 counts as 1.
    void setProcessCount(std::size_t count) { this->processes = count == 0 ? 1 : count; }
    /// Sets the processes that share the rates, and the name of this one. While \a names is
    /// nullptr, only their number counts.
    void setProcesses(const ProcessNames &names, const std::string &ownName);
    /// Records that a request was sent to a cold upstream.
    void recordSend(const std::string &upstream, Instant now);

    // Queries

    /// Returns true if a request may be sent to a cold upstream now.
    /// \param requestsPerSecond rate that the upstream sustains while cold; 0 means no limit.
    /// \param alternatives number of upstreams of its service. If there are few, more processes may
    /// send to each, so that every process may send to one.
    bool allows(const std::string &upstream, double requestsPerSecond, std::size_t alternatives,
                Instant now) const;

private:
    /// Returns the number of processes that may send to one upstream.
    std::size_t senderCount(double usedRate, std::size_t alternatives) const;

    /// Returns true if this process may send to the upstream at all.
    bool isSenderTo(const std::string &upstream, std::size_t count) const;

    ProcessNames names;
    std::string self;
    /// Results of isSenderTo() for these names, by upstream; the number of senders is part of each.
    mutable RecentMap<std::string, std::pair<std::size_t, bool>> senderChoices {maxUpstreams};
    std::size_t processes = 1;
    RecentMap<std::string, Instant> lastSends {maxUpstreams};
};

} // namespace azurespindle::decision

#endif
