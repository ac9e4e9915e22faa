#include "decision/fleet_retry_budget.h"

#include <algorithm>

namespace azurespindle::decision {
namespace {

std::uint32_t countSince(const std::deque<Instant> &events, Instant since)
{
    const auto first = std::lower_bound(events.begin(), events.end(), since);
    return static_cast<std::uint32_t>(events.end() - first);
}

void trimBefore(std::deque<Instant> &events, Instant since)
{
    while (!events.empty() && events.front() < since) {
        events.pop_front();
    }
}

} // namespace

void FleetRetryBudget::trim(Events &events, Instant now) const
{
    const Instant since = now - this->limits.window;
    trimBefore(events.requests, since);
    trimBefore(events.resends, since);
}

void FleetRetryBudget::recordRequest(const std::string &service, Instant now)
{
    Events &events = this->services[service];
    events.requests.push_back(now);
    this->trim(events, now);
}

void FleetRetryBudget::recordResend(const std::string &service, Instant now)
{
    Events &events = this->services[service];
    events.resends.push_back(now);
    this->trim(events, now);
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

RequestCounts FleetRetryBudget::own(const std::string &service, Instant now) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return {service, 0, 0};
    }
    const Instant since = now - this->limits.window;
    return {service, countSince(found->second.requests, since),
            countSince(found->second.resends, since)};
}

RequestCounts FleetRetryBudget::fleet(const std::string &service, Instant now) const
{
    RequestCounts sum = this->own(service, now);
    for (const auto *told : {&this->peers, &this->zones}) {
        for (const auto &[name, peer] : *told) {
            for (const RequestCounts &each : peer.counts) {
                const bool fresh = now - peer.heard < peerMemory;
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
        fresh += now - peer.heard < peerMemory ? 1 : 0;
    }
    return fresh;
}

std::size_t FleetRetryBudget::freshProcesses(Instant now) const
{
    std::size_t fresh = this->countedProcesses(now);
    for (const auto &[name, zone] : this->zones) {
        fresh += now - zone.heard < peerMemory ? zone.processes : 0;
    }
    return fresh;
}

bool FleetRetryBudget::allows(const std::string &service, bool generation, Instant now) const
{
    const RequestCounts mine = this->own(service, now);
    const double part = generation ? 1.0 : retryPart;
    const double own = ownPart
        * (this->limits.burst / static_cast<double>(this->processes)
           + this->limits.share * mine.requests);
    if (mine.resends + 1 <= part * own) {
        return true;
    }
    return generation && this->mayBorrow(service, now);
}

bool FleetRetryBudget::mayBorrow(const std::string &service, Instant now) const
{
    const double known = knownPart * static_cast<double>(this->processes);
    if (static_cast<double>(this->freshProcesses(now)) < known) {
        return false;
    }
    const RequestCounts all = this->fleet(service, now);
    const double whole = this->limits.burst + this->limits.share * all.requests;
    if (all.resends + 1 > borrowPart * whole) {
        return false;
    }
    if (this->zones.empty()) {
        return true;
    }
    const double rest = (1.0 - borrowPart) * whole / static_cast<double>(this->processes);
    const auto found = this->services.find(service);
    const std::uint32_t lately
        = found == this->services.end() ? 0 : countSince(found->second.resends, now - newsAge);
    return lately + 1 <= std::max(1.0, rest);
}

std::vector<RequestCounts> FleetRetryBudget::counts(Instant now) const
{
    std::vector<RequestCounts> counts;
    for (const auto &[service, events] : this->services) {
        counts.push_back(this->own(service, now));
    }
    return counts;
}

std::vector<RequestCounts> FleetRetryBudget::ownAndPeerCounts(Instant now) const
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
    for (const auto &[name, peer] : this->peers) {
        for (const RequestCounts &each : peer.counts) {
            if (now - peer.heard < peerMemory) {
                add(each);
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
