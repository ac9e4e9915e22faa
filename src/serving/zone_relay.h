#ifndef AZURESPINDLE_SERVING_ZONE_RELAY_H
#define AZURESPINDLE_SERVING_ZONE_RELAY_H

#include "base/time_types.h"
#include "members/membership.h"

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace azurespindle::serving {

/// Decides to which members a process sends its load reports, and detects zones from which no
/// reports arrive.
///
/// In a fleet of up to maxFullMeshMembers, each process reports to all others. In a larger one each
/// reports to its own zone only, and the relays of a zone, its first relaysPerZone members by name,
/// send the zone's totals to the relays of all other zones, which forward them within their own.
/// Thread-safe.
class ZoneRelay
{
public:
    /// Largest fleet in which every member reports to every other one.
    static constexpr std::size_t maxFullMeshMembers = 24;
    /// There are two, so that a relay that crashes or hangs does not isolate its zone.
    static constexpr std::size_t relaysPerZone = 2;
    /// A zone from which no report arrived for this long counts as silent.
    static constexpr milliseconds zoneSilenceTimeout {1'200};

    /// \param self name of this process.
    /// \param zone availability zone of this process.
    ZoneRelay(std::string self, std::string zone);

    // Commands

    /// Sets the active members of the fleet, this process included.
    void setMembers(const std::vector<members::MemberRecord> &active, Instant now);
    /// Records that a report of a member arrived. Ignored in a fleet of more than
    /// maxFullMeshMembers, whose zones are heard through their totals.
    void recordMemberHeard(const std::string &member, Instant now);
    /// Records that the totals of a zone arrived.
    void recordZoneHeard(const std::string &zone, Instant now);

    // Queries

    /// Returns the members to which this process sends its own reports.
    std::vector<std::string> reportRecipients() const;
    /// Returns the members of this process's zone, itself included, sorted by name.
    std::vector<std::string> ownZoneMembers() const;
    /// Returns the relays of other zones if this process is a relay of a large fleet, else nothing.
    std::vector<std::string> remoteRelays() const;
    /// Returns true if the zone totals that \a member sends are to be forwarded within this
    /// process's zone, which is the case if the member is of another zone.
    bool forwardsFrom(const std::string &member) const;
    /// Returns the other zones from which no report arrived within zoneSilenceTimeout.
    std::set<std::string> silentZones(Instant now) const;

private:
    /// Requires the lock.
    bool isRelay() const;

    const std::string self;
    const std::string zone;
    mutable std::mutex mutex;                                      ///< Guards the members below.
    std::map<std::string, std::vector<std::string>> membersByZone; ///< Names, sorted.
    std::map<std::string, std::string> zoneOfMember;
    /// When a report of each zone last arrived; initially, when the zone was first known.
    std::map<std::string, Instant> zoneLastHeard;
    std::size_t memberCount = 0;
};

} // namespace azurespindle::serving

#endif
