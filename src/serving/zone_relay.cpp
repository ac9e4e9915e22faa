#include "serving/zone_relay.h"

#include <algorithm>
#include <utility>

namespace azurespindle::serving {
namespace {

/// Returns the members of a zone that speak for it.
std::vector<std::string> firstOf(const std::vector<std::string> &names)
{
    std::vector<std::string> relays = names;
    relays.resize(std::min(ZoneRelay::relaysEach, names.size()));
    return relays;
}

} // namespace

ZoneRelay::ZoneRelay(std::string self, std::string zone)
    : self(std::move(self)), zone(std::move(zone))
{ }

void ZoneRelay::setMembers(const std::vector<members::MemberRecord> &active, Instant now)
{
    const std::lock_guard lock(this->mutex);
    this->namesOfZone.clear();
    this->zoneOfMember.clear();
    this->count = active.size();
    for (const members::MemberRecord &member : active) {
        this->namesOfZone[member.zone].push_back(member.name);
        this->zoneOfMember[member.name] = member.zone;
        this->heard.try_emplace(member.zone, now);
    }
    for (auto &[name, names] : this->namesOfZone) {
        std::sort(names.begin(), names.end());
    }
}

void ZoneRelay::noteMember(const std::string &member, Instant now)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->zoneOfMember.find(member);
    if (found != this->zoneOfMember.end() && this->count <= tellAllMembers) {
        this->heard[found->second] = now;
    }
}

void ZoneRelay::noteZone(const std::string &from, Instant now)
{
    const std::lock_guard lock(this->mutex);
    this->heard[from] = now;
}

std::vector<std::string> ZoneRelay::listeners() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> names;
    for (const auto &[name, zone] : this->zoneOfMember) {
        const bool near = this->count <= tellAllMembers || zone == this->zone;
        if (near && name != this->self) {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<std::string> ZoneRelay::zoneMembers() const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->namesOfZone.find(this->zone);
    return found == this->namesOfZone.end() ? std::vector<std::string> {} : found->second;
}

bool ZoneRelay::relays() const
{
    const auto found = this->namesOfZone.find(this->zone);
    if (this->count <= tellAllMembers || found == this->namesOfZone.end()) {
        return false;
    }
    const std::vector<std::string> relays = firstOf(found->second);
    return std::find(relays.begin(), relays.end(), this->self) != relays.end();
}

std::vector<std::string> ZoneRelay::farRelays() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> far;
    if (!this->relays()) {
        return far;
    }
    for (const auto &[zone, names] : this->namesOfZone) {
        if (zone != this->zone) {
            const std::vector<std::string> relays = firstOf(names);
            far.insert(far.end(), relays.begin(), relays.end());
        }
    }
    return far;
}

bool ZoneRelay::passesOn(const std::string &member) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->zoneOfMember.find(member);
    return found != this->zoneOfMember.end() && found->second != this->zone;
}

std::set<std::string> ZoneRelay::unheardZones(Instant now) const
{
    const std::lock_guard lock(this->mutex);
    std::set<std::string> zones;
    for (const auto &[zone, at] : this->heard) {
        if (zone != this->zone && now - at >= silence) {
            zones.insert(zone);
        }
    }
    return zones;
}

} // namespace azurespindle::serving
