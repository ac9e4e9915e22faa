#include "decision/load_table.h"

#include <algorithm>
#include <utility>

namespace azurespindle::decision {
namespace {

std::uint32_t less(std::uint32_t from, std::uint32_t taken)
{
    return from > taken ? from - taken : 0;
}

} // namespace

Claim &Claim::operator+=(const Claim &other)
{
    this->attempts += other.attempts;
    this->memory += other.memory;
    this->prefill += other.prefill;
    return *this;
}

Claim &Claim::operator-=(const Claim &other)
{
    this->attempts = less(this->attempts, other.attempts);
    this->memory = less(this->memory, other.memory);
    this->prefill = less(this->prefill, other.prefill);
    return *this;
}

void LoadTable::add(const std::string &upstream, const Claim &claim)
{
    this->mine[upstream] += claim;
    this->changed[upstream] = true;
}

void LoadTable::subtract(const std::string &upstream, const Claim &claim)
{
    const auto found = this->mine.find(upstream);
    if (found == this->mine.end()) {
        return;
    }
    found->second -= claim;
    this->changed[upstream] = true;
    if (found->second == Claim {}) {
        this->mine.erase(found);
    }
}

void LoadTable::tell(const std::string &peer, const std::vector<UpstreamClaim> &claims, bool whole,
                     Instant now)
{
    Peer &told = this->peers[peer];
    told.heard = now;
    if (whole) {
        told.claims.clear();
    }
    for (const UpstreamClaim &each : claims) {
        if (each.claim == Claim {}) {
            told.claims.erase(each.upstream);
        } else {
            told.claims[each.upstream] = each.claim;
        }
    }
}

void LoadTable::tellZone(const std::string &zone, const std::vector<UpstreamClaim> &claims,
                         Instant now)
{
    Peer &told = this->zones[zone];
    told.heard = now;
    told.claims.clear();
    for (const UpstreamClaim &each : claims) {
        told.claims[each.upstream] = each.claim;
    }
}

void LoadTable::forgetSilent(Instant now)
{
    const auto silent = [now](const auto &entry) { return now - entry.second.heard > peerMemory; };
    std::erase_if(this->peers, silent);
    std::erase_if(this->zones, silent);
}

std::vector<UpstreamClaim> LoadTable::takeChanged()
{
    std::vector<UpstreamClaim> claims;
    for (const auto &[upstream, unused] : std::exchange(this->changed, {})) {
        claims.push_back({upstream, this->own(upstream)});
    }
    return claims;
}

Claim LoadTable::total(const std::string &upstream) const
{
    Claim sum = this->own(upstream);
    for (const auto *told : {&this->peers, &this->zones}) {
        for (const auto &[name, peer] : *told) {
            const auto found = peer.claims.find(upstream);
            if (found != peer.claims.end()) {
                sum += found->second;
            }
        }
    }
    return sum;
}

Claim LoadTable::own(const std::string &upstream) const
{
    const auto found = this->mine.find(upstream);
    return found == this->mine.end() ? Claim {} : found->second;
}

std::vector<UpstreamClaim> LoadTable::allOwn() const
{
    std::vector<UpstreamClaim> claims;
    for (const auto &[upstream, claim] : this->mine) {
        claims.push_back({upstream, claim});
    }
    return claims;
}

std::vector<UpstreamClaim> LoadTable::ownAndPeers() const
{
    std::map<std::string, Claim> sums(this->mine.begin(), this->mine.end());
    for (const auto &[name, peer] : this->peers) {
        for (const auto &[upstream, claim] : peer.claims) {
            sums[upstream] += claim;
        }
    }
    std::vector<UpstreamClaim> claims;
    claims.reserve(sums.size());
    for (const auto &[upstream, claim] : sums) {
        claims.push_back({upstream, claim});
    }
    return claims;
}

} // namespace azurespindle::decision
