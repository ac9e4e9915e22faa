#include "serving/zone_relay.h"

#include <algorithm>
#include <utility>

namespace azurespindle::serving {
namespace {

/// Returns the relays among the members of a zone, which are sorted by name.
std::vector<std::string> relaysOf(const std::vector<std::string> &names)
{
    std::vector<std::string> relays = names;
    relays.resize(std::min(ZoneRelay::relaysPerZone, names.size()));
    return relays;
}

} // namespace

ZoneRelay::ZoneRelay(std::string self, std::string zone)
    : self(std::move(self)), zone(std::move(zone))
{ }

void ZoneRelay::setMembers(const std::vector<members::MemberRecord> &active, Instant now)
{
    const std::lock_guard lock(this->mutex);
    this->membersByZone.clear();
    this->zoneOfMember.clear();
    this->memberCount = active.size();
    for (const members::MemberRecord &member : active) {
        this->membersByZone[member.zone].push_back(member.name);
        this->zoneOfMember[member.name] = member.zone;
        this->zoneLastHeard.try_emplace(member.zone, now);
    }
    for (auto &[name, names] : this->membersByZone) {
        std::sort(names.begin(), names.end());
    }
}

void ZoneRelay::recordMemberHeard(const std::string &member, Instant now)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->zoneOfMember.find(member);
    if (found != this->zoneOfMember.end() && this->memberCount <= maxFullMeshMembers) {
        this->zoneLastHeard[found->second] = now;
    }
}

void ZoneRelay::recordZoneHeard(const std::string &reportingZone, Instant now)
{
    const std::lock_guard lock(this->mutex);
    this->zoneLastHeard[reportingZone] = now;
}

std::vector<std::string> ZoneRelay::reportRecipients() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> names;
    for (const auto &[name, zone] : this->zoneOfMember) {
        const bool receives = this->memberCount <= maxFullMeshMembers || zone == this->zone;
        if (receives && name != this->self) {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<std::string> ZoneRelay::ownZoneMembers() const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->membersByZone.find(this->zone);
    return found == this->membersByZone.end() ? std::vector<std::string> {} : found->second;
}

bool ZoneRelay::isRelay() const
{
    const auto found = this->membersByZone.find(this->zone);
    if (this->memberCount <= maxFullMeshMembers || found == this->membersByZone.end()) {
        return false;
    }
    const std::vector<std::string> relays = relaysOf(found->second);
    return std::find(relays.begin(), relays.end(), this->self) != relays.end();
}

std::vector<std::string> ZoneRelay::remoteRelays() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> remote;
    if (!this->isRelay()) {
        return remote;
    }
    for (const auto &[zone, names] : this->membersByZone) {
        if (zone != this->zone) {
            const std::vector<std::string> relays = relaysOf(names);
            remote.insert(remote.end(), relays.begin(), relays.end());
        }
    }
    return remote;
}

bool ZoneRelay::forwardsFrom(const std::string &member) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->zoneOfMember.find(member);
    return found != this->zoneOfMember.end() && found->second != this->zone;
}

std::set<std::string> ZoneRelay::silentZones(Instant now) const
{
    const std::lock_guard lock(this->mutex);
    std::set<std::string> zones;
    for (const auto &[zone, at] : this->zoneLastHeard) {
        if (zone != this->zone && now - at >= zoneSilenceTimeout) {
            zones.insert(zone);
        }
    }
    return zones;
}

} // namespace azurespindle::serving
