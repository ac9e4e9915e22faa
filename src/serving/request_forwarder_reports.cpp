// What a RequestForwarder tells of its router to the reports and the status.

#include "serving/request_forwarder.h"

namespace azurespindle::serving {

std::vector<decision::UpstreamClaim> RequestForwarder::takeChangedClaims()
{
    const std::lock_guard lock(this->mutex);
    return this->router.takeChangedClaims();
}

std::vector<decision::UpstreamClaim> RequestForwarder::takePlacements()
{
    const std::lock_guard lock(this->mutex);
    return this->router.takePlacements();
}

void RequestForwarder::recordReport(std::uint64_t number,
                                    const std::vector<decision::UpstreamClaim> &claims, bool all)
{
    const std::lock_guard lock(this->mutex);
    this->router.recordReport(number, claims, all, monotonicNow());
}

std::vector<routing::UpstreamObservation> RequestForwarder::takeObservations()
{
    const std::lock_guard lock(this->mutex);
    return this->router.takeObservations(monotonicNow());
}

routing::RouterStatus RequestForwarder::status() const
{
    const std::lock_guard lock(this->mutex);
    return this->router.status();
}

std::vector<decision::UpstreamClaim> RequestForwarder::claims() const
{
    const std::lock_guard lock(this->mutex);
    return this->router.claims();
}

members::ZoneReport RequestForwarder::zoneReport() const
{
    const std::lock_guard lock(this->mutex);
    const Instant now = monotonicNow();
    const decision::FleetRetryBudget &budget = this->router.fleetRetryBudget();
    members::ZoneReport report;
    report.processCount = static_cast<std::uint32_t>(budget.countedProcesses(now));
    report.claims = this->router.claimsWithPeers();
    report.requestCounts = budget.ownAndPeerCounts(now);
    report.blockedParts = this->router.blockedParts(now);
    report.observations = this->router.observationsToRelay(routing::ObservationSource::Member, now);
    report.demand = this->router.zoneDemand(now);
    return report;
}

members::FleetReport RequestForwarder::fleetReport() const
{
    const std::lock_guard lock(this->mutex);
    const Instant now = monotonicNow();
    const decision::FleetRetryBudget &budget = this->router.fleetRetryBudget();
    members::FleetReport report;
    report.processCount = static_cast<std::uint32_t>(budget.freshProcesses(now));
    report.claims = this->router.allClaims();
    report.requestCounts = budget.allCounts(now);
    report.blockedParts = this->router.blockedParts(now);
    report.observations = this->router.observationsToRelay(routing::ObservationSource::Relay, now);
    report.demand = this->router.fleetDemand(now);
    return report;
}

std::vector<decision::PartCrashes> RequestForwarder::blockedParts() const
{
    const std::lock_guard lock(this->mutex);
    return this->router.blockedParts(monotonicNow());
}

std::vector<decision::NamedLimit> RequestForwarder::takeOwnLimits(bool all)
{
    const std::lock_guard lock(this->mutex);
    return this->router.takeOwnLimits(all, monotonicNow());
}

std::vector<decision::NamedLimit> RequestForwarder::takeZoneLimits(bool all)
{
    const std::lock_guard lock(this->mutex);
    return this->router.takeZoneLimits(all, monotonicNow());
}

std::vector<decision::NamedLimit> RequestForwarder::takeFleetLimits(bool all)
{
    const std::lock_guard lock(this->mutex);
    return this->router.takeFleetLimits(all, monotonicNow());
}

bool RequestForwarder::hasChangedLimits() const
{
    const std::lock_guard lock(this->mutex);
    return this->router.hasChangedLimits();
}

decision::DemandReport RequestForwarder::demand(bool all) const
{
    const std::lock_guard lock(this->mutex);
    return this->router.ownDemand(all, monotonicNow());
}

bool RequestForwarder::hasQueuedRequests() const
{
    const std::lock_guard lock(this->mutex);
    return this->router.hasQueuedRequests();
}

std::vector<decision::RequestCounts> RequestForwarder::arrivals() const
{
    const std::lock_guard lock(this->mutex);
    return this->router.requestCounts(monotonicNow());
}

} // namespace azurespindle::serving
