#include "decision/fleet_demand.h"

#include <algorithm>

namespace azurespindle::decision {

void FleetDemand::update(Source &source, const DemandReport &report, Instant now)
{
    source.waitingAt = now;
    source.report.waiting = report.waiting;
    if (!report.arrivals.empty() || !report.workspaces.empty()) {
        source.ratesAt = now;
        source.report.arrivals = report.arrivals;
        source.report.workspaces = report.workspaces;
    }
}

void FleetDemand::updatePeer(const std::string &peer, const DemandReport &report, Instant now)
{
    update(this->peers[peer], report, now);
}

void FleetDemand::updateZone(const std::string &zone, const DemandReport &report, Instant now)
{
    update(this->zones[zone], report, now);
}

void FleetDemand::updateFleet(const DemandReport &report, Instant now)
{
    if (!this->fleet) {
        this->fleet.emplace();
    }
    update(*this->fleet, report, now);
}

void FleetDemand::removeSilent(Instant now)
{
    const auto isSilent
        = [now](const Source &source) { return now - source.waitingAt > ratesTimeout; };
    std::erase_if(this->peers, [&](const auto &entry) { return isSilent(entry.second); });
    std::erase_if(this->zones, [&](const auto &entry) { return isSilent(entry.second); });
    if (this->fleet && isSilent(*this->fleet)) {
        this->fleet.reset();
    }
}

DemandReport FleetDemand::freshPart(const Source &source, Instant now)
{
    DemandReport fresh;
    if (now - source.waitingAt <= waitingTimeout) {
        fresh.waiting = source.report.waiting;
    }
    if (now - source.ratesAt <= ratesTimeout) {
        fresh.arrivals = source.report.arrivals;
        fresh.workspaces = source.report.workspaces;
    }
    return fresh;
}

DemandReport FleetDemand::ownAndPeers(const DemandReport &own, Instant now) const
{
    std::vector<DemandReport> reports {own};
    for (const auto &[name, source] : this->peers) {
        reports.push_back(freshPart(source, now));
    }
    return sumOf(reports);
}

DemandReport FleetDemand::heard(const DemandReport &own, Instant now) const
{
    std::vector<DemandReport> reports {own};
    for (const auto *sources : {&this->peers, &this->zones}) {
        for (const auto &[name, source] : *sources) {
            reports.push_back(freshPart(source, now));
        }
    }
    return sumOf(reports);
}

DemandReport FleetDemand::ofFleet(const DemandReport &own, Instant now) const
{
    DemandReport total = this->heard(own, now);
    if (!this->fleet) {
        return total;
    }
    DemandReport told = freshPart(*this->fleet, now);
    total.waiting = now - this->fleet->waitingAt <= waitingTimeout ? told.waiting : total.waiting;
    if (!told.arrivals.empty() || !told.workspaces.empty()) {
        total.arrivals = std::move(told.arrivals);
        total.workspaces = std::move(told.workspaces);
    }
    return total;
}

std::vector<WaitingCount> FleetDemand::waitingElsewhere(const DemandReport &own, Instant now) const
{
    std::vector<WaitingCount> others = this->ofFleet(own, now).waiting;
    for (WaitingCount &each : others) {
        for (const WaitingCount &mine : own.waiting) {
            if (mine.service == each.service && mine.priority == each.priority) {
                each.requests -= std::min(each.requests, mine.requests);
            }
        }
    }
    std::erase_if(others, [](const WaitingCount &each) { return each.requests == 0; });
    return others;
}

bool FleetDemand::knowsOthers(Instant now) const
{
    const auto knows
        = [now](const auto &entry) { return now - entry.second.ratesAt <= ratesTimeout; };
    return (this->fleet && now - this->fleet->ratesAt <= ratesTimeout)
        || std::any_of(this->peers.begin(), this->peers.end(), knows)
        || std::any_of(this->zones.begin(), this->zones.end(), knows);
}

} // namespace azurespindle::decision
