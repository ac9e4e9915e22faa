#ifndef AZURESPINDLE_ROUTING_INTERNAL_DEMAND_KNOWLEDGE_H
#define AZURESPINDLE_ROUTING_INTERNAL_DEMAND_KNOWLEDGE_H

#include "base/time_types.h"
#include "decision/capacity_forecast.h"
#include "decision/demand_meter.h"
#include "decision/fleet_demand.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace azurespindle::routing::internal {

/// What callers demand of the whole fleet's upstreams, as a Router estimates it.
struct DemandEstimate
{
    Instant madeAt {};
    std::vector<decision::ArrivalRate> arrivals;
    std::vector<decision::WaitingCount> waitingElsewhere;
    double largestWorkspaceShare = 0.0;
};

/// Sizes of the running requests of the whole fleet by service: KV tokens, or requests of a plain
/// service.
struct FleetLoad
{
    Instant summedAt {};
    std::map<std::string, double> inUse;
};

/// What a Router knows of the demand for upstreams and of the capacity that becomes free.
struct DemandKnowledge
{
    decision::DemandMeter meter;
    decision::FleetDemand fleet;
    decision::CapacityForecast capacity;
    DemandEstimate estimate;
    FleetLoad load;
    /// Plain upstreams that refused a request for lack of a slot, and until when they get none.
    std::unordered_map<std::string, Instant> fullUntil;
};

} // namespace azurespindle::routing::internal

#endif
