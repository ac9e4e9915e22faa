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
    for (const auto &[name, peer] : this->peers) {
        for (const ArrivalCount &each : peer.counts) {
            const bool fresh = now - peer.heard < peerMemory;
            if (fresh && each.service == service) {
                sum.requests += each.requests;
                sum.repeats += each.repeats;
            }
        }
    }
    return sum;
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
    std::size_t fresh = 1;
    for (const auto &[name, peer] : this->peers) {
        fresh += now - peer.heard < peerMemory ? 1 : 0;
    }
    if (!generation || fresh < this->processes) {
        return false;
    }
    const ArrivalCount all = this->fleet(service, now);
    const double whole = this->limits.burst + this->limits.share * all.requests;
    return all.repeats + 1 <= borrowPart * whole;
}

std::vector<ArrivalCount> ArrivalBudget::counts(Instant now) const
{
    std::vector<ArrivalCount> counts;
    for (const auto &[service, events] : this->services) {
        counts.push_back(this->own(service, now));
    }
    return counts;
}

} // namespace azurespindle::decision
