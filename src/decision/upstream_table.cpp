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
    const double whole = this->report.memoryTokens * this->listed.policy.memoryTarget;
    const double foreignShare = (1.0 - this->lease.memoryShare) * whole;
    const double excess = std::max(0.0, this->foreignMemory - foreignShare);
    return this->lease.memoryShare * whole - excess;
}

std::vector<journal::Entry> UpstreamTable::list(const std::vector<ListedUpstream> &listed)
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

std::vector<journal::Entry> UpstreamTable::report(const std::string &name,
                                                  const EngineReport &report)
{
    Upstream *upstream = this->find(name);
    if (upstream == nullptr) {
        return {};
    }
    const bool restarted = upstream->report.boot != 0 && upstream->report.boot != report.boot;
    upstream->report = report;
    const double own = upstream->profile.current();
    upstream->foreignMemory = std::max(0.0, report.memoryUsed - own);
    if (!restarted) {
        return {};
    }
    upstream->prefixes.clear();
    upstream->foreignMemory = 0.0;
    return {{journal::EventId::UpstreamRestarted,
             {{"upstream", name}, {"boot", std::to_string(report.boot)}}}};
}

void UpstreamTable::changeCache(const CacheChanged &change)
{
    Upstream *upstream = this->find(change.upstream);
    if (upstream != nullptr) {
        upstream->prefixes.add(change.added);
        upstream->prefixes.drop(change.dropped);
    }
}

void UpstreamTable::grant(const LeaseGranted &lease)
{
    Upstream *upstream = this->find(lease.upstream);
    if (upstream != nullptr) {
        upstream->lease = lease;
        if (!lease.contended) {
            upstream->untold.clear();
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

void UpstreamTable::begin(Upstream &upstream, const MemoryProfile &profile, bool suspect)
{
    upstream.profile.add(profile);
    upstream.outstanding += 1;
    upstream.suspects += suspect ? 1 : 0;
    upstream.observations.peakOutstanding
        = std::max(upstream.observations.peakOutstanding, upstream.outstanding);
}

void UpstreamTable::end(Upstream &upstream, const MemoryProfile &profile, bool suspect)
{
    upstream.profile.subtract(profile);
    upstream.outstanding -= 1;
    upstream.suspects -= suspect ? 1 : 0;
    if (upstream.outstanding == 0) {
        upstream.profile = {};
    }
}

void UpstreamTable::noteService(Upstream &upstream, WorkspaceKey workspace, double weight,
                                std::int32_t tokens)
{
    const auto same = [&](const WorkspaceUsage &each) { return each.workspace == workspace; };
    const auto found = std::find_if(upstream.untold.begin(), upstream.untold.end(), same);
    if (found != upstream.untold.end()) {
        found->served += tokens;
    } else if (upstream.untold.size() < Upstream::maxUntold) {
        upstream.untold.push_back({workspace, static_cast<float>(weight), false, tokens});
    }
}

std::vector<WorkspaceUsage> UpstreamTable::takeService(Upstream &upstream,
                                                       const std::vector<WorkspaceUsage> &waiting,
                                                       std::size_t most)
{
    if (!upstream.lease.contended) {
        return {};
    }
    std::vector<WorkspaceUsage> told = waiting;
    told.resize(std::min(told.size(), most));
    for (WorkspaceUsage &use : told) {
        const auto same
            = [&](const WorkspaceUsage &each) { return each.workspace == use.workspace; };
        const auto found = std::find_if(upstream.untold.begin(), upstream.untold.end(), same);
        if (found != upstream.untold.end()) {
            use.served = found->served;
            upstream.untold.erase(found);
        }
    }
    const auto more = [](const WorkspaceUsage &a, const WorkspaceUsage &b) {
        return a.served != b.served ? a.served > b.served : a.workspace < b.workspace;
    };
    std::sort(upstream.untold.begin(), upstream.untold.end(), more);
    while (told.size() < most && !upstream.untold.empty()) {
        told.push_back(upstream.untold.front());
        upstream.untold.erase(upstream.untold.begin());
    }
    return told;
}

void UpstreamTable::noteDisplaced(const std::vector<Candidate> &candidates, std::size_t chosen)
{
    const Tokens computed = candidates[chosen].uncachedTokens;
    for (const Candidate &candidate : candidates) {
        const bool full
            = candidate.obstacle == Obstacle::NoSlot || candidate.obstacle == Obstacle::NoMemory;
        if (full && candidate.uncachedTokens + Upstream::displacedTokens <= computed) {
            Upstream &upstream = *this->find(candidate.upstream->listed.name);
            upstream.aboveSharePart
                = std::max(Upstream::leastAboveSharePart,
                           upstream.aboveSharePart * Upstream::partKeptByDisplaced);
        }
    }
}

void UpstreamTable::regainParts(microseconds elapsed)
{
    for (Upstream &upstream : this->upstreams) {
        const double regained
            = upstream.aboveSharePart + Upstream::partRegained * inSeconds(elapsed);
        upstream.aboveSharePart = std::min(1.0, regained);
    }
}

void UpstreamTable::keepUnresolved(Upstream &upstream, const UnresolvedLoss &loss)
{
    if (upstream.unresolved.size() >= Upstream::maxUnresolved) {
        upstream.unresolved.erase(upstream.unresolved.begin());
    }
    upstream.unresolved.push_back(loss);
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
    const double part = query.aboveShare ? upstream.aboveSharePart : 1.0;
    if (upstream.outstanding >= std::ceil(part * upstream.slots(query.now))) {
        return Obstacle::NoSlot;
    }
    const bool bounded = upstream.report.memoryTokens > 0 && upstream.outstanding > 0;
    if (bounded && peak > part * upstream.memoryBudget()) {
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
        const auto most = static_cast<double>(upstream.listed.policy.maxConcurrency);
        const Request &request = *query.request;
        const Tokens cached = upstream.prefixes.cachedTokens(request.prefixBlocks);
        Candidate candidate;
        candidate.upstream = &upstream;
        candidate.obstacle = obstacle(upstream, query, peak);
        candidate.peakFraction
            = upstream.report.memoryTokens > 0 ? (peak + upstream.foreignMemory) / memory : 0.0;
        candidate.loadFraction = (upstream.outstanding + 1.0) / most;
        candidate.uncachedTokens = request.promptTokens - std::min(cached, request.promptTokens);
        candidates.push_back(candidate);
    }
}

} // namespace azurespindle::decision
