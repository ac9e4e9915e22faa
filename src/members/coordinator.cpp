#include "members/coordinator.h"

#include "configuration/vm_list.h"

#include <algorithm>
#include <utility>

namespace azurespindle::members {
namespace {

/// Heartbeat intervals between two attempts to connect to the seeds and to a dead member.
constexpr std::uint64_t seedRetryTicks = 4;

WatchCallbacks watchCallbacks(Coordinator &owner, DocumentKind kind, journal::Journal &journal)
{
    return {[&owner, kind](const std::string &text) { owner.offer(kind, text, "service"); },
            [&journal, kind] {
                journal.record(
                    {journal::EventId::ConfigurationServiceLost, {{"document", name(kind)}}});
            },
            [&journal, kind] {
                journal.record(
                    {journal::EventId::ConfigurationServiceBack, {{"document", name(kind)}}});
            }};
}

std::string watchUrl(const std::string &base, const char *path)
{
    return base.empty() ? "" : base + path;
}

} // namespace

Coordinator::Coordinator(const settings::Settings &settings, MemberRecord self,
                         http::Client &client, timer::TimerService &timers,
                         metrics::Registry &registry, journal::Journal &journal,
                         CoordinatorHooks hooks)
    : settings(settings), timers(timers), journal(journal), hooks(std::move(hooks)),
      started(monotonicNow()), membership(std::move(self)), seeds(settings.seeds),
      configurationWatch(watchUrl(settings.configurationService, "/configuration"), client, timers,
                         registry, watchCallbacks(*this, DocumentKind::Configuration, journal)),
      vmListWatch(watchUrl(settings.vmList, "/vms"), client, timers, registry,
                  watchCallbacks(*this, DocumentKind::VmList, journal)),
      network(settings.memberAddress, registry,
              {[this](const MemberRecord &record) { this->onHello(record); },
               [this](const std::string &from, const Message &message, std::size_t bytes) {
                   this->onMessage(from, message, bytes);
               },
               [this](const std::string &from, const Error &error) {
                   this->journal.record({journal::EventId::FrameRefused,
                                         {{"member", from}, {"detail", error.message()}}});
               },
               this->hooks.isReachable})
{ }

std::error_code Coordinator::start()
{
    this->network.setSelf(this->self());
    const std::error_code error = this->network.start();
    if (error) {
        return error;
    }
    this->timers.subscribe(Membership::heartbeatInterval, [this] { this->tick(); });
    this->dialSeeds();
    this->timers.after(firstPeerTimeout, [this] { this->updateWatches(); });
    return {};
}

void Coordinator::setSeeds(std::vector<settings::Address> seeds)
{
    const std::lock_guard lock(this->mutex);
    this->seeds = std::move(seeds);
}

void Coordinator::stop()
{
    this->configurationWatch.setActive(false);
    this->vmListWatch.setActive(false);
    this->network.stop();
}

void Coordinator::leave()
{
    Records changed;
    {
        const std::lock_guard lock(this->mutex);
        changed = this->membership.leave();
    }
    this->network.setSelf(this->self());
    this->sendToNeighbours(MembershipUpdate {changed, false});
}

void Coordinator::dialSeeds()
{
    std::vector<std::string> addresses;
    {
        const std::lock_guard lock(this->mutex);
        addresses = this->vmListAddresses;
        for (const settings::Address &seed : this->seeds) {
            addresses.push_back(seed.text());
        }
    }
    const std::string own = this->self().memberAddress;
    for (const std::string &address : addresses) {
        const std::vector<MemberRecord> active = this->activeMembers();
        const bool isKnown = std::any_of(active.begin(), active.end(), [&](const auto &each) {
            return each.memberAddress == address;
        });
        if (!isKnown && address != own) {
            this->network.dial(address);
        }
    }
}

// Periodic work --------------------------------------------------------------------------------

void Coordinator::tick()
{
    Records changed;
    std::optional<MemberRecord> dead;
    std::vector<std::string> silent;
    {
        const std::lock_guard lock(this->mutex);
        const Instant now = monotonicNow();
        this->tickCount += 1;
        for (auto each = this->inboundHeartbeats.begin(); each != this->inboundHeartbeats.end();) {
            const bool expired = now - each->second > Membership::suspectAfter;
            each = expired ? this->inboundHeartbeats.erase(each) : std::next(each);
        }
        changed = this->membership.checkTimeouts(now);
        dead = this->membership.deadMemberToRetry(this->tickCount / seedRetryTicks);
        for (const MemberRecord &neighbour : this->membership.neighbours()) {
            if (this->membership.sinceLastHeard(neighbour.name, now) > Membership::reconnectAfter) {
                silent.push_back(neighbour.name);
            }
        }
    }
    for (const std::string &member : silent) {
        this->network.drop(member);
    }
    if (dead && this->tickCount % seedRetryTicks == 0) {
        // An old connection to it may still appear open, which would prevent a new one.
        this->network.drop(dead->name);
        this->network.dial(dead->memberAddress);
    }
    if (this->tickCount % seedRetryTicks == 0) {
        this->dialSeeds();
    }
    this->publishChanges(changed);
    this->sendHeartbeats();
    this->updateWatches();
}

Heartbeat Coordinator::heartbeat() const
{
    const MemberRecord &own = this->membership.self();
    Heartbeat heartbeat;
    heartbeat.incarnation = own.incarnation;
    heartbeat.configurationRevision = this->documents.revision(DocumentKind::Configuration);
    heartbeat.vmListRevision = this->documents.revision(DocumentKind::VmList);
    heartbeat.refusedRevision = this->documents.refusedRevision();
    heartbeat.membershipDigest = this->membership.digest();
    heartbeat.blockedRequestsDigest = this->crashLog.digest(monotonicNow());
    return heartbeat;
}

void Coordinator::sendHeartbeats()
{
    Heartbeat heartbeat;
    std::vector<MemberRecord> chosen;
    std::vector<MemberRecord> inbound;
    {
        const std::lock_guard lock(this->mutex);
        heartbeat = this->heartbeat();
        chosen = this->membership.neighbours();
        inbound = this->inboundNeighbours(chosen);
    }
    // Inbound neighbours get heartbeats without toNeighbour set. Otherwise two members would keep
    // each other as inbound neighbours after neither has the other as its neighbour any more.
    for (const MemberRecord &neighbour : inbound) {
        this->network.send(neighbour, heartbeat);
    }
    heartbeat.toNeighbour = true;
    for (const MemberRecord &neighbour : chosen) {
        this->network.send(neighbour, heartbeat);
    }
}

std::vector<MemberRecord>
Coordinator::inboundNeighbours(const std::vector<MemberRecord> &excluded) const
{
    std::vector<MemberRecord> inbound;
    const Instant now = monotonicNow();
    for (const auto &[name, lastHeard] : this->inboundHeartbeats) {
        const std::string &member = name;
        const bool isExcluded = std::any_of(excluded.begin(), excluded.end(),
                                            [&](const auto &each) { return each.name == member; });
        const auto record = this->membership.find(member);
        if (!isExcluded && record && now - lastHeard < Membership::suspectAfter) {
            inbound.push_back(*record);
        }
    }
    return inbound;
}

void Coordinator::sendToNeighbours(const Message &message)
{
    std::vector<MemberRecord> neighbours;
    {
        const std::lock_guard lock(this->mutex);
        neighbours = this->membership.neighbours();
        const std::vector<MemberRecord> inbound = this->inboundNeighbours(neighbours);
        neighbours.insert(neighbours.end(), inbound.begin(), inbound.end());
    }
    this->network.sendToAll(std::move(neighbours), message);
}

void Coordinator::gossip(const Records &changed)
{
    if (!changed.empty()) {
        this->sendToNeighbours(MembershipUpdate {changed, false});
    }
}

void Coordinator::publishChanges(const Records &changed)
{
    std::vector<journal::Entry> entries;
    MemberRecord own;
    {
        const std::lock_guard lock(this->mutex);
        entries = this->membership.takeJournalEntries();
        own = this->membership.self();
    }
    this->record(std::move(entries));
    if (!changed.empty()) {
        this->network.setSelf(own);
        this->gossip(changed);
        this->hooks.onMembersChanged();
    }
}

void Coordinator::record(std::vector<journal::Entry> entries)
{
    for (journal::Entry &entry : entries) {
        this->journal.record(std::move(entry));
    }
}

void Coordinator::updateWatches()
{
    if (!this->isSettled()) {
        return;
    }
    bool watching = false;
    {
        const std::lock_guard lock(this->mutex);
        std::vector<std::string> names;
        for (const MemberRecord &each :
             this->membership.activeInZone(this->membership.self().zone)) {
            names.push_back(each.name);
        }
        for (std::size_t rank = 0; rank < watchersPerZone && !names.empty(); ++rank) {
            const std::size_t chosen = *rendezvousIndex(names, "watch");
            watching = watching || names[chosen] == this->membership.self().name;
            names.erase(names.begin() + static_cast<std::ptrdiff_t>(chosen));
        }
    }
    this->configurationWatch.setActive(watching);
    this->vmListWatch.setActive(watching);
}

// Documents ------------------------------------------------------------------------------------

DocumentWatch &Coordinator::watch(DocumentKind kind)
{
    return kind == DocumentKind::Configuration ? this->configurationWatch : this->vmListWatch;
}

void Coordinator::offer(DocumentKind kind, const std::string &text, const std::string &source)
{
    OfferOutcome outcome;
    {
        const std::lock_guard lock(this->mutex);
        outcome = this->documents.offer(kind, text, source);
        if (outcome.accepted && kind == DocumentKind::VmList) {
            json::Faults ignoredFaults;
            this->vmListAddresses = configuration::entryAddresses(
                configuration::parseVmList(outcome.document, ignoredFaults));
        }
    }
    this->watch(kind).setKnownRevision(outcome.knownRevision);
    if (outcome.entry) {
        this->journal.record(*outcome.entry);
    }
    if (outcome.accepted) {
        this->sendHeartbeats();
        this->hooks.onDocument(kind, outcome.document);
    }
}

// Queries --------------------------------------------------------------------------------------

std::uint64_t Coordinator::memberChanges() const
{
    const std::lock_guard lock(this->mutex);
    return this->membership.changeCount();
}

std::vector<MemberRecord> Coordinator::activeMembers() const
{
    const std::lock_guard lock(this->mutex);
    return this->membership.active();
}

std::vector<MemberRecord> Coordinator::allMembers() const
{
    const std::lock_guard lock(this->mutex);
    return this->membership.records();
}

std::string Coordinator::ownerInZone(const std::string &zone, const std::string &key) const
{
    const std::lock_guard lock(this->mutex);
    return ownerAmong(this->membership.activeInZone(zone), key);
}

std::string Coordinator::ownerOf(const std::string &key) const
{
    const std::lock_guard lock(this->mutex);
    return ownerAmong(this->membership.active(), key);
}

std::string Coordinator::ownerAmong(const std::vector<MemberRecord> &candidates,
                                    const std::string &key)
{
    std::vector<std::string> names;
    names.reserve(candidates.size());
    for (const MemberRecord &each : candidates) {
        names.push_back(each.name);
    }
    const auto chosen = rendezvousIndex(names, key);
    return chosen ? names[*chosen] : std::string();
}

std::optional<MemberRecord> Coordinator::find(const std::string &name) const
{
    const std::lock_guard lock(this->mutex);
    return this->membership.find(name);
}

std::vector<MemberStatus> Coordinator::status() const
{
    const std::lock_guard lock(this->mutex);
    const Instant now = monotonicNow();
    std::vector<MemberStatus> all;
    for (const MemberRecord &record : this->membership.records()) {
        MemberStatus status {record, microseconds(0), {}};
        if (record.name == this->membership.self().name) {
            status.heartbeat = this->heartbeat();
        } else {
            status.sinceLastHeard = this->membership.sinceLastHeard(record.name, now);
            const Heartbeat *found = this->heartbeats.find(record.name);
            status.heartbeat = found == nullptr ? Heartbeat {} : *found;
        }
        all.push_back(status);
    }
    return all;
}

MemberRecord Coordinator::self() const
{
    const std::lock_guard lock(this->mutex);
    return this->membership.self();
}

std::uint64_t Coordinator::revision(DocumentKind kind) const
{
    const std::lock_guard lock(this->mutex);
    return this->documents.revision(kind);
}

std::string Coordinator::refusedConfiguration() const
{
    const std::lock_guard lock(this->mutex);
    return this->documents.refusal();
}

bool Coordinator::isSettled() const
{
    const std::lock_guard lock(this->mutex);
    return this->peerHeard || monotonicNow() - this->started >= firstPeerTimeout;
}

} // namespace azurespindle::members
