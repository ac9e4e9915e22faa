// The part of Router that takes events in and hands them to the other parts.

#include "routing/router.h"

#include <algorithm>
#include <utility>

namespace azurespindle::routing {
namespace {

/// Odd multiplier that spreads consecutive numbers over all bits.
constexpr std::uint64_t spreadMultiplier = 0x9E3779B97F4A7C15ULL;
constexpr unsigned spreadShift = 33;
/// An engine that leaves is gone long before.
constexpr seconds leavingMemory {60};
/// How long after its notice a leaving engine may still get back a run that it stopped.
constexpr milliseconds leavingReturn {1'300};
/// How long a process tells its peers what it found out about an upstream.
constexpr milliseconds noteTime {1'500};
/// How long an upstream at whose address nothing listens gets nothing.
constexpr milliseconds refusingTime {2'500};
/// Two upstreams of another zone that cannot be reached within this time speak for a cut.
constexpr milliseconds cutWindow {2'000};
/// How long a zone is then taken for cut off.
constexpr milliseconds cutTime {1'500};

} // namespace

const char *name(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Complete:
        return "complete";
    case AttemptEnd::NotSent:
        return "not-sent";
    case AttemptEnd::ConnectionRefused:
        return "refused";
    case AttemptEnd::Lost:
        return "lost";
    case AttemptEnd::TimedOut:
        return "timed-out";
    }
    return "unknown";
}

const char *name(MigrationStatus status)
{
    switch (status) {
    case MigrationStatus::Copied:
        return "copied";
    case MigrationStatus::NotRunning:
        return "no-such-run";
    case MigrationStatus::InProgress:
        return "in-progress";
    case MigrationStatus::NoCapacity:
        return "no-room";
    case MigrationStatus::Failed:
        return "failed";
    }
    return "unknown";
}

Router::Router(RouterOptions options) : options(std::move(options)), turn(this->options.seed)
{
    this->budget.setLimits(this->options.arrivals);
}

RouterEffects Router::handle(const RouterEvent &event, Instant at)
{
    this->now = at;
    std::visit([this](const auto &each) { this->on(each); }, event);
    return std::exchange(this->effects, {});
}

RouterStatus Router::status() const
{
    RouterStatus status = this->counts;
    status.openRequests = this->open.size();
    status.queuedRequests = this->queue.size();
    for (const auto &[id, each] : this->open) {
        status.migratingGenerations += each.move ? 1 : 0;
    }
    return status;
}

std::uint64_t Router::nextTurn()
{
    this->turn += 1;
    return (this->turn * spreadMultiplier) >> spreadShift;
}

Router::Open *Router::find(RequestId id)
{
    const auto found = this->open.find(id);
    return found == this->open.end() ? nullptr : &found->second;
}

Router::Open *Router::findCurrent(const AttemptId &attempt)
{
    Open *found = this->find(attempt.request);
    const bool current = found != nullptr && found->attempt == attempt.number;
    return current ? found : nullptr;
}

const UpstreamRecord *Router::record(const std::string &id) const
{
    const auto found = this->state->upstreams.find(id);
    return found == this->state->upstreams.end() ? nullptr : &found->second;
}

void Router::journal(const Open &open, journal::EventId id, std::vector<journal::Field> fields)
{
    fields.insert(fields.begin(), {"request", open.request->callerRequestId});
    this->emit(WriteJournal {{id, std::move(fields)}});
}

void Router::on(const CallerLeft &event)
{
    Open *left = this->find(event.id);
    if (left == nullptr) {
        return;
    }
    this->journal(*left, journal::EventId::CallerLeft,
                  {{"events", std::to_string(left->events)},
                   {"afterMs", std::to_string((this->now - left->arrived).count() / 1'000)}});
    this->cancel(*left);
    this->close(event.id);
    this->dispatch();
}

void Router::on(const FleetStateChanged &event)
{
    for (const auto &[id, record] : event.state->upstreams) {
        const UpstreamRecord *before = this->record(id);
        const bool fresh = before == nullptr || before->incarnation != record.incarnation;
        const bool colder = before != nullptr && record.coldTimeLeft > before->coldTimeLeft;
        if (!record.draining) {
            this->leavingSince.erase(id);
        } else {
            this->leavingSince.try_emplace(id, this->now);
        }
        if ((fresh || colder) && record.coldTimeLeft.count() > 0) {
            this->coldUntil[id] = this->now + record.coldTimeLeft;
        }
    }
    this->state = event.state;
    this->resolveLosses();
    for (auto cold = this->coldUntil.begin(); cold != this->coldUntil.end();) {
        cold = cold->second < this->now ? this->coldUntil.erase(cold) : std::next(cold);
    }
    this->on(TimePassed {});
}

void Router::on(const EngineReportArrived &event)
{
    const UpstreamRecord *record = this->record(event.upstream);
    if (record == nullptr || (!event.report.draining && !event.report.timeUntilExit)) {
        return;
    }
    Leaving &leaving
        = this->leaving.try_emplace(event.upstream, Leaving {this->now, {}}).first->second;
    leaving.incarnation = record->incarnation;
    if (event.report.timeUntilExit) {
        leaving.gone = this->now + *event.report.timeUntilExit;
    }
    this->note({event.upstream, record->incarnation, UpstreamObservation::Kind::Draining,
                event.report.timeUntilExit.value_or(milliseconds(0))});
}

void Router::on(const StoreAvailabilityChanged &event)
{
    this->publisherAway = event.unavailable;
}

void Router::note(const UpstreamObservation &note)
{
    std::erase_if(this->notes,
                  [&](const auto &each) { return each.second.upstream == note.upstream; });
    this->notes.emplace_back(this->now, note);
}

void Router::noteUnreachable(const UpstreamRecord &upstream)
{
    if (upstream.zone == this->options.zone) {
        return;
    }
    Unreachable &zone = this->unreachable[upstream.zone];
    const bool alone = this->now - zone.since > cutWindow;
    if (alone) {
        zone.first = upstream.id;
    }
    zone.since = this->now;
    if (!alone && zone.first != upstream.id) {
        zone.until = this->now + cutTime;
    }
}

bool Router::troubled(const UpstreamRecord &record) const
{
    const auto trouble = this->troubledUntil.find(record.id);
    if (trouble != this->troubledUntil.end() && trouble->second > this->now) {
        return true;
    }
    const auto zone = this->unreachable.find(record.zone);
    const bool cut = zone != this->unreachable.end() && zone->second.until > this->now;
    return cut || this->unheard(record.zone);
}

bool Router::unheard(const std::string &zone) const
{
    return zone != this->options.zone && this->unheardZones.count(zone) > 0;
}

std::vector<UpstreamObservation> Router::takeObservations(Instant at)
{
    std::erase_if(this->notes, [at](const auto &each) { return at - each.first > noteTime; });
    std::vector<UpstreamObservation> fresh;
    for (const auto &[made, note] : this->notes) {
        UpstreamObservation told = note;
        const auto age = std::chrono::duration_cast<milliseconds>(at - made);
        told.timeUntilExit = std::max(milliseconds(0), told.timeUntilExit - age);
        fresh.push_back(told);
    }
    return fresh;
}

void Router::heed(const UpstreamObservation &note)
{
    const UpstreamRecord *record = this->record(note.upstream);
    if (record == nullptr || record->incarnation != note.incarnation) {
        return;
    }
    if (note.kind == UpstreamObservation::Kind::ConnectionRefused) {
        this->refusingUntil[note.upstream] = this->now + refusingTime;
        return;
    }
    Leaving &leaving
        = this->leaving.try_emplace(note.upstream, Leaving {this->now, {}}).first->second;
    leaving.incarnation = note.incarnation;
    if (note.timeUntilExit.count() > 0) {
        leaving.gone = this->now + note.timeUntilExit;
    }
}

bool Router::mayReceive(const UpstreamRecord &record) const
{
    const auto leaving = this->leavingSince.find(record.id);
    const bool longSince
        = leaving != this->leavingSince.end() && this->now - leaving->second > leavingReturn;
    return this->record(record.id) != nullptr && !longSince
        && this->state->evacuatedZones.count(record.zone) == 0;
}

bool Router::goesAway(const UpstreamRecord &record) const
{
    const auto refusing = this->refusingUntil.find(record.id);
    if (refusing != this->refusingUntil.end() && refusing->second > this->now) {
        return true;
    }
    const auto leaving = this->leaving.find(record.id);
    return record.draining
        || (leaving != this->leaving.end() && leaving->second.incarnation == record.incarnation);
}

void Router::on(const PeerReportArrived &event)
{
    this->loads.tell(event.peer, event.claims, event.isSnapshot, this->now);
    this->budget.tell(event.peer, event.arrivals, this->now);
    for (const UpstreamObservation &note : event.observations) {
        this->heed(note);
    }
}

void Router::on(const ZoneReportArrived &event)
{
    this->loads.tellZone(event.zone, event.claims, this->now);
    this->budget.tellZone(event.zone, event.arrivals, event.processes, this->now);
}

void Router::on(const PeerCrashReported &event)
{
    this->crashes.recordCrash(event.fingerprint, event.upstream, event.incarnation, this->now);
}

void Router::on(const ProcessesChanged &event)
{
    this->budget.setProcesses(event.count);
    this->coldShare.setProcesses(event.count);
    this->unheardZones = event.unheardZones;
}

void Router::on(const StopRequested &)
{
    this->stopping = true;
}

void Router::on(const TimePassed &)
{
    this->loads.forgetSilent(this->now);
    std::vector<RequestId> ids;
    ids.reserve(this->open.size());
    for (const auto &[id, each] : this->open) {
        ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end());
    for (const RequestId id : ids) {
        if (Open *each = this->find(id)) {
            this->checkTime(*each);
        }
        if (Open *each = this->find(id)) {
            this->checkMove(*each);
        }
        if (Open *each = this->find(id)) {
            this->checkSilence(*each);
        }
    }
    std::erase_if(this->leavingSince,
                  [this](const auto &entry) { return this->now - entry.second > leavingMemory; });
    std::erase_if(this->leaving, [this](const auto &entry) {
        return this->now - entry.second.noticed > leavingMemory;
    });
    this->dispatch();
    this->refuseHopeless();
}

} // namespace azurespindle::routing
