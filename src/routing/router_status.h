#ifndef AZURESPINDLE_ROUTING_ROUTER_STATUS_H
#define AZURESPINDLE_ROUTING_ROUTER_STATUS_H

#include "base/time_types.h"
#include "decision/fleet_retry_budget.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace azurespindle::routing {

struct RouterOptions
{
    std::string zone; ///< Zone of this process.
    std::map<std::string, std::string> regionOfZone;
    std::uint64_t seed = 0; ///< Differs between processes, so that they break ties differently.
    decision::FleetRetryLimits retryLimits;
    std::string name {}; ///< Name of this process.
};

/// Counters of a router, for `azurespindle status` and the metrics.
struct RouterStatus
{
    std::size_t openRequests = 0;
    std::size_t queuedRequests = 0;
    std::size_t migratingGenerations = 0;
    std::uint64_t migrationsStarted = 0;
    std::uint64_t migrationsCompleted = 0;
    std::uint64_t generationsLost = 0;
    std::uint64_t runStopsAsked = 0;    ///< Requests to engines to stop a run.
    std::uint64_t takeoversBeside = 0;  ///< Takeovers from engines that could not be reached.
    std::size_t unconfirmedStops = 0;   ///< Runs whose engines have not confirmed their stop.
    std::uint64_t upstreamsLeaving = 0; ///< Upstreams that stated in a response that they leave.
    std::uint64_t pausesNoted = 0;      ///< Pauses that upstreams asked for.
    std::uint64_t pausesUnreadable = 0; ///< Stated pauses that could not be read.
    std::uint64_t streamsCutByStop = 0; ///< Streams that ran until the process had to end.
    std::map<std::uint32_t, std::size_t> queuedByPriority;
    std::uint64_t requestsHeldBack = 0;  ///< Requests that left room for more urgent ones.
    std::uint64_t requestsOvertaken = 0; ///< Times that a later request was placed first.
    std::uint64_t requestsHopeless = 0;  ///< Requests rejected as they would not start in time.
    std::uint64_t refusedForSlots = 0;   ///< Attempts that plain upstreams had no slot for.
    double largestWorkspaceShare = 0.0;  ///< Of the tokens in use, from 0 to 1.
    microseconds waitForecastError {0};  ///< Mean error of expected waits.
};

} // namespace azurespindle::routing

#endif
