#include "members/coordinator.h"

#include "configuration/vm_list.h"

#include <algorithm>
#include <utility>

namespace azurespindle::members {
namespace {

constexpr std::uint64_t seedTurns = 4; ///< Heartbeats between two tries of the seeds.

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
               [this](const std::string &from, const Message &message) {
                   this->onMessage(from, message);
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
    this->timers.after(firstPeerTimeout, [this] { this->chooseWatch(); });
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
    News news;
    {
        const std::lock_guard lock(this->mutex);
        news = this->membership.leave();
    }
    this->network.setSelf(this->self());
    this->tellNeighbours(MembershipUpdate {news, false});
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
        const bool known = std::any_of(active.begin(), active.end(), [&](const auto &each) {
            return each.memberAddress == address;
        });
        if (!known && address != own) {
            this->network.dial(address);
        }
    }
}

// Time -----------------------------------------------------------------------------------------

void Coordinator::tick()
{
    News news;
    std::optional<MemberRecord> lost;
    std::vector<std::string> silent;
    {
        const std::lock_guard lock(this->mutex);
        const Instant now = monotonicNow();
        this->turn += 1;
        for (auto each = this->chosenBy.begin(); each != this->chosenBy.end();) {
            const bool old = now - each->second > Membership::suspectAfter;
            each = old ? this->chosenBy.erase(each) : std::next(each);
        }
        news = this->membership.checkTimeouts(now);
        lost = this->membership.deadMemberToRetry(this->turn / seedTurns);
        for (const MemberRecord &neighbour : this->membership.neighbours()) {
            if (this->membership.sinceLastHeard(neighbour.name, now) > Membership::reconnectAfter) {
                silent.push_back(neighbour.name);
            }
        }
    }
    for (const std::string &member : silent) {
        this->network.drop(member);
    }
    if (lost && this->turn % seedTurns == 0) {
        // An old connection to it may still look open, and would keep the new one from being made.
        this->network.drop(lost->name);
        this->network.dial(lost->memberAddress);
    }
    if (this->turn % seedTurns == 0) {
        this->dialSeeds();
    }
    this->afterChange(news);
    this->beat();
    this->chooseWatch();
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
    return heartbeat;
}

void Coordinator::beat()
{
    Heartbeat heartbeat;
    std::vector<MemberRecord> chosen;
    std::vector<MemberRecord> choosing;
    {
        const std::lock_guard lock(this->mutex);
        heartbeat = this->heartbeat();
        chosen = this->membership.neighbours();
        choosing = this->choosers(chosen);
    }
    // The answer to a member that merely chose this one does not choose it back: two members
    // would otherwise keep up a link that neither of them chose.
    for (const MemberRecord &neighbour : choosing) {
        this->network.send(neighbour, heartbeat);
    }
    heartbeat.chosen = true;
    for (const MemberRecord &neighbour : chosen) {
        this->network.send(neighbour, heartbeat);
    }
}

std::vector<MemberRecord> Coordinator::choosers(const std::vector<MemberRecord> &except) const
{
    std::vector<MemberRecord> choosing;
    const Instant now = monotonicNow();
    for (const auto &[name, heard] : this->chosenBy) {
        const std::string &member = name;
        const bool listed = std::any_of(except.begin(), except.end(),
                                        [&](const auto &each) { return each.name == member; });
        const auto record = this->membership.find(member);
        if (!listed && record && now - heard < Membership::suspectAfter) {
            choosing.push_back(*record);
        }
    }
    return choosing;
}

void Coordinator::tellNeighbours(const Message &message)
{
    std::vector<MemberRecord> neighbours;
    {
        const std::lock_guard lock(this->mutex);
        neighbours = this->membership.neighbours();
        const std::vector<MemberRecord> choosing = this->choosers(neighbours);
        neighbours.insert(neighbours.end(), choosing.begin(), choosing.end());
    }
    for (const MemberRecord &neighbour : neighbours) {
        this->network.send(neighbour, message);
    }
}

void Coordinator::spread(const News &news)
{
    if (!news.empty()) {
        this->tellNeighbours(MembershipUpdate {news, false});
    }
}

void Coordinator::afterChange(const News &news)
{
    std::vector<journal::Entry> entries;
    MemberRecord own;
    {
        const std::lock_guard lock(this->mutex);
        entries = this->membership.takeJournalEntries();
        own = this->membership.self();
    }
    this->record(std::move(entries));
    if (!news.empty()) {
        this->network.setSelf(own);
        this->spread(news);
        this->hooks.onMembersChanged();
    }
}

void Coordinator::record(std::vector<journal::Entry> entries)
{
    for (journal::Entry &entry : entries) {
        this->journal.record(std::move(entry));
    }
}

void Coordinator::chooseWatch()
{
    if (!this->isSettled()) {
        return;
    }
    bool watches = false;
    {
        const std::lock_guard lock(this->mutex);
        std::vector<std::string> names;
        for (const MemberRecord &each :
             this->membership.activeInZone(this->membership.self().zone)) {
            names.push_back(each.name);
        }
        for (std::size_t rank = 0; rank < watchersPerZone && !names.empty(); ++rank) {
            const std::size_t chosen = *rendezvousIndex(names, "watch");
            watches = watches || names[chosen] == this->membership.self().name;
            names.erase(names.begin() + static_cast<std::ptrdiff_t>(chosen));
        }
    }
    this->configurationWatch.setActive(watches);
    this->vmListWatch.setActive(watches);
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
            json::Faults none;
            this->vmListAddresses
                = configuration::entryAddresses(configuration::parseVmList(outcome.document, none));
        }
    }
    this->watch(kind).setKnown(outcome.known);
    if (outcome.entry) {
        this->journal.record(*outcome.entry);
    }
    if (outcome.accepted) {
        this->beat();
        this->hooks.onDocument(kind, outcome.document);
    }
}

// Queries --------------------------------------------------------------------------------------

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
    return choose(this->membership.activeInZone(zone), key);
}

std::string Coordinator::ownerOf(const std::string &key) const
{
    const std::lock_guard lock(this->mutex);
    return choose(this->membership.active(), key);
}

std::string Coordinator::choose(const std::vector<MemberRecord> &among, const std::string &key)
{
    std::vector<std::string> names;
    names.reserve(among.size());
    for (const MemberRecord &each : among) {
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
