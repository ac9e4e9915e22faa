#include "serving/zone_relay.h"

#include <algorithm>
#include <utility>

namespace azurespindle::serving {
namespace {

/// Returns the relays among the members of a zone, which are sorted by capacity.
std::vector<std::string> relaysOf(const std::vector<std::string> &names)
{
    std::vector<std::string> relays = names;
    relays.resize(std::min(ZoneRelay::relaysPerZone, names.size()));
    return relays;
}

bool hasPrecedence(const members::MemberRecord &a, const members::MemberRecord &b)
{
    return a.capacity != b.capacity ? a.capacity > b.capacity : a.name < b.name;
}

} // namespace

ZoneRelay::ZoneRelay(std::string self, std::string zone)
    : self(std::move(self)), zone(std::move(zone))
{ }

void ZoneRelay::setMembers(const std::vector<members::MemberRecord> &active, Instant now)
{
    std::vector<const members::MemberRecord *> sorted;
    sorted.reserve(active.size());
    for (const members::MemberRecord &member : active) {
        sorted.push_back(&member);
    }
    std::sort(sorted.begin(), sorted.end(),
              [](const auto *a, const auto *b) { return hasPrecedence(*a, *b); });
    const std::lock_guard lock(this->mutex);
    this->membersByZone.clear();
    this->zoneOfMember.clear();
    this->memberCount = active.size();
    for (const members::MemberRecord *member : sorted) {
        this->membersByZone[member->zone].push_back(member->name);
        this->zoneOfMember[member->name] = member->zone;
        this->zoneLastHeard.try_emplace(member->zone, now);
    }
    std::erase_if(this->relayLastHeard,
                  [this](const auto &entry) { return !this->rankOf(entry.first); });
}

std::optional<std::size_t> ZoneRelay::rankOf(const std::string &member) const
{
    const auto found = this->membersByZone.find(this->zone);
    if (!this->isLarge() || found == this->membersByZone.end()) {
        return std::nullopt;
    }
    const std::vector<std::string> relays = relaysOf(found->second);
    const auto place = std::find(relays.begin(), relays.end(), member);
    return place == relays.end() ? std::nullopt
                                 : std::optional<std::size_t>(place - relays.begin());
}

bool ZoneRelay::hearsRelayBefore(std::size_t rank, Instant now) const
{
    return std::any_of(
        this->relayLastHeard.begin(), this->relayLastHeard.end(), [&](const auto &entry) {
            const auto other = this->rankOf(entry.first);
            return other && *other < rank && now - entry.second < relaySilenceTimeout;
        });
}

void ZoneRelay::recordMemberHeard(const std::string &member, Instant now)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->zoneOfMember.find(member);
    if (found != this->zoneOfMember.end() && !this->isLarge()) {
        this->zoneLastHeard[found->second] = now;
    }
}

void ZoneRelay::recordZoneHeard(const std::string &reportingZone, Instant now)
{
    const std::lock_guard lock(this->mutex);
    this->zoneLastHeard[reportingZone] = now;
}

bool ZoneRelay::recordFleetReport(const std::string &member, std::set<std::string> silentZones,
                                  Instant now)
{
    const std::lock_guard lock(this->mutex);
    const auto rank = this->rankOf(member);
    if (!rank) {
        return false;
    }
    this->relayLastHeard[member] = now;
    if (this->rankOf(this->self) || this->hearsRelayBefore(*rank, now)) {
        return false;
    }
    this->reportedSilentZones = std::move(silentZones);
    return true;
}

bool ZoneRelay::reportsToRelays() const
{
    const std::lock_guard lock(this->mutex);
    return this->isLarge();
}

std::vector<std::string> ZoneRelay::reportRecipients() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> names;
    if (!this->isLarge()) {
        for (const auto &[name, memberZone] : this->zoneOfMember) {
            names.push_back(name);
        }
    } else if (const auto found = this->membersByZone.find(this->zone);
               found != this->membersByZone.end()) {
        names = relaysOf(found->second);
    }
    std::erase(names, this->self);
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
    const std::lock_guard lock(this->mutex);
    return this->rankOf(this->self).has_value();
}

bool ZoneRelay::isActiveRelay(Instant now) const
{
    const std::lock_guard lock(this->mutex);
    const auto rank = this->rankOf(this->self);
    return rank && !this->hearsRelayBefore(*rank, now);
}

std::vector<std::string> ZoneRelay::remoteRelays() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> remote;
    if (!this->rankOf(this->self)) {
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

std::set<std::string> ZoneRelay::silentZones(Instant now) const
{
    const std::lock_guard lock(this->mutex);
    if (this->isLarge() && !this->rankOf(this->self)) {
        return this->reportedSilentZones;
    }
    std::set<std::string> zones;
    for (const auto &[zone, at] : this->zoneLastHeard) {
        if (zone != this->zone && now - at >= zoneSilenceTimeout) {
            zones.insert(zone);
        }
    }
    return zones;
}

} // namespace azurespindle::serving
