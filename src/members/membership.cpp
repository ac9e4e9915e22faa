#include "members/membership.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace azurespindle::members {
namespace {

std::uint64_t hashOf(const std::string &text, std::uint64_t seed = 0)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t digestOf(const MemberRecord &record)
{
    return hashOf(record.name + "\n" + std::to_string(record.incarnation) + "\n"
                  + name(record.state));
}

bool isActive(MemberState state)
{
    return state == MemberState::Alive || state == MemberState::Suspect;
}

/// Returns the first \a count members that follow \a point on the hash ring of member names, or all
/// if there are fewer.
std::vector<MemberRecord> successors(const std::vector<MemberRecord> &ring, std::uint64_t point,
                                     std::size_t count)
{
    std::vector<MemberRecord> ordered = ring;
    std::sort(ordered.begin(), ordered.end(),
              [point](const MemberRecord &a, const MemberRecord &b) {
                  return hashOf(a.name) - point < hashOf(b.name) - point;
              });
    ordered.resize(std::min(count, ordered.size()));
    return ordered;
}

} // namespace

std::optional<std::size_t> rendezvousIndex(const std::vector<std::string> &names,
                                           const std::string &key)
{
    std::optional<std::size_t> best;
    std::uint64_t bestHash = 0;
    const std::uint64_t seed = hashOf(key);
    for (std::size_t index = 0; index < names.size(); ++index) {
        const std::uint64_t hash = hashOf(names[index], seed);
        if (!best || hash > bestHash) {
            best = index;
            bestHash = hash;
        }
    }
    return best;
}

Membership::Membership(MemberRecord self) : own(std::move(self))
{ }

bool Membership::supersedes(const MemberRecord &received, const MemberRecord &known)
{
    if (received.incarnation != known.incarnation) {
        return received.incarnation > known.incarnation;
    }
    return received.state > known.state;
}

bool Membership::refute(const MemberRecord &record)
{
    const bool ownIsOutdated = record.incarnation > this->own.incarnation;
    const bool reportedFailed
        = record.incarnation == this->own.incarnation && record.state != MemberState::Alive;
    if (this->own.state != MemberState::Alive || !(ownIsOutdated || reportedFailed)) {
        return false;
    }
    this->own.incarnation = record.incarnation + 1;
    this->noteChange();
    this->addEntry(journal::EventId::MemberRefuted, this->own);
    return true;
}

void Membership::addEntry(journal::EventId id, const MemberRecord &record)
{
    this->entries.push_back({id,
                             {{"member", record.name},
                              {"zone", record.zone},
                              {"incarnation", std::to_string(record.incarnation)}}});
}

void Membership::setState(Peer &peer, MemberState state, Instant now)
{
    const bool wasActive = isActive(peer.record.state);
    this->noteChange();
    peer.record.state = state;
    peer.stateSince = now;
    if (state == MemberState::Suspect) {
        this->addEntry(journal::EventId::MemberSuspected, peer.record);
    } else if (wasActive && !isActive(state)) {
        this->addEntry(journal::EventId::MemberRemoved, peer.record);
    } else if (!wasActive && isActive(state)) {
        this->addEntry(journal::EventId::MemberJoined, peer.record);
    }
}

bool Membership::mergeRecord(const MemberRecord &record, Instant now)
{
    const auto found = this->peers.find(record.name);
    if (found == this->peers.end()) {
        if (this->peers.size() >= maxMembers) {
            return false;
        }
        this->noteChange();
        this->peers[record.name] = {record, now, now};
        if (isActive(record.state)) {
            this->addEntry(journal::EventId::MemberJoined, record);
        }
        return true;
    }
    Peer &peer = found->second;
    if (!supersedes(record, peer.record)) {
        return false;
    }
    this->noteChange();
    const MemberState before = peer.record.state;
    peer.record = record;
    peer.record.state = before;
    peer.lastHeard = now;
    if (before != record.state) {
        this->setState(peer, record.state, now);
    }
    return true;
}

std::vector<MemberRecord> Membership::merge(const std::vector<MemberRecord> &records, Instant now)
{
    std::vector<MemberRecord> changed;
    for (const MemberRecord &record : records) {
        if (record.name == this->own.name) {
            if (this->refute(record)) {
                changed.push_back(this->own);
            }
            continue;
        }
        if (this->mergeRecord(record, now)) {
            changed.push_back(record);
        }
    }
    return changed;
}

std::vector<MemberRecord> Membership::markHeard(const std::string &name, std::uint64_t incarnation,
                                                Instant now)
{
    const auto found = this->peers.find(name);
    if (found == this->peers.end() || incarnation < found->second.record.incarnation) {
        return {};
    }
    Peer &peer = found->second;
    peer.lastHeard = now;
    const bool newer = incarnation > peer.record.incarnation;
    if (!newer || peer.record.state == MemberState::Alive) {
        return {};
    }
    peer.record.incarnation = incarnation;
    this->setState(peer, MemberState::Alive, now);
    return {peer.record};
}

