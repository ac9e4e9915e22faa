#include "serving/fleet_reporter.h"

#include <algorithm>
#include <utility>

namespace azurespindle::serving {
namespace {

constexpr std::uint64_t ticksPerFullReport = 5;
/// A report is sent at least every second tick, so that two fit into
/// ViewSynchronizer::readerTimeout.
constexpr std::uint64_t ticksPerHeartbeat = 2;
constexpr std::uint64_t totalsPerZoneReport = 2;
constexpr std::uint64_t totalsPerCounts = 5;
constexpr std::uint64_t zoneReportsPerCompleteOne = 10;
constexpr std::uint64_t fleetReportsPerCompleteOne = 20;
/// Notices of placements that a process may save up.
constexpr double maxSavedNotices = 4.0;

} // namespace

FleetReporter::FleetReporter(std::string self, std::string zone, RequestForwarder &forwarder,
                             ViewSynchronizer &view, ZoneRelay &relay, FleetReporterHooks hooks)
    : self(std::move(self)), zone(std::move(zone)), forwarder(forwarder), view(view), relay(relay),
      hooks(std::move(hooks)), zoneClaims(zoneReportsPerCompleteOne),
      fleetClaims(fleetReportsPerCompleteOne)
{ }

// Reports of this process -----------------------------------------------------------------------

void FleetReporter::tick()
{
    const bool full = this->ticks % ticksPerFullReport == 0;
    const bool heartbeat = this->ticks % ticksPerHeartbeat == 0;
    this->ticks += 1;
    const bool toRelays = this->relay.reportsToRelays();
    if (toRelays && heartbeat) {
        this->reportViewStatus();
    }
    const std::lock_guard lock(this->reportMutex);
    std::vector<routing::UpstreamObservation> observations = this->forwarder.takeObservations();
    const bool due = full || (heartbeat && !toRelays) || this->forwarder.hasQueuedRequests();
    if (due || !observations.empty() || this->forwarder.hasChangedLimits()) {
        this->sendReport(full, this->forwarder.takeChangedClaims(), std::move(observations));
    }
}

void FleetReporter::reportViewStatus()
{
    const members::ViewStatus status {this->view.revision(), this->view.readsStore()};
    if (status.readsStore || this->toldReading) {
        std::vector<std::string> others = this->relay.ownZoneMembers();
        std::erase(others, this->self);
        this->hooks.sendToAll(others, status);
    }
    this->toldReading = status.readsStore;
}

void FleetReporter::reportChanges()
{
    const std::lock_guard lock(this->reportMutex);
    this->sendChanges();
}

void FleetReporter::reportPlacement()
{
    const std::lock_guard lock(this->reportMutex);
    this->sendChanges();
    this->announcePlacements(monotonicNow());
}

void FleetReporter::announcePlacements(Instant now)
{
    const std::vector<decision::UpstreamClaim> placements = this->forwarder.takePlacements();
    if (placements.empty() || !this->relay.reportsToRelays()) {
        return;
    }
    std::vector<std::string> others = this->relay.ownZoneMembers();
    std::erase(others, this->self);
    const double ownRate = maxNoticesPerSecond / static_cast<double>(others.size() + 1);
    this->savedNotices = std::min(
        maxSavedNotices, this->savedNotices + ownRate * inSeconds(now - this->noticesSavedAt));
    this->noticesSavedAt = now;
    if (this->savedNotices >= 1.0) {
        this->savedNotices -= 1.0;
        this->hooks.sendToAll(others, members::PlacementNotice {placements});
    }
}

void FleetReporter::sendChanges()
{
    std::vector<decision::UpstreamClaim> changed = this->forwarder.takeChangedClaims();
    if (!changed.empty()) {
        this->sendReport(false, std::move(changed), this->forwarder.takeObservations());
    }
}

void FleetReporter::sendReport(bool full, std::vector<decision::UpstreamClaim> changed,
                               std::vector<routing::UpstreamObservation> observations)
{
    members::RouterReport report;
    this->reportNumber += 1;
    report.sequence = this->reportNumber;
    report.complete = full;
    report.viewRevision = this->view.revision();
    report.readsStore = this->view.readsStore();
    report.claims = full ? this->forwarder.claims() : std::move(changed);
    report.observations = std::move(observations);
    report.requestCounts = this->forwarder.arrivals();
    report.limits = this->forwarder.takeOwnLimits(full);
    report.demand = this->forwarder.demand(full);
    if (full) {
        report.blockedParts = this->forwarder.blockedParts();
    }
    this->forwarder.recordReport(report.sequence, report.claims, full);
    this->hooks.sendToAll(this->relay.reportRecipients(), report);
}

// Totals of a relay ------------------------------------------------------------------------------

void FleetReporter::reportTotals()
{
    const bool active = this->relay.isActiveRelay(monotonicNow());
    if (active && !std::exchange(this->wasActiveRelay, active)) {
        this->zoneClaims.restart();
        this->fleetClaims.restart();
    }
    this->wasActiveRelay = active;
    if (!active) {
        return;
    }
    this->totalsTicks += 1;
    if (this->totalsTicks % totalsPerZoneReport == 0) {
        this->reportToOtherZones();
    }
    this->reportToOwnZone(this->totalsTicks % totalsPerCounts == 0);
}

void FleetReporter::reportToOtherZones()
{
    members::ZoneReport report = this->forwarder.zoneReport();
    report.zone = this->zone;
    decision::ClaimUpdate update = this->zoneClaims.next(report.claims);
    report.complete = update.complete;
    report.claims = std::move(update.claims);
    report.limits = this->forwarder.takeZoneLimits(report.complete);
    this->hooks.sendToAll(this->relay.remoteRelays(), report);
}

void FleetReporter::reportToOwnZone(bool tellsCounts)
{
    const Instant now = monotonicNow();
    members::FleetReport report = this->forwarder.fleetReport();
    const std::vector<decision::UpstreamClaim> all = std::exchange(report.claims, {});
    decision::ClaimUpdate update = this->fleetClaims.next(all);
    report.complete = update.complete;
    report.claims = std::move(update.claims);
    report.limits = this->forwarder.takeFleetLimits(report.complete);
    report.viewRevision = this->view.revision();
    report.readsStore = this->view.readsStore();
    const std::set<std::string> silent = this->relay.silentZones(now);
    report.silentZones.assign(silent.begin(), silent.end());
    if (!tellsCounts) {
        report.requestCounts.clear();
        report.demand.arrivals.clear();
        report.demand.workspaces.clear();
    }
    if (!report.complete) {
        report.blockedParts.clear();
    }
    members::FleetReport introduction = report;
    introduction.complete = true;
    introduction.claims = all;
    for (const std::string &member : this->relay.ownZoneMembers()) {
        if (member == this->self) {
            continue;
        }
        bool informed = false;
        {
            const std::lock_guard lock(this->membersMutex);
            informed = !this->informedMembers.insert(member).second;
        }
        members::FleetReport &sent = informed ? report : introduction;
        sent.acknowledged = this->acknowledgedReport(member, now);
        this->hooks.send(member, sent);
    }
}

std::uint64_t FleetReporter::acknowledgedReport(const std::string &member, Instant now)
{
    const std::lock_guard lock(this->membersMutex);
    const auto found = this->reportingMembers.find(member);
    if (found == this->reportingMembers.end()) {
        return 0;
    }
    if (now - found->second.heardAt > decision::LoadTable::reportTimeout) {
        this->reportingMembers.erase(found);
        this->informedMembers.erase(member);
        return 0;
    }
    return found->second.lastReport;
}

// Reports of others ------------------------------------------------------------------------------

void FleetReporter::handle(const std::string &from, const members::RouterReport &report)
{
    const Instant now = monotonicNow();
    {
        const std::lock_guard lock(this->membersMutex);
        ReportingMember &member = this->reportingMembers[from];
        const bool gap = now - member.heardAt > decision::LoadTable::reportTimeout;
        if (report.sequence < member.lastReport || gap) {
            member.lastReport = 0; // The member was restarted, or its claims were dropped.
            this->informedMembers.erase(from);
        }
        member.heardAt = now;
        if (report.complete || member.lastReport > 0) {
            member.lastReport = report.sequence;
        }
    }
    this->forwarder.handle(routing::PeerReportArrived {
        from, report.complete, report.claims, report.requestCounts, report.observations,
        report.blockedParts, report.limits, report.demand});
    this->view.handleReport(from, {report.viewRevision, report.readsStore});
    this->relay.recordMemberHeard(from, now);
}

void FleetReporter::handle(const std::string &, const members::ZoneReport &report)
{
    if (report.zone == this->zone) {
        return; // The members of this zone report to this process themselves.
    }
    this->relay.recordZoneHeard(report.zone, monotonicNow());
    this->forwarder.handle(routing::ZoneReportArrived {
        report.zone, report.complete, report.processCount, report.claims, report.requestCounts,
        report.blockedParts, report.limits, report.observations, report.demand});
}

void FleetReporter::handle(const std::string &from, const members::FleetReport &report)
{
    this->view.handleReport(from, {report.viewRevision, report.readsStore});
    std::set<std::string> silentZones(report.silentZones.begin(), report.silentZones.end());
    if (this->relay.recordFleetReport(from, std::move(silentZones), monotonicNow())) {
        this->forwarder.handle(
            routing::FleetReportArrived {report.complete, report.acknowledged, report.processCount,
                                         report.claims, report.requestCounts, report.observations,
                                         report.blockedParts, report.limits, report.demand});
    }
}

void FleetReporter::handle(const members::PlacementNotice &notice)
{
    this->forwarder.handle(routing::PlacementsAnnounced {notice.claims});
}

void FleetReporter::handle(const std::string &from, const members::ViewStatus &status)
{
    this->view.handleReport(from, status);
}

} // namespace azurespindle::serving
