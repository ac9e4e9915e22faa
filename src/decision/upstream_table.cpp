#include "decision/upstream_table.h"

#include <algorithm>
#include <cmath>

namespace azurespindle::decision {
namespace {

journal::Entry conditionEntry(const ListedUpstream &listed)
{
    return {
        journal::EventId::UpstreamCondition,
        {{"upstream", listed.name}, {"zone", listed.zone}, {"condition", name(listed.condition)}}};
}

} // namespace

const char *name(Obstacle obstacle)
{
    switch (obstacle) {
    case Obstacle::None:
        return "higher cost";
    case Obstacle::NotServing:
        return "not serving";
    case Obstacle::NoSlot:
        return "no slot";
    case Obstacle::NoMemory:
        return "memory";
    case Obstacle::FailedBefore:
        return "failed before";
    case Obstacle::HasSuspect:
        return "has a crash suspect";
    }
    return "unknown";
}

std::uint32_t Upstream::slots(Instant now) const
{
    if (now < this->lease.expires) {
        return this->lease.concurrency;
    }
    return now < this->lease.standaloneExpires ? this->lease.standalone : 0;
}

double Upstream::memoryBudget() const
{
    const double target = this->report.memoryTokens * this->listed.policy.memoryTarget;
    const double othersShare = (1.0 - this->lease.memoryShare) * target;
    const double excess = std::max(0.0, this->othersMemory - othersShare);
    return this->lease.memoryShare * target - excess;
}

std::vector<journal::Entry> UpstreamTable::setUpstreams(const std::vector<ListedUpstream> &listed)
{
    std::vector<journal::Entry> entries;
    std::vector<Upstream> next;
    for (const ListedUpstream &each : listed) {
        Upstream *known = this->find(each.name);
        if (known == nullptr) {
            Upstream added;
            added.listed = each;
            entries.push_back(
                {journal::EventId::UpstreamAdded, {{"upstream", each.name}, {"zone", each.zone}}});
            next.push_back(std::move(added));
            continue;
        }
        if (known->listed.condition != each.condition) {
            entries.push_back(conditionEntry(each));
        }
        known->listed = each;
        next.push_back(std::move(*known));
        this->positions.erase(each.name);
    }
    for (const auto &[name, position] : this->positions) {
        Upstream &missing = this->upstreams[position];
        if (missing.outstanding == 0) {
            entries.push_back({journal::EventId::UpstreamRemoved, {{"upstream", name}}});
            continue;
        }
        missing.listed.condition = Condition::Leaving;
        next.push_back(std::move(missing));
    }
    this->upstreams = std::move(next);
    this->positions.clear();
    for (std::size_t index = 0; index < this->upstreams.size(); ++index) {
        this->positions[this->upstreams[index].listed.name] = index;
    }
    return entries;
}

std::vector<journal::Entry> UpstreamTable::setReport(const std::string &name,
                                                     const EngineReport &report)
{
    Upstream *upstream = this->find(name);
    if (upstream == nullptr) {
        return {};
    }
    const bool restarted = upstream->report.boot != 0 && upstream->report.boot != report.boot;
    upstream->report = report;
    const double own = upstream->profile.current();
    upstream->othersMemory = std::max(0.0, report.memoryUsed - own);
    if (!restarted) {
        return {};
    }
    upstream->prefixes.clear();
    upstream->othersMemory = 0.0;
    return {{journal::EventId::UpstreamRestarted,
             {{"upstream", name}, {"boot", std::to_string(report.boot)}}}};
}

void UpstreamTable::updateCache(const CacheChanged &change)
{
    Upstream *upstream = this->find(change.upstream);
    if (upstream != nullptr) {
        upstream->prefixes.add(change.added);
        upstream->prefixes.drop(change.dropped);
    }
}

void UpstreamTable::setLease(const LeaseGranted &lease)
{
    Upstream *upstream = this->find(lease.upstream);
    if (upstream != nullptr) {
        upstream->lease = lease;
        if (!lease.contended) {
            upstream->unreportedUsage.clear();
        }
    }
}

Upstream *UpstreamTable::find(const std::string &name)
{
    const auto found = this->positions.find(name);
    return found == this->positions.end() ? nullptr : &this->upstreams[found->second];
}

const Upstream *UpstreamTable::find(const std::string &name) const
{
    const auto found = this->positions.find(name);
    return found == this->positions.end() ? nullptr : &this->upstreams[found->second];
}

void UpstreamTable::addAttempt(Upstream &upstream, const MemoryProfile &profile, bool suspect)
{
    upstream.profile.add(profile);
    upstream.outstanding += 1;
    upstream.suspects += suspect ? 1 : 0;
    upstream.observations.peakOutstanding
        = std::max(upstream.observations.peakOutstanding, upstream.outstanding);
}

void UpstreamTable::removeAttempt(Upstream &upstream, const MemoryProfile &profile, bool suspect)
{
    upstream.profile.subtract(profile);
    upstream.outstanding -= 1;
    upstream.suspects -= suspect ? 1 : 0;
    if (upstream.outstanding == 0) {
        upstream.profile = {};
    }
}

void UpstreamTable::recordUsage(Upstream &upstream, WorkspaceKey workspace, double weight,
                                std::int32_t tokens)
{
    const auto same = [&](const WorkspaceUsage &each) { return each.workspace == workspace; };
    const auto found
        = std::find_if(upstream.unreportedUsage.begin(), upstream.unreportedUsage.end(), same);
    if (found != upstream.unreportedUsage.end()) {
        found->served += tokens;
    } else if (upstream.unreportedUsage.size() < Upstream::maxUnreportedUsage) {
        upstream.unreportedUsage.push_back({workspace, static_cast<float>(weight), false, tokens});
    }
}

std::vector<WorkspaceUsage>
UpstreamTable::takeUnreportedUsage(Upstream &upstream, const std::vector<WorkspaceUsage> &waiting,
                                   std::size_t limit)
{
    if (!upstream.lease.contended) {
        return {};
    }
    std::vector<WorkspaceUsage> reported = waiting;
    reported.resize(std::min(reported.size(), limit));
    for (WorkspaceUsage &use : reported) {
        const auto same
            = [&](const WorkspaceUsage &each) { return each.workspace == use.workspace; };
        const auto found
            = std::find_if(upstream.unreportedUsage.begin(), upstream.unreportedUsage.end(), same);
        if (found != upstream.unreportedUsage.end()) {
            use.served = found->served;
            upstream.unreportedUsage.erase(found);
        }
    }
    const auto byTokens = [](const WorkspaceUsage &a, const WorkspaceUsage &b) {
        return a.served != b.served ? a.served > b.served : a.workspace < b.workspace;
    };
    std::sort(upstream.unreportedUsage.begin(), upstream.unreportedUsage.end(), byTokens);
    while (reported.size() < limit && !upstream.unreportedUsage.empty()) {
        reported.push_back(upstream.unreportedUsage.front());
        upstream.unreportedUsage.erase(upstream.unreportedUsage.begin());
    }
    return reported;
}

void UpstreamTable::recordDisplacement(const std::vector<Candidate> &candidates, std::size_t chosen)
{
    const Tokens computedTokens = candidates[chosen].uncachedTokens;
    for (const Candidate &candidate : candidates) {
        const bool full
            = candidate.obstacle == Obstacle::NoSlot || candidate.obstacle == Obstacle::NoMemory;
        if (full && candidate.uncachedTokens + Upstream::minDisplacedTokens <= computedTokens) {
            Upstream &upstream = *this->find(candidate.upstream->listed.name);
            upstream.aboveShareFraction
                = std::max(Upstream::minAboveShareFraction,
                           upstream.aboveShareFraction * Upstream::displacementFactor);
        }
    }
}

void UpstreamTable::recoverFractions(microseconds elapsed)
{
    for (Upstream &upstream : this->upstreams) {
        const double recovered = upstream.aboveShareFraction
            + Upstream::fractionRecoveredPerSecond * inSeconds(elapsed);
        upstream.aboveShareFraction = std::min(1.0, recovered);
    }
}

void UpstreamTable::addUnresolved(Upstream &upstream, const UnresolvedDisconnect &disconnect)
{
    if (upstream.unresolvedDisconnects.size() >= Upstream::maxUnresolved) {
        upstream.unresolvedDisconnects.erase(upstream.unresolvedDisconnects.begin());
    }
    upstream.unresolvedDisconnects.push_back(disconnect);
}

Obstacle UpstreamTable::obstacle(const Upstream &upstream, const PlacementQuery &query, double peak)
{
    if (upstream.listed.condition != Condition::Serving) {
        return Obstacle::NotServing;
    }
    const auto &failedOn = query.failedOn;
    if (std::find(failedOn.begin(), failedOn.end(), upstream.listed.name) != failedOn.end()) {
        return Obstacle::FailedBefore;
    }
    if (query.suspect && upstream.suspects > 0) {
        return Obstacle::HasSuspect;
    }
    const double fraction = query.aboveShare ? upstream.aboveShareFraction : 1.0;
    if (upstream.outstanding >= std::ceil(fraction * upstream.slots(query.now))) {
        return Obstacle::NoSlot;
    }
    const bool bounded = upstream.report.memoryTokens > 0 && upstream.outstanding > 0;
    if (bounded && peak > fraction * upstream.memoryBudget()) {
        return Obstacle::NoMemory;
    }
    return Obstacle::None;
}

void UpstreamTable::assess(const PlacementQuery &query, std::vector<Candidate> &candidates) const
{
    candidates.clear();
    for (const Upstream &upstream : this->upstreams) {
        const double peak = upstream.profile.peakWith(query.profile, query.deviations);
        const double memory = std::max(1U, upstream.report.memoryTokens);
        const auto limit = static_cast<double>(upstream.listed.policy.maxConcurrency);
        const Request &request = *query.request;
        const Tokens cached = upstream.prefixes.cachedTokens(request.prefixBlocks);
        Candidate candidate;
        candidate.upstream = &upstream;
        candidate.obstacle = obstacle(upstream, query, peak);
        candidate.peakFraction
            = upstream.report.memoryTokens > 0 ? (peak + upstream.othersMemory) / memory : 0.0;
        candidate.loadFraction = (upstream.outstanding + 1.0) / limit;
        candidate.uncachedTokens = request.promptTokens - std::min(cached, request.promptTokens);
        candidates.push_back(candidate);
    }
}

} // namespace azurespindle::decision
