#ifndef AZURESPINDLE_SERVING_FLEET_REPORTER_H
#define AZURESPINDLE_SERVING_FLEET_REPORTER_H

#include "decision/claim_differences.h"
#include "members/messages.h"
#include "serving/request_forwarder.h"
#include "serving/view_synchronizer.h"
#include "serving/zone_relay.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace azurespindle::serving {

/// Callbacks of FleetReporter to the process that owns it.
struct FleetReporterHooks
{
    std::function<void(const std::string &member, const members::Message &message)> send;
    /// Sends a message to several members, which encodes it once.
    std::function<void(const std::vector<std::string> &members, const members::Message &message)>
        sendToAll;
};

/// Tells the other members of the fleet what this process does, and takes in what they tell.
///
/// In a small fleet all members report to all. In a large one each reports to the relays of its
/// zone; the active relay adds the reports up, exchanges the sums with the relays of other zones,
/// and tells the members of its zone the sums of the fleet. A member thus sends and hears as much
/// in any fleet; only the relays pay for the size of their zone and the number of zones.
/// Thread-safe.
class FleetReporter
{
public:
    /// Interval of tick().
    static constexpr milliseconds tickInterval {200};
    /// Interval of reportChanges().
    static constexpr milliseconds changeInterval {100};
    /// Interval of reportTotals().
    static constexpr milliseconds totalsInterval {100};
    /// Notices of placements that a member of a large fleet receives a second at most.
    static constexpr double maxNoticesPerSecond = 64.0;

    /// \param self name of this process.
    /// \param zone availability zone of this process.
    FleetReporter(std::string self, std::string zone, RequestForwarder &forwarder,
                  ViewSynchronizer &view, ZoneRelay &relay, FleetReporterHooks hooks);

    // Commands

    /// Reports what is due at regular intervals.
    void tick();
    /// Reports claims that changed, if any.
    void reportChanges();
    /// Reports a new claim at once, because two processes may choose the same engine while one does
    /// not know the other's claim.
    void reportPlacement();
    /// Sends totals, if this process is the active relay of a large fleet.
    void reportTotals();
    void handle(const std::string &from, const members::RouterReport &report);
    void handle(const std::string &from, const members::ZoneReport &report);
    void handle(const std::string &from, const members::FleetReport &report);
    void handle(const std::string &from, const members::ViewStatus &status);
    void handle(const members::PlacementNotice &notice);

private:
    /// What a relay knows of the reports of one member of its zone.
    struct ReportingMember
    {
        std::uint64_t lastReport = 0; ///< Number of the last report; 0 before a complete one.
        Instant heardAt;
    };

    /// Announces placements to the zone of a large fleet, as often as its size permits. Requires
    /// reportMutex.
    void announcePlacements(Instant now);
    /// Sends the claims that changed. Requires reportMutex.
    void sendChanges();
    /// \param full reports all claims, not just \a changed. Requires reportMutex.
    void sendReport(bool full, std::vector<decision::UpstreamClaim> changed,
                    std::vector<routing::UpstreamObservation> observations);
    void reportViewStatus();
    void reportToOtherZones();
    void reportToOwnZone(bool tellsCounts);
    std::uint64_t acknowledgedReport(const std::string &member, Instant now);

    const std::string self;
    const std::string zone;
    RequestForwarder &forwarder;
    ViewSynchronizer &view;
    ZoneRelay &relay;
    const FleetReporterHooks hooks;

    /// Held from collecting changes until they are sent, so that reports arrive in order.
    std::mutex reportMutex;
    std::uint64_t reportNumber = 0; ///< Number of the last report; guarded by reportMutex.
    /// Notices that may be sent now, and when that was worked out; guarded by reportMutex.
    double savedNotices = 0.0;
    Instant noticesSavedAt;

    // Used by the timers' thread only.
    std::uint64_t ticks = 0;
    std::uint64_t totalsTicks = 0;
    bool toldReading = false; ///< Whether the zone was last told that this process reads the store.
    bool wasActiveRelay = false;
    decision::ClaimDifferences zoneClaims;
    decision::ClaimDifferences fleetClaims;

    std::mutex membersMutex; ///< Guards the members below.
    std::map<std::string, ReportingMember> reportingMembers;
    std::set<std::string> informedMembers; ///< Members that were told all claims once.
};

} // namespace azurespindle::serving

#endif
