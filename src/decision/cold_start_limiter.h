#ifndef AZURESPINDLE_DECISION_COLD_START_LIMITER_H
#define AZURESPINDLE_DECISION_COLD_START_LIMITER_H

#include "base/recent_map.h"
#include "base/time_types.h"

#include <cstddef>
#include <string>

namespace azurespindle::decision {

/// Bounds what one process sends to a cold upstream, so that all together stay within what it
/// bears.
///
/// Answers for a zone that comes back: its upstreams are empty, so every process finds them the
/// best choice at the same moment. Each process has an equal part of the rate, spaced out, which
/// holds also between processes that cannot hear each other.
class ColdStartLimiter
{
public:
    /// Part of what a cold upstream bears that the processes use together.
    static constexpr double usedPart = 0.9;
    static constexpr std::size_t maxUpstreams = 4'096;

    // Commands

    /// Sets the number of processes that may send to the same upstream.
    void setProcessCount(std::size_t count) { this->processes = count == 0 ? 1 : count; }
    /// Notes that a request was sent to a cold upstream.
    void recordSend(const std::string &upstream, Instant now);

    // Queries

    /// Returns true if a request may be sent to a cold upstream that bears \a requestsPerSecond.
    bool allows(const std::string &upstream, double requestsPerSecond, Instant now) const;

private:
    std::size_t processes = 1;
    RecentMap<std::string, Instant> sent {maxUpstreams};
};

} // namespace azurespindle::decision

#endif
