#include "decision/arrival_budget.h"

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

void ArrivalBudget::trim(Events &events, Instant now) const
{
    const Instant since = now - this->limits.window;
    trimBefore(events.requests, since);
    trimBefore(events.repeats, since);
}

void ArrivalBudget::noteRequest(const std::string &service, Instant now)
{
    Events &events = this->services[service];
    events.requests.push_back(now);
    this->trim(events, now);
}

void ArrivalBudget::noteRepeat(const std::string &service, Instant now)
{
    Events &events = this->services[service];
    events.repeats.push_back(now);
    this->trim(events, now);
}

void ArrivalBudget::tell(const std::string &peer, const std::vector<ArrivalCount> &counts,
                         Instant now)
{
    this->peers[peer] = {now, counts};
}

void ArrivalBudget::tellZone(const std::string &zone, const std::vector<ArrivalCount> &counts,
                             std::size_t processes, Instant now)
{
    this->zones[zone] = {now, counts, processes};
}

ArrivalCount ArrivalBudget::own(const std::string &service, Instant now) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return {service, 0, 0};
    }
    const Instant since = now - this->limits.window;
    return {service, countSince(found->second.requests, since),
            countSince(found->second.repeats, since)};
}

ArrivalCount ArrivalBudget::fleet(const std::string &service, Instant now) const
{
    ArrivalCount sum = this->own(service, now);
    for (const auto *told : {&this->peers, &this->zones}) {
        for (const auto &[name, peer] : *told) {
            for (const ArrivalCount &each : peer.counts) {
                const bool fresh = now - peer.heard < peerMemory;
                if (fresh && each.service == service) {
                    sum.requests += each.requests;
                    sum.repeats += each.repeats;
                }
            }
        }
    }
    return sum;
}

std::size_t ArrivalBudget::processesHeard(Instant now) const
{
    std::size_t fresh = 1;
    for (const auto &[name, peer] : this->peers) {
        fresh += now - peer.heard < peerMemory ? 1 : 0;
    }
    return fresh;
}

std::size_t ArrivalBudget::freshProcesses(Instant now) const
{
    std::size_t fresh = this->processesHeard(now);
    for (const auto &[name, zone] : this->zones) {
        fresh += now - zone.heard < peerMemory ? zone.processes : 0;
    }
    return fresh;
}

bool ArrivalBudget::allows(const std::string &service, bool generation, Instant now) const
{
    const ArrivalCount mine = this->own(service, now);
    const double part = generation ? 1.0 : retryPart;
    const double own = ownPart
        * (this->limits.burst / static_cast<double>(this->processes)
           + this->limits.share * mine.requests);
    if (mine.repeats + 1 <= part * own) {
        return true;
    }
    return generation && this->mayBorrow(service, now);
}

bool ArrivalBudget::mayBorrow(const std::string &service, Instant now) const
{
    const double known = knownPart * static_cast<double>(this->processes);
    if (static_cast<double>(this->freshProcesses(now)) < known) {
        return false;
    }
    const ArrivalCount all = this->fleet(service, now);
    const double whole = this->limits.burst + this->limits.share * all.requests;
    if (all.repeats + 1 > borrowPart * whole) {
        return false;
    }
    if (this->zones.empty()) {
        return true;
    }
    const double rest = (1.0 - borrowPart) * whole / static_cast<double>(this->processes);
    const auto found = this->services.find(service);
    const std::uint32_t lately
        = found == this->services.end() ? 0 : countSince(found->second.repeats, now - newsAge);
    return lately + 1 <= std::max(1.0, rest);
}

std::vector<ArrivalCount> ArrivalBudget::counts(Instant now) const
{
    std::vector<ArrivalCount> counts;
    for (const auto &[service, events] : this->services) {
        counts.push_back(this->own(service, now));
    }
    return counts;
}

std::vector<ArrivalCount> ArrivalBudget::ownAndPeers(Instant now) const
{
    std::map<std::string, ArrivalCount> sums;
    const auto add = [&sums](const ArrivalCount &count) {
        ArrivalCount &sum
            = sums.try_emplace(count.service, ArrivalCount {count.service, 0, 0}).first->second;
        sum.requests += count.requests;
        sum.repeats += count.repeats;
    };
    for (const ArrivalCount &each : this->counts(now)) {
        add(each);
    }
    for (const auto &[name, peer] : this->peers) {
        for (const ArrivalCount &each : peer.counts) {
            if (now - peer.heard < peerMemory) {
                add(each);
            }
        }
    }
    std::vector<ArrivalCount> counts;
    counts.reserve(sums.size());
    for (const auto &[service, count] : sums) {
        counts.push_back(count);
    }
    return counts;
}

} // namespace azurespindle::decision
