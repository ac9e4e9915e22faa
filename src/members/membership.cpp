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

bool takesPart(MemberState state)
{
    return state == MemberState::Alive || state == MemberState::Suspect;
}

/// Returns the \a count members that follow \a point on the ring of hashes.
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

bool Membership::supersedes(const MemberRecord &news, const MemberRecord &known)
{
    if (news.incarnation != known.incarnation) {
        return news.incarnation > known.incarnation;
    }
    return news.state > known.state;
}

bool Membership::refute(const MemberRecord &record)
{
    const bool older = record.incarnation > this->own.incarnation;
    const bool accused
        = record.incarnation == this->own.incarnation && record.state != MemberState::Alive;
    if (this->own.state != MemberState::Alive || !(older || accused)) {
        return false;
    }
    this->own.incarnation = record.incarnation + 1;
    this->note(journal::EventId::MemberRefuted, this->own);
    return true;
}

void Membership::note(journal::EventId id, const MemberRecord &record)
{
    this->entries.push_back({id,
                             {{"member", record.name},
                              {"zone", record.zone},
                              {"incarnation", std::to_string(record.incarnation)}}});
}

void Membership::set(Known &known, MemberState state, Instant now)
{
    const bool part = takesPart(known.record.state);
    known.record.state = state;
    known.since = now;
    if (state == MemberState::Suspect) {
        this->note(journal::EventId::MemberSuspected, known.record);
    } else if (part && !takesPart(state)) {
        this->note(journal::EventId::MemberRemoved, known.record);
    } else if (!part && takesPart(state)) {
        this->note(journal::EventId::MemberJoined, known.record);
    }
}

bool Membership::mergeRecord(const MemberRecord &record, Instant now)
{
    const auto found = this->others.find(record.name);
    if (found == this->others.end()) {
        if (this->others.size() >= maxMembers) {
            return false;
        }
        this->others[record.name] = {record, now, now};
        if (takesPart(record.state)) {
            this->note(journal::EventId::MemberJoined, record);
        }
        return true;
    }
    Known &known = found->second;
    if (!supersedes(record, known.record)) {
        return false;
    }
    const MemberState before = known.record.state;
    known.record = record;
    known.record.state = before;
    known.heard = now;
    if (before != record.state) {
        this->set(known, record.state, now);
    }
    return true;
}

std::vector<MemberRecord> Membership::merge(const std::vector<MemberRecord> &records, Instant now)
{
    std::vector<MemberRecord> news;
    for (const MemberRecord &record : records) {
        if (record.name == this->own.name) {
            if (this->refute(record)) {
                news.push_back(this->own);
            }
            continue;
        }
        if (this->mergeRecord(record, now)) {
            news.push_back(record);
        }
    }
    return news;
}

std::vector<MemberRecord> Membership::markHeard(const std::string &name, std::uint64_t incarnation,
                                                Instant now)
{
    const auto found = this->others.find(name);
    if (found == this->others.end() || incarnation < found->second.record.incarnation) {
        return {};
    }
    Known &known = found->second;
    known.heard = now;
    const bool newer = incarnation > known.record.incarnation;
    if (!newer || known.record.state == MemberState::Alive) {
        return {};
    }
    known.record.incarnation = incarnation;
    this->set(known, MemberState::Alive, now);
    return {known.record};
}

std::vector<MemberRecord> Membership::checkTimeouts(Instant now)
{
    std::vector<MemberRecord> news;
    std::vector<std::string> linked;
    for (const MemberRecord &neighbour : this->neighbours()) {
        linked.push_back(neighbour.name);
    }
    for (auto each = this->others.begin(); each != this->others.end();) {
        Known &known = each->second;
        const MemberState state = known.record.state;
        const bool watched = std::find(linked.begin(), linked.end(), each->first) != linked.end();
        if (state == MemberState::Alive && watched && now - known.heard > suspectAfter) {
            this->set(known, MemberState::Suspect, now);
            news.push_back(known.record);
        } else if (state == MemberState::Suspect && now - known.since > deadAfter) {
            this->set(known, MemberState::Dead, now);
            news.push_back(known.record);
        } else if (!takesPart(state) && now - known.since > deadRetention) {
            each = this->others.erase(each);
            continue;
        }
        ++each;
    }
    return news;
}

std::vector<MemberRecord> Membership::leave()
{
    this->own.state = MemberState::Left;
    return {this->own};
}

std::vector<journal::Entry> Membership::takeJournalEntries()
{
    return std::exchange(this->entries, {});
}

std::vector<MemberRecord> Membership::records() const
{
    std::vector<MemberRecord> all {this->own};
    for (const auto &[name, known] : this->others) {
        all.push_back(known.record);
    }
    std::sort(all.begin(), all.end(),
              [](const MemberRecord &a, const MemberRecord &b) { return a.name < b.name; });
    return all;
}

std::vector<MemberRecord> Membership::active() const
{
    std::vector<MemberRecord> taking = this->records();
    taking.erase(std::remove_if(taking.begin(), taking.end(),
                                [](const MemberRecord &each) { return !takesPart(each.state); }),
                 taking.end());
    return taking;
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
    const auto found = this->others.find(name);
    if (found == this->others.end()) {
        return std::nullopt;
    }
    return found->second.record;
}

std::vector<MemberRecord> Membership::neighbours() const
{
    std::vector<MemberRecord> zone;
    std::vector<MemberRecord> all;
    for (const auto &[name, known] : this->others) {
        if (!takesPart(known.record.state)) {
            continue;
        }
        all.push_back(known.record);
        if (known.record.zone == this->own.zone) {
            zone.push_back(known.record);
        }
    }
    std::vector<MemberRecord> chosen = successors(zone, hashOf(this->own.name), sameZoneNeighbours);
    // Far ones by rendezvous rather than on the ring: a member that stands behind a wide gap of
    // the ring would be chosen by very many.
    std::vector<std::string> names;
    names.reserve(all.size());
    for (const MemberRecord &each : all) {
        names.push_back(each.name);
    }
    for (std::size_t number = 1; number <= anyZoneNeighbours; ++number) {
        const auto far = rendezvousIndex(names, this->own.name + "#" + std::to_string(number));
        if (!far) {
            break;
        }
        const bool known = std::find(chosen.begin(), chosen.end(), all[*far]) != chosen.end();
        if (!known) {
            chosen.push_back(all[*far]);
        }
    }
    return chosen;
}

std::optional<MemberRecord> Membership::deadMemberToRetry(std::uint64_t turn) const
{
    std::vector<MemberRecord> dead;
    for (const auto &[name, known] : this->others) {
        if (known.record.state == MemberState::Dead) {
            dead.push_back(known.record);
        }
    }
    if (dead.empty()) {
        return std::nullopt;
    }
    return dead[turn % dead.size()];
}

microseconds Membership::sinceLastHeard(const std::string &name, Instant now) const
{
    const auto found = this->others.find(name);
    return found == this->others.end() ? microseconds::max() : now - found->second.heard;
}

std::uint64_t Membership::digest() const
{
    std::uint64_t digest = 0;
    for (const MemberRecord &record : this->records()) {
        const std::string text
            = record.name + "\n" + std::to_string(record.incarnation) + "\n" + name(record.state);
        digest ^= hashOf(text);
    }
    return digest;
}

} // namespace azurespindle::members
