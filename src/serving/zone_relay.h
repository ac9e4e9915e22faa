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

/// Decides who tells whom what is under way, and knows which zones are heard.
///
/// Answers for fleets in which not every process can tell every other one: up to
/// ZoneRelay::tellAllMembers each tells all. In a larger one each tells its own zone, and the first
/// two members of a zone, by name, pass on the zone's sums to the first two of every other zone,
/// which pass them on to theirs. Two, so that one that dies or freezes leaves no zone deaf.
class ZoneRelay
{
public:
    /// Fleets up to this size tell every member what each has under way.
    static constexpr std::size_t maxFullMeshMembers = 24;
    static constexpr std::size_t relaysPerZone = 2;
    /// A zone of which nothing came for so long is unheard.
    static constexpr milliseconds zoneSilenceTimeout {1'200};

    /// \param self name of this process.
    /// \param zone its availability zone.
    ZoneRelay(std::string self, std::string zone);

    // Commands

    /// Takes over who takes part in the fleet.
    void setMembers(const std::vector<members::MemberRecord> &active, Instant now);
    /// Notes that something came from a process of this name.
    void recordMemberHeard(const std::string &member, Instant now);
    /// Notes that a zone's sums came.
    void recordZoneHeard(const std::string &zone, Instant now);

    // Queries

    /// Returns the members that this process tells itself what it has under way.
    std::vector<std::string> reportRecipients() const;
    /// Returns the members of the own zone, this one included, in order of names.
    std::vector<std::string> ownZoneMembers() const;
    /// Returns the relays of other zones, if this process is a relay that has to tell them.
    std::vector<std::string> remoteRelays() const;
    /// Returns true if what \a member says of its zone is to be passed on in the own zone.
    bool forwardsFrom(const std::string &member) const;
    /// Returns the zones of other processes of which nothing has been heard lately.
    std::set<std::string> silentZones(Instant now) const;

private:
    bool isRelay() const;

    const std::string self;
    const std::string zone;
    mutable std::mutex mutex;                                      ///< Guards the members below.
    std::map<std::string, std::vector<std::string>> membersByZone; ///< In order of names.
    std::map<std::string, std::string> zoneOfMember;
    std::map<std::string, Instant>
        zoneLastHeard; ///< By zone; at first when the zone came to be known.
    std::size_t memberCount = 0;
};

} // namespace azurespindle::serving

#endif
