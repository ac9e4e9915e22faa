#ifndef AZURESPINDLE_SERVING_ZONE_RELAY_H
#define AZURESPINDLE_SERVING_ZONE_RELAY_H

#include "base/time_types.h"
#include "members/membership.h"

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace azurespindle::serving {

/// Decides to which members a process sends its load reports, and detects zones from which no
/// reports arrive.
///
/// In a fleet of up to maxFullMeshMembers, each process reports to all others. In a larger one each
/// reports to the relays of its zone only, so that what it sends and hears does not grow with the
/// fleet. The relays are the relaysPerZone members with the highest capacity. One of them, the
/// active one, sends the sums of the zone to the relays of other zones and the sums of the fleet to
/// the members of its zone; the next one replaces it when it falls silent. Thread-safe.
class ZoneRelay
{
public:
    /// Largest fleet in which every member reports to every other one.
    static constexpr std::size_t maxFullMeshMembers = 24;
    /// There are two, so that a relay that crashes or hangs does not isolate its zone.
    static constexpr std::size_t relaysPerZone = 2;
    /// A zone from which no report arrived for this long counts as silent.
    static constexpr milliseconds zoneSilenceTimeout {1'200};
    /// A relay from which no report arrived for this long is replaced by the next one.
    static constexpr milliseconds relaySilenceTimeout {350};

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
    /// Records that a relay of this zone sent the totals of the fleet.
    /// \param silentZones the zones that it does not hear.
    /// \return true if they are to be used: no relay with a higher rank has been heard lately.
    bool recordFleetReport(const std::string &member, std::set<std::string> silentZones,
                           Instant now);

    // Queries

    /// Returns true if the fleet is so large that members report to the relays of their zone.
    bool reportsToRelays() const;
    /// Returns the members to which this process sends its own reports.
    std::vector<std::string> reportRecipients() const;
    /// Returns the members of this process's zone, itself included, by falling capacity, those of
    /// equal capacity by name.
    std::vector<std::string> ownZoneMembers() const;
    /// Returns true if this process is a relay of a large fleet.
    bool isRelay() const;
    /// Returns true if this process is the relay of a large fleet that sends totals: no relay with
    /// a higher rank has been heard lately.
    bool isActiveRelay(Instant now) const;
    /// Returns the relays of other zones if this process is a relay of a large fleet, else nothing.
    std::vector<std::string> remoteRelays() const;
    /// Returns the other zones from which no report arrived within zoneSilenceTimeout, or, if this
    /// process does not hear other zones itself, those that its relay does not hear.
    std::set<std::string> silentZones(Instant now) const;

private:
    // All require the lock.
    bool isLarge() const { return this->memberCount > maxFullMeshMembers; }
    /// Returns the rank of a member among the relays of this zone, or nothing if it is no relay.
    std::optional<std::size_t> rankOf(const std::string &member) const;
    /// Returns true if a relay whose rank is higher than \a rank has been heard lately.
    bool hearsRelayBefore(std::size_t rank, Instant now) const;

    const std::string self;
    const std::string zone;
    mutable std::mutex mutex; ///< Guards the members below.
    /// Names by falling capacity, those of equal capacity by name.
    std::map<std::string, std::vector<std::string>> membersByZone;
    std::map<std::string, std::string> zoneOfMember;
    /// When a report of each zone last arrived; initially, when the zone was first known.
    std::map<std::string, Instant> zoneLastHeard;
    std::map<std::string, Instant> relayLastHeard; ///< When a relay last sent totals, by name.
    std::set<std::string> reportedSilentZones;     ///< Those that the relay in use does not hear.
    std::size_t memberCount = 0;
};

} // namespace azurespindle::serving

#endif
