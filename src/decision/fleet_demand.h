#ifndef AZURESPINDLE_DECISION_FLEET_DEMAND_H
#define AZURESPINDLE_DECISION_FLEET_DEMAND_H

#include "base/time_types.h"
#include "decision/demand_report.h"

#include <map>
#include <optional>
#include <string>

namespace azurespindle::decision {

/// What the callers of the other processes demand, as their reports and the relays' totals tell.
///
/// What waits elsewhere is out of date within a second, and then ignored. Rates of arrival and the
/// use of workspaces change more slowly, and are not told in each report.
class FleetDemand
{
public:
    static constexpr milliseconds waitingTimeout {1'000};
    static constexpr milliseconds ratesTimeout {3'000};

    // Commands

    void updatePeer(const std::string &peer, const DemandReport &report, Instant now);
    /// Records the total of another zone.
    void updateZone(const std::string &zone, const DemandReport &report, Instant now);
    /// Records the total of the whole fleet, this process included.
    void updateFleet(const DemandReport &report, Instant now);
    /// Drops reports of sources that were silent for longer than ratesTimeout.
    void removeSilent(Instant now);

    // Queries

    /// Returns the total of this process and its peers, without other zones.
    DemandReport ownAndPeers(const DemandReport &own, Instant now) const;
    /// Returns the total of all processes of which this one hears itself, its own included.
    DemandReport heard(const DemandReport &own, Instant now) const;
    /// Returns the best estimate for the whole fleet: the relays' totals, or what is heard.
    DemandReport ofFleet(const DemandReport &own, Instant now) const;
    /// Returns what waits at other processes. Entries of totals may still include requests of this
    /// process, as many as it has now are subtracted.
    std::vector<WaitingCount> waitingElsewhere(const DemandReport &own, Instant now) const;
    /// Returns true if rates of other processes are known.
    bool knowsOthers(Instant now) const;
    std::size_t sources() const { return this->peers.size() + this->zones.size(); }

private:
    /// The parts of a source's last reports, each with its time.
    struct Source
    {
        Instant waitingAt;
        Instant ratesAt;
        DemandReport report;
    };

    static void update(Source &source, const DemandReport &report, Instant now);
    /// Returns the parts of a report that are recent enough.
    static DemandReport freshPart(const Source &source, Instant now);

    std::map<std::string, Source> peers;
    std::map<std::string, Source> zones;
    std::optional<Source> fleet;
};

} // namespace azurespindle::decision

#endif
