#include "decision/lease_manager.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace azurespindle::decision {
namespace {

void logLimitChange(const std::string &upstream, LimitChangeReason reason, std::uint32_t before,
                    std::uint32_t after, std::vector<journal::Entry> &entries)
{
    if (reason == LimitChangeReason::None || before == after) {
        return;
    }
    entries.push_back({journal::EventId::RampChanged,
                       {{"upstream", upstream},
                        {"from", std::to_string(before)},
                        {"to", std::to_string(after)},
                        {"reason", name(reason)}}});
}

LeaseGrant refusedGrant(const std::string &upstream)
{
    LeaseGrant grant;
    grant.upstream = upstream;
    grant.memoryShare = 0.0;
    return grant;
}

} // namespace

LeaseRequest makeLeaseRequest(const std::string &holder, const AskLease &ask)
{
    return {holder, ask.upstream, ask.inUse, ask.wanted, ask.observations, ask.workspaces};
}

LeaseGranted makeLeaseGranted(const LeaseGrant &grant, Instant now)
{
    return {grant.upstream,       grant.concurrency, grant.memoryShare,
            now + grant.duration, grant.standalone,  now + grant.standaloneDuration,
            grant.contended,      grant.remoteUsage};
}

void LeaseManager::manage(const std::string &upstream, const configuration::UpstreamPolicy &policy,
                          Instant now, bool mayHavePredecessor)
{
    const auto found = this->managedUpstreams.find(upstream);
    if (found != this->managedUpstreams.end()) {
        found->second.adaptiveLimit.setPolicy(policy);
        return;
    }
    ManagedUpstream managed {ConcurrencyLimit(policy), Condition::Serving, now, false, {}, 0.0, {}};
    if (mayHavePredecessor) {
        managed.grantsFrom = now + warmLeaseDuration + margin;
        managed.initializeFromUse = true;
    }
    this->managedUpstreams.emplace(upstream, std::move(managed));
}

void LeaseManager::stopManaging(const std::string &upstream)
{
    this->managedUpstreams.erase(upstream);
}

void LeaseManager::setCondition(const std::string &upstream, Condition condition)
{
    const auto found = this->managedUpstreams.find(upstream);
    if (found != this->managedUpstreams.end()) {
        found->second.condition = condition;
    }
}

std::uint32_t LeaseManager::committedBy(const Holder &holder)
{
    // The lease counts after its expiry, too: attempts that a silent holder started under it may
    // still be running.
    return std::max({holder.inUse, holder.granted, holder.standalone});
}

std::uint32_t LeaseManager::totalCommitted(const ManagedUpstream &managed)
{
    std::uint32_t sum = 0;
    for (const auto &[name, holder] : managed.holders) {
        sum += committedBy(holder);
    }
    return sum;
}

std::uint32_t LeaseManager::availableTo(const ManagedUpstream &managed, const std::string &holder)
{
    auto others = static_cast<std::uint32_t>(std::lround(managed.unreportedAttempts));
    for (const auto &[name, other] : managed.holders) {
        if (name != holder) {
            others += committedBy(other);
        }
    }
    const std::uint32_t limit = managed.adaptiveLimit.limit();
    return limit > others ? limit - others : 0;
}

bool LeaseManager::wantsMore(const Holder &holder, Instant now)
{
    const bool recent = now - holder.lastHeard < warmLeaseDuration;
    return recent && holder.inUse + holder.wanted > holder.granted;
}

double LeaseManager::waitingWeight(const ManagedUpstream &managed, const Holder &holder,
                                   Instant now)
{
    double sum = 0.0;
    for (const WorkspaceUsage &use : holder.workspaces) {
        if (!use.queued) {
            continue;
        }
        double waitingHolders = 0.0;
        for (const auto &[name, other] : managed.holders) {
            const bool recent = now - other.lastHeard < warmLeaseDuration;
            const bool waits = std::any_of(
                other.workspaces.begin(), other.workspaces.end(), [&](const WorkspaceUsage &each) {
                    return each.queued && each.workspace == use.workspace;
                });
            waitingHolders += recent && waits ? 1.0 : 0.0;
        }
        sum += use.weight / std::max(waitingHolders, 1.0);
    }
    return sum;
}