std::vector<MemberRecord> Membership::checkTimeouts(Instant now)
{
    std::vector<MemberRecord> changed;
    std::vector<std::string> neighbourNames;
    for (const MemberRecord &neighbour : this->neighbours()) {
        neighbourNames.push_back(neighbour.name);
    }
    for (auto each = this->peers.begin(); each != this->peers.end();) {
        Peer &peer = each->second;
        const MemberState state = peer.record.state;
        const bool isNeighbour
            = std::find(neighbourNames.begin(), neighbourNames.end(), each->first)
            != neighbourNames.end();
        if (state == MemberState::Alive && isNeighbour && now - peer.lastHeard > suspectAfter) {
            this->setState(peer, MemberState::Suspect, now);
            changed.push_back(peer.record);
        } else if (state == MemberState::Suspect && now - peer.stateSince > deadAfter) {
            this->setState(peer, MemberState::Dead, now);
            changed.push_back(peer.record);
        } else if (!isActive(state) && now - peer.stateSince > deadRetention) {
            this->noteChange();
            each = this->peers.erase(each);
            continue;
        }
        ++each;
    }
    return changed;
}

std::vector<MemberRecord> Membership::leave()
{
    this->noteChange();
    this->own.state = MemberState::Left;
    return {this->own};
}

std::vector<journal::Entry> Membership::takeJournalEntries()
{
    return std::exchange(this->entries, {});
}

std::vector<MemberRecord> Membership::records() const
{
    std::vector<MemberRecord> all;
    all.reserve(this->peers.size() + 1);
    const auto ownPlace = this->peers.lower_bound(this->own.name);
    for (auto each = this->peers.begin(); each != this->peers.end(); ++each) {
        if (each == ownPlace) {
            all.push_back(this->own);
        }
        all.push_back(each->second.record);
    }
    if (ownPlace == this->peers.end()) {
        all.push_back(this->own);
    }
    return all;
}

std::vector<MemberRecord> Membership::active() const
{
    std::vector<MemberRecord> activeMembers = this->records();
    activeMembers.erase(
        std::remove_if(activeMembers.begin(), activeMembers.end(),
                       [](const MemberRecord &each) { return !isActive(each.state); }),
        activeMembers.end());
    return activeMembers;
}

std::vector<MemberRecord> Membership::activeInZone(const std::string &zone) const
{
    std::vector<MemberRecord> all = this->active();
    std::vector<MemberRecord> inside;
    std::copy_if(all.begin(), all.end(), std::back_inserter(inside),
                 [&](const MemberRecord &each) { return each.zone == zone; });
    return inside.empty() ? all : inside;
}

std::optional<MemberRecord> Membership::find(const std::string &name) const
{
    if (name == this->own.name) {
        return this->own;
    }
    const auto found = this->peers.find(name);
    if (found == this->peers.end()) {
        return std::nullopt;
    }
    return found->second.record;
}

void Membership::noteChange()
{
    this->changes += 1;
    this->knownDigest.reset();
    this->knownNeighbours.reset();
}

const std::vector<MemberRecord> &Membership::neighbours() const
{
    if (!this->knownNeighbours) {
        this->knownNeighbours = this->chooseNeighbours();
    }
    return *this->knownNeighbours;
}

std::vector<MemberRecord> Membership::chooseNeighbours() const
{
    std::vector<MemberRecord> sameZone;
    std::vector<MemberRecord> all;
    for (const auto &[name, peer] : this->peers) {
        if (!isActive(peer.record.state)) {
            continue;
        }
        all.push_back(peer.record);
        if (peer.record.zone == this->own.zone) {
            sameZone.push_back(peer.record);
        }
    }
    std::vector<MemberRecord> chosen
        = successors(sameZone, hashOf(this->own.name), sameZoneNeighbours);
    // Neighbours in the whole fleet are chosen by rendezvous hashing: on the hash ring, a member
    // that follows a wide gap would be the successor of very many others.
    std::vector<std::string> names;
    names.reserve(all.size());
    for (const MemberRecord &each : all) {
        names.push_back(each.name);
    }
    for (std::size_t number = 1; number <= anyZoneNeighbours; ++number) {
        const auto selected = rendezvousIndex(names, this->own.name + "#" + std::to_string(number));
        if (!selected) {
            break;
        }
        const bool isChosen
            = std::find(chosen.begin(), chosen.end(), all[*selected]) != chosen.end();
        if (!isChosen) {
            chosen.push_back(all[*selected]);
        }
    }
    return chosen;
}

std::optional<MemberRecord> Membership::deadMemberToRetry(std::uint64_t turn) const
{
    std::vector<MemberRecord> dead;
    for (const auto &[name, peer] : this->peers) {
        if (peer.record.state == MemberState::Dead) {
            dead.push_back(peer.record);
        }
    }
    if (dead.empty()) {
        return std::nullopt;
    }
    return dead[turn % dead.size()];
}

microseconds Membership::sinceLastHeard(const std::string &name, Instant now) const
{
    const auto found = this->peers.find(name);
    return found == this->peers.end() ? microseconds::max() : now - found->second.lastHeard;
}

std::uint64_t Membership::digest() const
{
    if (!this->knownDigest) {
        std::uint64_t digest = digestOf(this->own);
        for (const auto &[name, peer] : this->peers) {
            digest ^= digestOf(peer.record);
        }
        this->knownDigest = digest;
    }
    return *this->knownDigest;
}

} // namespace azurespindle::members
