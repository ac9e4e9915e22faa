// The part of Router that goes on with generations from copies of their memory: those kept
// beforehand, and those that a move has made.

#include "routing/router.h"

#include <algorithm>
#include <utility>

namespace azurespindle::routing {
namespace {

constexpr int statusOk = 200;
/// Part of an engine's memory up to which copies are taken there beforehand. The rest is for runs.
constexpr double backupLimit = 0.62;
/// Part of an engine's memory that is as bad as a copy that a cut of the zone takes away.
constexpr double farBackupCost = 0.25;
/// A copy is sent several times a second; a younger run may have none yet.
constexpr milliseconds backupSettleTime {600};
/// How often an engine is asked whether it leaves, while the store cannot tell.
constexpr milliseconds reportInterval {500};
/// Pause after a takeover that was begun beside the run and failed.
constexpr milliseconds besideRetry {300};

} // namespace

std::optional<UpstreamRecord> Router::chooseBackup(const Open &open, const UpstreamRecord &upstream,
                                                   const decision::ResourceClaim &claim)
{
    const bool worthIt = open.route->kind == RouteKind::Streaming && !open.route->resumable
        && open.service != nullptr && open.service->engine && open.service->engine->supportsBackup;
    if (!worthIt) {
        return std::nullopt;
    }
    const auto capacity = static_cast<double>(open.service->engine->memoryTokens);
    const UpstreamRecord *best = nullptr;
    double bestCost = backupLimit + farBackupCost;
    for (const auto &[id, record] : this->state->upstreams) {
        if (id == upstream.id || this->unheard(record.zone) || !this->usable(open, record)) {
            continue;
        }
        const bool troubled = this->troubled(record);
        const double part = (this->loads.totalClaim(id).memory + claim.memory) / capacity;
        // A copy near this process survives a cut of its zone, where the run itself is elsewhere.
        const bool near = upstream.zone == this->options.zone || record.zone == this->options.zone;
        const double cost = part + (near ? 0.0 : farBackupCost);
        if (!troubled && part < backupLimit && cost < bestCost) {
            best = &record;
            bestCost = cost;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

bool Router::backupUsable(const Open &open) const
{
    if (!open.backup || open.events == 0) {
        return false;
    }
    const UpstreamRecord *listed = this->record(open.backup->id);
    return listed != nullptr && !this->goesAway(*listed)
        && listed->incarnation == open.backup->incarnation && this->mayReceive(*listed)
        && !open.beside && this->now >= open.besideNotBefore;
}

bool Router::backupSettled(const Open &open) const
{
    return this->now - open.begun >= backupSettleTime;
}

void Router::watchWithoutPublisher(const Open &open)
{
    if (!this->publisherAway) {
        return;
    }
    const auto [asked, fresh] = this->reportAsked.try_emplace(open.upstream.id, this->now);
    if (fresh || this->now - asked->second >= reportInterval) {
        asked->second = this->now;
        this->emit(RequestEngineReport {open.upstream.id, open.upstream.address});
    }
}

void Router::goOnFromBackup(Open &open)
{
    const UpstreamRecord backup = *open.backup;
    const std::string source = backup.address + "/" + open.request->callerRequestId;
    this->counts.migrationsStarted += 1;
    this->journal(open, journal::EventId::MoveBegun,
                  {{"from", open.upstream.id},
                   {"to", backup.id},
                   {"reason", "backup"},
                   {"events", std::to_string(open.events)}});
    if (open.running) {
        this->startBeside(open, backup, source, false);
        return;
    }
    open.takeoverOrigin.clear();
    this->start(open, backup, this->movedClaim(open), Takeover {source});
}

void Router::startBeside(Open &open, const UpstreamRecord &to, const std::string &source,
                         bool fromMove)
{
    open.lastNumber += 1;
    open.tries += 1;
    open.arrivals += 1;
    Beside beside {open.lastNumber, to, this->movedClaim(open), fromMove};
    this->loads.add(to.id, beside.claim);
    this->budget.recordResend(open.serviceName, this->now);
    AttemptPlan plan = this->planFor(open, to);
    plan.takeover = Takeover {source};
    plan.resumeAfterEvent = open.lastEventId;
    this->journalPlaced(open, beside.number, plan);
    this->emit(StartAttempt {{open.id, beside.number}, std::move(plan), true});
    open.beside = std::move(beside);
}

void Router::promoteBeside(Open &open, const ResponseHead &head)
{
    const Beside beside = *open.beside;
    open.beside.reset();
    // The copy's claim ends with the run it was a copy of.
    if (open.running) {
        this->emit(CancelAttempt {{open.id, open.attempt}});
    }
    this->leaveUpstream(open);
    this->dropMove(open, !beside.fromMove);
    open.backup.reset();
    open.attempt = beside.number;
    open.running = true;
    open.upstream = beside.upstream;
    open.claim = beside.claim;
    open.started = this->now;
    open.begun = this->now;
    open.head = head;
    open.headSeen = true;
    open.isTakeover = true;
    open.resuming = true;
    open.takeoverOrigin.clear();
    this->counts.migrationsCompleted += 1;
    this->emit(RelayStream {{open.id, open.attempt}});
}

void Router::endBeside(Open &open, AttemptEnd end, const std::string &detail)
{
    this->journal(open, journal::EventId::AttemptFailed,
                  {{"attempt", std::to_string(open.beside->number)},
                   {"upstream", open.beside->upstream.id},
                   {"end", name(end)},
                   {"beside", "yes"},
                   {"detail", detail}});
    const bool fromMove = open.beside->fromMove;
    this->dropBeside(open);
    open.besideNotBefore = this->now + besideRetry;
    if (open.running && fromMove && open.move) {
        open.move->stage = MoveStage::Copied;
        open.move->handedInVain = true;
        return;
    }
    const bool unreachable = end == AttemptEnd::NotSent || end == AttemptEnd::TimedOut;
    if (open.running && unreachable && !this->sourceLeaves(open)) {
        return; // The path may come back, and the run itself may speak again.
    }
    if (open.running) {
        this->loads.subtract(open.backup->id, open.backupClaim);
        open.backup.reset();
        return;
    }
    open.backup.reset();
    if (!this->rescue(open, "no copy")) {
        this->breakOff(open, "the generation could not go on elsewhere: " + detail);
    }
}

void Router::dropBeside(Open &open)
{
    if (open.beside) {
        this->loads.subtract(open.beside->upstream.id, open.beside->claim);
        open.beside.reset();
    }
}

void Router::takeOver(Open &open, const UpstreamRecord &to, const std::string &origin,
                      const std::string &handle)
{
    if (!this->mayReceive(to)) {
        this->breakOff(open, "its zone is evacuated, or the engine is long since leaving");
        return;
    }
    const decision::ResourceClaim claim = this->movedClaim(open);
    if (open.move) {
        this->loads.subtract(open.move->to.id, open.move->claim);
        open.move.reset();
    }
    open.takeoverOrigin = origin;
    this->start(open, to, claim, Takeover {origin + "/" + handle});
}

void Router::concludeTakeover(Open &open, AttemptEnd end, const std::string &detail)
{
    const bool first = open.upstream.address != open.takeoverOrigin;
    const auto source = std::find_if(
        this->state->upstreams.begin(), this->state->upstreams.end(),
        [&](const auto &entry) { return entry.second.address == open.takeoverOrigin; });
    const bool unrun = end == AttemptEnd::NotSent || end == AttemptEnd::ConnectionRefused
        || (end == AttemptEnd::Complete && open.head.notRun);
    if (unrun && first && source != this->state->upstreams.end()
        && this->mayReceive(source->second)) {
        const UpstreamRecord back = source->second;
        const Takeover again = open.takeover;
        this->start(open, back, this->movedClaim(open), again);
        return;
    }
    if (this->mayRunAgain(open)) {
        open.ranOn.push_back(open.upstream.id);
        this->enqueue(open);
        return;
    }
    this->breakOff(open, "the generation could not go on elsewhere: " + detail);
}

} // namespace azurespindle::routing
