#include "decision/lease_steward.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace azurespindle::decision {
namespace {

void noteRamp(const std::string &upstream, RampReason reason, std::uint32_t before,
              std::uint32_t after, std::vector<journal::Entry> &entries)
{
    if (reason == RampReason::None || before == after) {
        return;
    }
    entries.push_back({journal::EventId::RampChanged,
                       {{"upstream", upstream},
                        {"from", std::to_string(before)},
                        {"to", std::to_string(after)},
                        {"reason", name(reason)}}});
}

LeaseGrant refused(const std::string &upstream)
{
    LeaseGrant grant;
    grant.upstream = upstream;
    grant.memoryShare = 0.0;
    return grant;
}

} // namespace

LeaseRequest requestOf(const std::string &holder, const AskLease &ask)
{
    return {holder, ask.upstream, ask.inUse, ask.wanted, ask.observations, ask.workspaces};
}

LeaseGranted grantedAt(const LeaseGrant &grant, Instant now)
{
    return {grant.upstream,       grant.concurrency, grant.memoryShare,
            now + grant.duration, grant.standalone,  now + grant.standaloneDuration,
            grant.contended,      grant.foreign};
}

void LeaseSteward::adopt(const std::string &upstream, const configuration::UpstreamPolicy &policy,
                         Instant now, bool mayHavePredecessor)
{
    const auto found = this->stewardedUpstreams.find(upstream);
    if (found != this->stewardedUpstreams.end()) {
        found->second.ramp.setPolicy(policy);
        return;
    }
    Stewarded stewarded {Ramp(policy), Condition::Serving, now, false, {}, 0.0, {}};
    if (mayHavePredecessor) {
        stewarded.openFrom = now + warmLeaseDuration + margin;
        stewarded.adoptUse = true;
    }
    this->stewardedUpstreams.emplace(upstream, std::move(stewarded));
}

void LeaseSteward::release(const std::string &upstream)
{
    this->stewardedUpstreams.erase(upstream);
}

void LeaseSteward::setCondition(const std::string &upstream, Condition condition)
{
    const auto found = this->stewardedUpstreams.find(upstream);
    if (found != this->stewardedUpstreams.end()) {
        found->second.condition = condition;
    }
}

std::uint32_t LeaseSteward::heldBy(const Holder &holder)
{
    // Also after the lease ran out: what a silent holder began under it may still run.
    return std::max({holder.inUse, holder.granted, holder.standalone});
}

std::uint32_t LeaseSteward::total(const Stewarded &stewarded)
{
    std::uint32_t sum = 0;
    for (const auto &[name, holder] : stewarded.holders) {
        sum += heldBy(holder);
    }
    return sum;
}

std::uint32_t LeaseSteward::room(const Stewarded &stewarded, const std::string &holder)
{
    auto others = static_cast<std::uint32_t>(std::lround(stewarded.foreign));
    for (const auto &[name, other] : stewarded.holders) {
        if (name != holder) {
            others += heldBy(other);
        }
    }
    const std::uint32_t limit = stewarded.ramp.limit();
    return limit > others ? limit - others : 0;
}

bool LeaseSteward::wantsMore(const Holder &holder, Instant now)
{
    const bool recent = now - holder.lastHeard < warmLeaseDuration;
    return recent && holder.inUse + holder.wanted > holder.granted;
}

double LeaseSteward::entitlement(const Stewarded &stewarded, const Holder &holder, Instant now)
{
    double sum = 0.0;
    for (const WorkspaceUsage &use : holder.workspaces) {
        if (!use.queued) {
            continue;
        }
        double places = 0.0;
        for (const auto &[name, other] : stewarded.holders) {
            const bool recent = now - other.lastHeard < warmLeaseDuration;
            const bool waits = std::any_of(
                other.workspaces.begin(), other.workspaces.end(), [&](const WorkspaceUsage &each) {
                    return each.queued && each.workspace == use.workspace;
                });
            places += recent && waits ? 1.0 : 0.0;
        }
        sum += use.weight / std::max(places, 1.0);
    }
    return sum;
}

