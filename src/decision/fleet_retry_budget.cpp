#include "decision/fleet_retry_budget.h"

#include <algorithm>

namespace azurespindle::decision {
namespace {

std::uint32_t countSince(const std::deque<Instant> &history, Instant since)
{
    const auto first = std::lower_bound(history.begin(), history.end(), since);
    return static_cast<std::uint32_t>(history.end() - first);
}

void trimBefore(std::deque<Instant> &history, Instant since)
{
    while (!history.empty() && history.front() < since) {
        history.pop_front();
    }
}

} // namespace

void FleetRetryBudget::trimHistory(History &history, Instant now) const
{
    const Instant since = now - this->limits.window;
    trimBefore(history.requests, since);
    trimBefore(history.resends, since);
}

void FleetRetryBudget::recordRequest(const std::string &service, Instant now)
{
    History &history = this->histories[service];
    history.requests.push_back(now);
    this->trimHistory(history, now);
}

void FleetRetryBudget::recordResend(const std::string &service, Instant now)
{
    History &history = this->histories[service];
    history.resends.push_back(now);
    this->trimHistory(history, now);
}

void FleetRetryBudget::updatePeer(const std::string &peer, const std::vector<RequestCounts> &counts,
                                  Instant now)
{
    this->peers[peer] = {now, counts};
}

void FleetRetryBudget::updateZone(const std::string &zone, const std::vector<RequestCounts> &counts,
                                  std::size_t processes, Instant now)
{
    this->zones[zone] = {now, counts, processes};
}

RequestCounts FleetRetryBudget::ownCounts(const std::string &service, Instant now) const
{
    const auto found = this->histories.find(service);
    if (found == this->histories.end()) {
        return {service, 0, 0};
    }
    const Instant since = now - this->limits.window;
    return {service, countSince(found->second.requests, since),
            countSince(found->second.resends, since)};
}

RequestCounts FleetRetryBudget::fleetCounts(const std::string &service, Instant now) const
{
    RequestCounts sum = this->ownCounts(service, now);
    for (const auto *reports : {&this->peers, &this->zones}) {
        for (const auto &[name, report] : *reports) {
            for (const RequestCounts &each : report.counts) {
                const bool fresh = now - report.receivedAt < countsTimeout;
                if (fresh && each.service == service) {
                    sum.requests += each.requests;
                    sum.resends += each.resends;
                }
            }
        }
    }
    return sum;
}

std::size_t FleetRetryBudget::countedProcesses(Instant now) const
{
    std::size_t fresh = 1;
    for (const auto &[name, peer] : this->peers) {
        fresh += now - peer.receivedAt < countsTimeout ? 1 : 0;
    }
    return fresh;
}

std::size_t FleetRetryBudget::freshProcesses(Instant now) const
{
    std::size_t fresh = this->countedProcesses(now);
    for (const auto &[name, zone] : this->zones) {
        fresh += now - zone.receivedAt < countsTimeout ? zone.processes : 0;
    }
    return fresh;
}

bool FleetRetryBudget::allows(const std::string &service, bool generation, Instant now) const
{
    const RequestCounts own = this->ownCounts(service, now);
    const double part = generation ? 1.0 : retryShare;
    const double ownBudget = ownShare
        * (this->limits.burst / static_cast<double>(this->processes)
           + this->limits.share * own.requests);
    if (own.resends + 1 <= part * ownBudget) {
        return true;
    }
    return generation && this->mayBorrow(service, now);
}

bool FleetRetryBudget::mayBorrow(const std::string &service, Instant now) const
{
    const double minFresh = minFreshShare * static_cast<double>(this->processes);
    if (static_cast<double>(this->freshProcesses(now)) < minFresh) {
        return false;
    }
    const RequestCounts all = this->fleetCounts(service, now);
    const double budget = this->limits.burst + this->limits.share * all.requests;
    if (all.resends + 1 > borrowLimitShare * budget) {
        return false;
    }
    if (this->zones.empty()) {
        return true;
    }
    const double remainingPart
        = (1.0 - borrowLimitShare) * budget / static_cast<double>(this->processes);
    const auto found = this->histories.find(service);
    const std::uint32_t recentResends = found == this->histories.end()
        ? 0
        : countSince(found->second.resends, now - maxZoneCountsAge);
    return recentResends + 1 <= std::max(1.0, remainingPart);
}

std::vector<RequestCounts> FleetRetryBudget::counts(Instant now) const
{
    std::vector<RequestCounts> counts;
    for (const auto &[service, history] : this->histories) {
        counts.push_back(this->ownCounts(service, now));
    }
    return counts;
}

std::vector<RequestCounts> FleetRetryBudget::ownAndPeerCounts(Instant now) const
{
    return this->sumOf({&this->peers}, now);
}

std::vector<RequestCounts> FleetRetryBudget::allCounts(Instant now) const
{
    return this->sumOf({&this->peers, &this->zones}, now);
}

std::vector<RequestCounts>
FleetRetryBudget::sumOf(const std::vector<const std::map<std::string, Report> *> &sources,
                        Instant now) const
{
    std::map<std::string, RequestCounts> sums;
    const auto add = [&sums](const RequestCounts &count) {
        RequestCounts &sum
            = sums.try_emplace(count.service, RequestCounts {count.service, 0, 0}).first->second;
        sum.requests += count.requests;
        sum.resends += count.resends;
    };
    for (const RequestCounts &each : this->counts(now)) {
        add(each);
    }
    for (const auto *reports : sources) {
        for (const auto &[name, report] : *reports) {
            for (const RequestCounts &each : report.counts) {
                if (now - report.receivedAt < countsTimeout) {
                    add(each);
                }
            }
        }
    }
    std::vector<RequestCounts> counts;
    counts.reserve(sums.size());
    for (const auto &[service, count] : sums) {
        counts.push_back(count);
    }
    return counts;
}

} // namespace azurespindle::decision
