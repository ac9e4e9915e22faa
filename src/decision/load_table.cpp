#include "decision/load_table.h"

#include <algorithm>
#include <utility>

namespace azurespindle::decision {
namespace {

std::uint32_t saturatingSubtract(std::uint32_t from, std::uint32_t taken)
{
    return from > taken ? from - taken : 0;
}

std::vector<UpstreamClaim> toList(const std::map<std::string, ResourceClaim> &sums)
{
    std::vector<UpstreamClaim> claims;
    claims.reserve(sums.size());
    for (const auto &[upstream, claim] : sums) {
        claims.push_back({upstream, claim});
    }
    return claims;
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
    apply(claims, complete, report);
}

void LoadTable::apply(const std::vector<UpstreamClaim> &claims, bool complete, Report &report)
{
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
                           bool complete, Instant now)
{
    Report &report = this->zones[zone];
    report.receivedAt = now;
    apply(claims, complete, report);
}

void LoadTable::updateFleet(const std::vector<UpstreamClaim> &claims, bool complete,
                            std::uint64_t acknowledged, Instant now)
{
    this->fleet.receivedAt = now;
    this->acknowledgedReport = acknowledged;
    apply(claims, complete, this->fleet);
    this->judgeFleetTotals(now);
}

void LoadTable::judgeFleetTotals(Instant now)
{
    const bool known = this->fleet.receivedAt != Instant::min();
    const microseconds age = known ? now - this->fleet.receivedAt : microseconds::max();
    const bool onlySource = this->peers.empty() && this->zones.empty();
    this->fleetTotalsInUse = age <= (onlySource ? reportTimeout : fleetTotalsTimeout);
}

void LoadTable::announce(const std::vector<UpstreamClaim> &claims, Instant now)
{
    this->dropAnnouncements(now);
    for (const UpstreamClaim &each : claims) {
        this->announcements.push_back({each, now + announcementLifetime});
    }
}

void LoadTable::dropAnnouncements(Instant now)
{
    while (!this->announcements.empty() && this->announcements.front().expiresAt <= now) {
        this->announcements.pop_front();
    }
}

void LoadTable::recordReport(std::uint64_t number, const std::vector<UpstreamClaim> &claims,
                             bool complete, Instant now)
{
    this->sentReports.push_back({number, now});
    if (complete) {
        std::unordered_map<std::string, ResourceClaim> listed;
        for (const UpstreamClaim &each : claims) {
            listed[each.upstream] = each.claim;
        }
        for (const auto &[upstream, history] : this->reported) {
            listed.try_emplace(upstream, ResourceClaim {});
        }
        for (const auto &[upstream, claim] : listed) {
            this->recordClaim(number, upstream, claim);
        }
    } else {
        for (const UpstreamClaim &each : claims) {
            this->recordClaim(number, each.upstream, each.claim);
        }
    }
    this->trimReported(now);
}

void LoadTable::recordClaim(std::uint64_t number, const std::string &upstream,
                            const ResourceClaim &claim)
{
    std::vector<ReportedClaim> &history = this->reported[upstream];
    if (history.empty() || history.back().claim != claim) {
        history.push_back({number, claim});
    }
}

void LoadTable::trimReported(Instant now)
{
    std::uint64_t oldest = 0; ///< Report that every total includes.
    while (!this->sentReports.empty() && now - this->sentReports.front().sentAt > reportTimeout) {
        oldest = this->sentReports.front().number;
        this->sentReports.pop_front();
    }
    if (oldest == 0) {
        return;
    }
    for (auto each = this->reported.begin(); each != this->reported.end();) {
        std::vector<ReportedClaim> &history = each->second;
        while (history.size() > 1 && history[1].report <= oldest) {
            history.erase(history.begin());
        }
        const bool ended = history.size() == 1 && history.front().report <= oldest
            && history.front().claim == ResourceClaim {};
        each = ended ? this->reported.erase(each) : std::next(each);
    }
}

ResourceClaim LoadTable::acknowledgedClaim(const std::string &upstream) const
{
    ResourceClaim claim;
    const auto found = this->reported.find(upstream);
    if (found != this->reported.end()) {
        for (const ReportedClaim &each : found->second) {
            claim = each.report <= this->acknowledgedReport ? each.claim : claim;
        }
    }
    return claim;
}

void LoadTable::removeSilent(Instant now)
{
    const auto silent
        = [now](const auto &entry) { return now - entry.second.receivedAt > reportTimeout; };
    std::erase_if(this->peers, silent);
    std::erase_if(this->zones, silent);
    this->judgeFleetTotals(now);
    this->dropAnnouncements(now);
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
    if (this->fleetTotalsInUse) {
        const auto found = this->fleet.claims.find(upstream);
        if (found != this->fleet.claims.end()) {
            ResourceClaim others = found->second;
            others -= this->acknowledgedClaim(upstream);
            sum += others;
        }
        for (const Announcement &each : this->announcements) {
            if (each.claim.upstream == upstream) {
                sum += each.claim.claim;
            }
        }
        return sum;
    }
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
    addTo(sums, this->peers);
    return toList(sums);
}

std::vector<UpstreamClaim> LoadTable::allClaims() const
{
    std::map<std::string, ResourceClaim> sums(this->localClaims.begin(), this->localClaims.end());
    addTo(sums, this->peers);
    addTo(sums, this->zones);
    return toList(sums);
}

void LoadTable::addTo(std::map<std::string, ResourceClaim> &sums,
                      const std::unordered_map<std::string, Report> &reports)
{
    for (const auto &[name, report] : reports) {
        for (const auto &[upstream, claim] : report.claims) {
            sums[upstream] += claim;
        }
    }
}

} // namespace azurespindle::decision