std::uint32_t LeaseManager::fairShare(const ManagedUpstream &managed, const Holder &holder,
                                      Instant now)
{
    double all = 0.0;
    std::uint32_t requestingHolders = 0;
    for (const auto &[name, other] : managed.holders) {
        const bool recent = now - other.lastHeard < warmLeaseDuration;
        if (recent && other.inUse + other.wanted > 0) {
            requestingHolders += 1;
            all += waitingWeight(managed, other, now);
        }
    }
    const std::uint32_t limit = managed.adaptiveLimit.limit();
    const double own = waitingWeight(managed, holder, now);
    // A holder that does not report waiting workspaces gets an even share.
    const double share = all > 0.0 && own > 0.0 ? own / all : 1.0 / std::max(requestingHolders, 1U);
    return std::max(static_cast<std::uint32_t>(std::lround(share * limit)), 1U);
}

std::uint32_t LeaseManager::grantFor(ManagedUpstream &managed, const LeaseRequest &request,
                                     Instant now)
{
    if (managed.condition != Condition::Serving || now < managed.grantsFrom) {
        return 0;
    }
    const Holder &holder = managed.holders.at(request.holder);
    const std::uint32_t needed = request.inUse + request.wanted;
    if (needed == 0) {
        return 0;
    }
    const std::uint32_t available = availableTo(managed, request.holder);
    const bool othersWait
        = std::any_of(managed.holders.begin(), managed.holders.end(), [&](const auto &each) {
              return each.first != request.holder && wantsMore(each.second, now);
          });
    if (othersWait || available < needed) {
        managed.contendedUntil = now + contentionDuration;
    }
    if (othersWait) {
        return std::min({available, needed, fairShare(managed, holder, now)});
    }
    const std::uint32_t spare = managed.adaptiveLimit.isWarm() ? spareSlots + needed / 4 : 0;
    return std::min(available, needed + spare);
}

void LeaseManager::recordUsage(ManagedUpstream &managed, const LeaseRequest &request)
{
    for (auto &[name, other] : managed.holders) {
        if (name == request.holder) {
            continue;
        }
        for (RemoteUsage &remote : other.remoteUsage) {
            for (const WorkspaceUsage &use : request.workspaces) {
                remote.served += use.workspace == remote.workspace ? use.served : 0;
            }
        }
    }
    Holder &holder = managed.holders.at(request.holder);
    std::vector<RemoteUsage> remoteUsage;
    holder.workspaces.clear();
    for (const WorkspaceUsage &use : request.workspaces) {
        if (holder.workspaces.size() >= maxReportedWorkspaces) {
            break;
        }
        holder.workspaces.push_back(use);
        if (use.queued) {
            remoteUsage.push_back({use.workspace, 0});
        }
    }
    holder.remoteUsage = std::move(remoteUsage);
}

void LeaseManager::addObservations(ManagedUpstream &managed, const LeaseRequest &request,
                                   Instant now, std::vector<journal::Entry> &entries)
{
    std::uint32_t outstanding = 0;
    for (const auto &[name, holder] : managed.holders) {
        outstanding += holder.inUse;
    }
    const std::uint32_t before = managed.adaptiveLimit.limit();
    const LimitChangeReason reason
        = managed.adaptiveLimit.addObservations(request.observations, outstanding, now);
    logLimitChange(request.upstream, reason, before, managed.adaptiveLimit.limit(), entries);
}

void LeaseManager::removeSilentHolders(ManagedUpstream &managed, Instant now)
{
    for (auto each = managed.holders.begin(); each != managed.holders.end();) {
        const Holder &holder = each->second;
        const bool silent = now - holder.lastHeard > standaloneDuration + margin;
        each = silent ? managed.holders.erase(each) : std::next(each);
    }
}