std::uint32_t LeaseSteward::fairShare(const Stewarded &stewarded, const Holder &holder, Instant now)
{
    double all = 0.0;
    std::uint32_t asking = 0;
    for (const auto &[name, other] : stewarded.holders) {
        const bool recent = now - other.lastHeard < warmLeaseDuration;
        if (recent && other.inUse + other.wanted > 0) {
            asking += 1;
            all += entitlement(stewarded, other, now);
        }
    }
    const std::uint32_t limit = stewarded.ramp.limit();
    const double own = entitlement(stewarded, holder, now);
    // Who does not say which workspaces wait gets what an even split would give.
    const double share = all > 0.0 && own > 0.0 ? own / all : 1.0 / std::max(asking, 1U);
    return std::max(static_cast<std::uint32_t>(std::lround(share * limit)), 1U);
}

std::uint32_t LeaseSteward::grantFor(Stewarded &stewarded, const LeaseRequest &request, Instant now)
{
    if (stewarded.condition != Condition::Serving || now < stewarded.openFrom) {
        return 0;
    }
    const Holder &holder = stewarded.holders.at(request.holder);
    const std::uint32_t needed = request.inUse + request.wanted;
    if (needed == 0) {
        return 0;
    }
    const std::uint32_t available = room(stewarded, request.holder);
    const bool othersWait
        = std::any_of(stewarded.holders.begin(), stewarded.holders.end(), [&](const auto &each) {
              return each.first != request.holder && wantsMore(each.second, now);
          });
    if (othersWait || available < needed) {
        stewarded.contendedUntil = now + contentionMemory;
    }
    if (othersWait) {
        return std::min({available, needed, fairShare(stewarded, holder, now)});
    }
    const std::uint32_t spare = stewarded.ramp.warm() ? spareSlots + needed / 4 : 0;
    return std::min(available, needed + spare);
}

void LeaseSteward::takeService(Stewarded &stewarded, const LeaseRequest &request)
{
    for (auto &[name, other] : stewarded.holders) {
        if (name == request.holder) {
            continue;
        }
        for (RemoteUsage &service : other.foreign) {
            for (const WorkspaceUsage &use : request.workspaces) {
                service.served += use.workspace == service.workspace ? use.served : 0;
            }
        }
    }
    Holder &holder = stewarded.holders.at(request.holder);
    std::vector<RemoteUsage> foreign;
    holder.workspaces.clear();
    for (const WorkspaceUsage &use : request.workspaces) {
        if (holder.workspaces.size() >= maxToldWorkspaces) {
            break;
        }
        holder.workspaces.push_back(use);
        if (use.queued) {
            foreign.push_back({use.workspace, 0});
        }
    }
    holder.foreign = std::move(foreign);
}

void LeaseSteward::weigh(Stewarded &stewarded, const LeaseRequest &request, Instant now,
                         std::vector<journal::Entry> &entries)
{
    std::uint32_t outstanding = 0;
    for (const auto &[name, holder] : stewarded.holders) {
        outstanding += holder.inUse;
    }
    const std::uint32_t before = stewarded.ramp.limit();
    const RampReason reason = stewarded.ramp.weigh(request.evidence, outstanding, now);
    noteRamp(request.upstream, reason, before, stewarded.ramp.limit(), entries);
}

void LeaseSteward::forgetSilent(Stewarded &stewarded, Instant now)
{
    for (auto each = stewarded.holders.begin(); each != stewarded.holders.end();) {
        const Holder &holder = each->second;
        const bool silent = now - holder.lastHeard > standaloneDuration + margin;
        each = silent ? stewarded.holders.erase(each) : std::next(each);
    }
}

