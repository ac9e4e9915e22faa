#include "decision/load_table.h"

#include <algorithm>
#include <utility>

namespace azurespindle::decision {
namespace {

std::uint32_t saturatingSubtract(std::uint32_t from, std::uint32_t taken)
{
    return from > taken ? from - taken : 0;
}

} // namespace

ResourceClaim &ResourceClaim::operator+=(const ResourceClaim &other)
{
    this->attempts += other.attempts;
    this->memory += other.memory;
    this->prefill += other.prefill;
    return *this;
}

ResourceClaim &ResourceClaim::operator-=(const ResourceClaim &other)
{
    this->attempts = saturatingSubtract(this->attempts, other.attempts);
    this->memory = saturatingSubtract(this->memory, other.memory);
    this->prefill = saturatingSubtract(this->prefill, other.prefill);
    return *this;
}

void LoadTable::add(const std::string &upstream, const ResourceClaim &claim)
{
    this->localClaims[upstream] += claim;
    this->changed[upstream] = true;
}

void LoadTable::subtract(const std::string &upstream, const ResourceClaim &claim)
{
    const auto found = this->localClaims.find(upstream);
    if (found == this->localClaims.end()) {
        return;
    }
    found->second -= claim;
    this->changed[upstream] = true;
    if (found->second == ResourceClaim {}) {
        this->localClaims.erase(found);
    }
}

void LoadTable::updatePeer(const std::string &peer, const std::vector<UpstreamClaim> &claims,
                           bool complete, Instant now)
{
    Report &report = this->peers[peer];
    report.receivedAt = now;
    if (complete) {
        report.claims.clear();
    }
    for (const UpstreamClaim &each : claims) {
        if (each.claim == ResourceClaim {}) {
            report.claims.erase(each.upstream);
        } else {
            report.claims[each.upstream] = each.claim;
        }
    }
}

void LoadTable::updateZone(const std::string &zone, const std::vector<UpstreamClaim> &claims,
                           Instant now)
{
    Report &report = this->zones[zone];
    report.receivedAt = now;
    report.claims.clear();
    for (const UpstreamClaim &each : claims) {
        report.claims[each.upstream] = each.claim;
    }
}

void LoadTable::removeSilent(Instant now)
{
    const auto silent
        = [now](const auto &entry) { return now - entry.second.receivedAt > reportTimeout; };
    std::erase_if(this->peers, silent);
    std::erase_if(this->zones, silent);
}

std::vector<UpstreamClaim> LoadTable::takeChanged()
{
    std::vector<UpstreamClaim> claims;
    for (const auto &[upstream, unused] : std::exchange(this->changed, {})) {
        claims.push_back({upstream, this->ownClaim(upstream)});
    }
    return claims;
}

ResourceClaim LoadTable::totalClaim(const std::string &upstream) const
{
    ResourceClaim sum = this->ownClaim(upstream);
    for (const auto *reports : {&this->peers, &this->zones}) {
        for (const auto &[name, report] : *reports) {
            const auto found = report.claims.find(upstream);
            if (found != report.claims.end()) {
                sum += found->second;
            }
        }
    }
    return sum;
}

ResourceClaim LoadTable::ownClaim(const std::string &upstream) const
{
    const auto found = this->localClaims.find(upstream);
    return found == this->localClaims.end() ? ResourceClaim {} : found->second;
}

std::vector<UpstreamClaim> LoadTable::ownClaims() const
{
    std::vector<UpstreamClaim> claims;
    for (const auto &[upstream, claim] : this->localClaims) {
        claims.push_back({upstream, claim});
    }
    return claims;
}

std::vector<UpstreamClaim> LoadTable::ownAndPeerClaims() const
{
    std::map<std::string, ResourceClaim> sums(this->localClaims.begin(), this->localClaims.end());
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