LeaseGrant LeaseManager::handle(const LeaseRequest &request, std::size_t memberCount, Instant now,
                                std::vector<journal::Entry> &entries)
{
    const auto found = this->managedUpstreams.find(request.upstream);
    if (found == this->managedUpstreams.end()) {
        return refusedGrant(request.upstream);
    }
    ManagedUpstream &managed = found->second;
    if (managed.holders.count(request.holder) == 0 && managed.holders.size() >= maxHolders) {
        removeSilentHolders(managed, now);
        if (managed.holders.size() >= maxHolders) {
            return refusedGrant(request.upstream);
        }
    }
    Holder &holder = managed.holders[request.holder];
    holder.inUse = request.inUse;
    holder.wanted = request.wanted;
    holder.lastHeard = now;
    holder.standalone = 0;
    if (managed.initializeFromUse && now >= managed.grantsFrom) {
        managed.initializeFromUse = false;
        managed.adaptiveLimit.raiseTo(totalCommitted(managed), now);
    }
    this->addObservations(managed, request, now, entries);
    LeaseGrant grant;
    grant.remoteUsage = std::exchange(holder.remoteUsage, {});
    recordUsage(managed, request);
    grant.upstream = request.upstream;
    grant.concurrency = grantFor(managed, request, now);
    grant.duration = managed.adaptiveLimit.isWarm() ? warmLeaseDuration : coldLeaseDuration;
    grant.contended = now < managed.contendedUntil;
    holder.granted = grant.concurrency;
    if (managed.adaptiveLimit.isWarm() && grant.concurrency > 0) {
        const auto members = static_cast<std::uint32_t>(std::max<std::size_t>(memberCount, 1));
        grant.standalone = std::min(managed.adaptiveLimit.limit() / members, grant.concurrency);
        grant.standaloneDuration = standaloneDuration;
    }
    holder.standalone = grant.standalone;
    const std::uint32_t committed = std::max(totalCommitted(managed), 1U);
    grant.memoryShare = std::max(grant.concurrency, request.inUse) / static_cast<double>(committed);
    return grant;
}

void LeaseManager::recordBoot(const std::string &upstream, std::uint64_t boot, Instant now,
                              std::vector<journal::Entry> &entries)
{
    const auto found = this->managedUpstreams.find(upstream);
    if (found == this->managedUpstreams.end()) {
        return;
    }
    const std::uint32_t before = found->second.adaptiveLimit.limit();
    const LimitChangeReason reason = found->second.adaptiveLimit.recordBoot(boot, now);
    logLimitChange(upstream, reason, before, found->second.adaptiveLimit.limit(), entries);
}

void LeaseManager::recordActiveGenerations(const std::string &upstream,
                                           std::uint32_t activeGenerations)
{
    const auto found = this->managedUpstreams.find(upstream);
    if (found == this->managedUpstreams.end()) {
        return;
    }
    ManagedUpstream &managed = found->second;
    const std::uint32_t own = totalCommitted(managed);
    const double unreported = activeGenerations > own ? activeGenerations - own : 0;
    // The estimate moves halfway at a time. Two managers that yielded in full at the same moment
    // would also return in full at the same moment, and oscillate.
    managed.unreportedAttempts = (managed.unreportedAttempts + unreported) / 2.0;
}

void LeaseManager::resetToCold(const std::string &upstream, Instant now,
                               std::vector<journal::Entry> &entries)
{
    const auto found = this->managedUpstreams.find(upstream);
    if (found == this->managedUpstreams.end()) {
        return;
    }
    const std::uint32_t before = found->second.adaptiveLimit.limit();
    const LimitChangeReason reason = found->second.adaptiveLimit.resetToCold(now);
    logLimitChange(upstream, reason, before, found->second.adaptiveLimit.limit(), entries);
}

void LeaseManager::advanceTime(Instant now, std::vector<journal::Entry> &entries)
{
    for (auto &[upstream, managed] : this->managedUpstreams) {
        const std::uint32_t before = managed.adaptiveLimit.limit();
        const LimitChangeReason reason = managed.adaptiveLimit.decayIfIdle(now);
        logLimitChange(upstream, reason, before, managed.adaptiveLimit.limit(), entries);
        removeSilentHolders(managed, now);
    }
}

bool LeaseManager::manages(const std::string &upstream) const
{
    return this->managedUpstreams.count(upstream) > 0;
}

std::uint32_t LeaseManager::limit(const std::string &upstream) const
{
    const auto found = this->managedUpstreams.find(upstream);
    return found == this->managedUpstreams.end() ? 0 : found->second.adaptiveLimit.limit();
}

std::uint32_t LeaseManager::committed(const std::string &upstream) const
{
    const auto found = this->managedUpstreams.find(upstream);
    return found == this->managedUpstreams.end() ? 0 : totalCommitted(found->second);
}

bool LeaseManager::isWarm(const std::string &upstream) const
{
    const auto found = this->managedUpstreams.find(upstream);
    return found != this->managedUpstreams.end() && found->second.adaptiveLimit.isWarm();
}

std::vector<std::string> LeaseManager::upstreams() const
{
    std::vector<std::string> names;
    for (const auto &[name, managed] : this->managedUpstreams) {
        names.push_back(name);
    }
    return names;
}

} // namespace azurespindle::decision