LeaseGrant LeaseSteward::handle(const LeaseRequest &request, std::size_t memberCount, Instant now,
                                std::vector<journal::Entry> &entries)
{
    const auto found = this->stewardedUpstreams.find(request.upstream);
    if (found == this->stewardedUpstreams.end()) {
        return refused(request.upstream);
    }
    Stewarded &stewarded = found->second;
    if (stewarded.holders.count(request.holder) == 0 && stewarded.holders.size() >= maxHolders) {
        forgetSilent(stewarded, now);
        if (stewarded.holders.size() >= maxHolders) {
            return refused(request.upstream);
        }
    }
    Holder &holder = stewarded.holders[request.holder];
    holder.inUse = request.inUse;
    holder.wanted = request.wanted;
    holder.lastHeard = now;
    holder.standalone = 0;
    if (stewarded.adoptUse && now >= stewarded.openFrom) {
        stewarded.adoptUse = false;
        stewarded.ramp.adopt(total(stewarded), now);
    }
    this->weigh(stewarded, request, now, entries);
    LeaseGrant grant;
    grant.foreign = std::exchange(holder.foreign, {});
    takeService(stewarded, request);
    grant.upstream = request.upstream;
    grant.concurrency = grantFor(stewarded, request, now);
    grant.duration = stewarded.ramp.warm() ? warmLeaseDuration : coldLeaseDuration;
    grant.contended = now < stewarded.contendedUntil;
    holder.granted = grant.concurrency;
    if (stewarded.ramp.warm() && grant.concurrency > 0) {
        const auto members = static_cast<std::uint32_t>(std::max<std::size_t>(memberCount, 1));
        grant.standalone = std::min(stewarded.ramp.limit() / members, grant.concurrency);
        grant.standaloneDuration = standaloneDuration;
    }
    holder.standalone = grant.standalone;
    const std::uint32_t committed = std::max(total(stewarded), 1U);
    grant.memoryShare = std::max(grant.concurrency, request.inUse) / static_cast<double>(committed);
    return grant;
}

void LeaseSteward::noteBoot(const std::string &upstream, std::uint64_t boot, Instant now,
                            std::vector<journal::Entry> &entries)
{
    const auto found = this->stewardedUpstreams.find(upstream);
    if (found == this->stewardedUpstreams.end()) {
        return;
    }
    const std::uint32_t before = found->second.ramp.limit();
    const RampReason reason = found->second.ramp.noteBoot(boot, now);
    noteRamp(upstream, reason, before, found->second.ramp.limit(), entries);
}

void LeaseSteward::noteBusy(const std::string &upstream, std::uint32_t busy)
{
    const auto found = this->stewardedUpstreams.find(upstream);
    if (found == this->stewardedUpstreams.end()) {
        return;
    }
    Stewarded &stewarded = found->second;
    const std::uint32_t own = total(stewarded);
    const double seen = busy > own ? busy - own : 0;
    // Half way each time: two stewards that both gave way at once would both come back at once.
    stewarded.foreign = (stewarded.foreign + seen) / 2.0;
}

void LeaseSteward::turnCold(const std::string &upstream, Instant now,
                            std::vector<journal::Entry> &entries)
{
    const auto found = this->stewardedUpstreams.find(upstream);
    if (found == this->stewardedUpstreams.end()) {
        return;
    }
    const std::uint32_t before = found->second.ramp.limit();
    const RampReason reason = found->second.ramp.turnCold(now);
    noteRamp(upstream, reason, before, found->second.ramp.limit(), entries);
}

void LeaseSteward::passTime(Instant now, std::vector<journal::Entry> &entries)
{
    for (auto &[upstream, stewarded] : this->stewardedUpstreams) {
        const std::uint32_t before = stewarded.ramp.limit();
        const RampReason reason = stewarded.ramp.passTime(now);
        noteRamp(upstream, reason, before, stewarded.ramp.limit(), entries);
        forgetSilent(stewarded, now);
    }
}

bool LeaseSteward::stewards(const std::string &upstream) const
{
    return this->stewardedUpstreams.count(upstream) > 0;
}

std::uint32_t LeaseSteward::limit(const std::string &upstream) const
{
    const auto found = this->stewardedUpstreams.find(upstream);
    return found == this->stewardedUpstreams.end() ? 0 : found->second.ramp.limit();
}

std::uint32_t LeaseSteward::committed(const std::string &upstream) const
{
    const auto found = this->stewardedUpstreams.find(upstream);
    return found == this->stewardedUpstreams.end() ? 0 : total(found->second);
}

bool LeaseSteward::warm(const std::string &upstream) const
{
    const auto found = this->stewardedUpstreams.find(upstream);
    return found != this->stewardedUpstreams.end() && found->second.ramp.warm();
}

std::vector<std::string> LeaseSteward::upstreams() const
{
    std::vector<std::string> names;
    for (const auto &[name, stewarded] : this->stewardedUpstreams) {
        names.push_back(name);
    }
    return names;
}

} // namespace azurespindle::decision
