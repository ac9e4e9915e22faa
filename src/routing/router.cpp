// Event handling, state shared by the other parts of Router, and the knowledge about upstreams.

#include "routing/router.h"

#include <algorithm>
#include <utility>

namespace azurespindle::routing {
namespace {

/// Odd multiplier that distributes consecutive numbers over all bits.
constexpr std::uint64_t hashMultiplier = 0x9E3779B97F4A7C15ULL;
constexpr unsigned hashShift = 33;
/// Time after which records of a draining engine are dropped. Engines exit well before that.
constexpr seconds drainRecordRetention {60};
/// Time after the start of a drain within which the engine may still resume a generation that it
/// stopped.
constexpr milliseconds drainResumeWindow {1'300};
/// Time for which an observation of an upstream is reported to the peers.
constexpr milliseconds observationLifetime {1'500};
/// Time for which a relay passes an observation on: some reports, as each may be lost.
constexpr milliseconds relayedObservationLifetime {450};
/// Time for which an upstream that refused a connection receives no requests.
constexpr milliseconds connectionRefusedPenalty {2'500};
/// If two upstreams of another zone cannot be reached within this time, the zone is assumed to be
/// partitioned off.
constexpr milliseconds partitionDetectionWindow {2'000};
/// Time for which that assumption holds.
constexpr milliseconds partitionPenalty {1'500};
/// Name under which the counts of the whole fleet are kept beside those of zones.
constexpr const char *fleetName = "*";

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
    case MigrationStatus::EngineGone:
        return "engine-gone";
    }
    return "unknown";
}

Router::Router(RouterOptions options)
    : options(std::move(options)), tieBreakCounter(this->options.seed)
{
    this->retryBudget.setLimits(this->options.retryLimits);
}

RouterEffects Router::handle(const RouterEvent &event, Instant at)
{
    this->now = at;
    std::visit([this](const auto &each) { this->on(each); }, event);
    return std::exchange(this->effects, {});
}

RouterStatus Router::status() const
{
    RouterStatus status = this->counters;
    status.openRequests = this->activeRequests.size();
    this->describeQueue(status);
    for (const auto &[id, each] : this->activeRequests) {
        status.migratingGenerations += each.migration ? 1 : 0;
    }
    status.unconfirmedStops = this->runStops.size();
    return status;
}

std::uint64_t Router::nextTieBreaker()
{
    this->tieBreakCounter += 1;
    return (this->tieBreakCounter * hashMultiplier) >> hashShift;
}

Router::ActiveRequest *Router::findRequest(RequestId id)
{
    const auto found = this->activeRequests.find(id);
    return found == this->activeRequests.end() ? nullptr : &found->second;
}

std::vector<RequestId> Router::activeRequestIds() const
{
    std::vector<RequestId> ids;
    ids.reserve(this->activeRequests.size());
    for (const auto &[id, each] : this->activeRequests) {
        ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

Router::ActiveRequest *Router::findByCurrentAttempt(const AttemptId &attempt)
{
    ActiveRequest *found = this->findRequest(attempt.request);
    const bool current = found != nullptr && found->attempt == attempt.number;
    return current ? found : nullptr;
}

const UpstreamRecord *Router::findUpstream(const std::string &id) const
{
    const auto found = this->state->upstreams.find(id);
    return found == this->state->upstreams.end() ? nullptr : &found->second;
}

void Router::journal(const ActiveRequest &active, journal::EventId id,
                     std::vector<journal::Field> fields)
{
    fields.insert(fields.begin(), {"request", active.request->callerRequestId});
    this->emit(WriteJournal {{id, std::move(fields)}});
}

void Router::on(const CallerLeft &event)
{
    ActiveRequest *left = this->findRequest(event.id);
    if (left == nullptr) {
        return;
    }
    this->journal(*left, journal::EventId::CallerLeft,
                  {{"events", std::to_string(left->eventCount)},
                   {"afterMs", std::to_string((this->now - left->arrivedAt).count() / 1'000)}});
    this->cancelAttempts(*left);
    this->closeRequest(event.id);
    this->placeQueued();
}

void Router::on(const FleetStateChanged &event)
{
    for (const auto &[id, record] : event.state->upstreams) {
        const UpstreamRecord *previous = this->findUpstream(id);
        const bool isNew = previous == nullptr || previous->incarnation != record.incarnation;
        const bool colder = previous != nullptr && record.coldTimeLeft > previous->coldTimeLeft;
        if (!record.draining) {
            this->drainingSince.erase(id);
        } else {
            this->drainingSince.try_emplace(id, this->now);
        }
        if ((isNew || colder) && record.coldTimeLeft.count() > 0) {
            this->coldUntil[id] = this->now + record.coldTimeLeft;
        }
    }
    this->state = event.state;
    if (!this->coldUntil.empty()) {
        this->upstreamsOfService.clear();
        for (const auto &[id, record] : this->state->upstreams) {
            this->upstreamsOfService[record.service] += 1;
        }
    }
    const auto isCurrent = [this](const std::string &id, std::uint64_t incarnation) {
        const UpstreamRecord *record = this->findUpstream(id);
        return record != nullptr && record->incarnation == incarnation;
    };
    this->rateLimits.forgetUnless(isCurrent);
    this->pauses.forgetUnless(isCurrent, this->now);
    this->confirmCrashes();
    for (auto cold = this->coldUntil.begin(); cold != this->coldUntil.end();) {
        cold = cold->second < this->now ? this->coldUntil.erase(cold) : std::next(cold);
    }
    this->on(TimePassed {});
}

void Router::on(const EngineReportArrived &event)
{
    const UpstreamRecord *record = this->findUpstream(event.upstream);
    if (record == nullptr || (!event.report.draining && !event.report.timeUntilExit)) {
        return;
    }
    DrainNotice *notice = this->noteDrain(event.upstream, record->incarnation);
    if (notice != nullptr && event.report.timeUntilExit) {
        notice->exitsAt = this->now + *event.report.timeUntilExit;
    }
    const UpstreamObservation observation {event.upstream, record->incarnation,
                                           UpstreamObservation::Kind::Draining,
                                           event.report.timeUntilExit.value_or(milliseconds(0))};
    this->recordObservation(observation);
    this->applyObservation(observation, ObservationSource::Self);
}

void Router::on(const StoreAvailabilityChanged &event)
{
    this->storeUnavailable = event.unavailable;
}

void Router::recordObservation(const UpstreamObservation &observation)
{
    std::erase_if(this->observations,
                  [&](const auto &each) { return each.second.upstream == observation.upstream; });
    this->observations.emplace_back(this->now, observation);
}

void Router::noteUnreachable(const UpstreamRecord &upstream)
{
    if (upstream.zone == this->options.zone) {
        return;
    }
    UnreachableZone &zone = this->unreachableZones[upstream.zone];
    const bool firstFailure = this->now - zone.lastFailureAt > partitionDetectionWindow;
    if (firstFailure) {
        zone.firstUpstream = upstream.id;
    }
    zone.lastFailureAt = this->now;
    if (!firstFailure && zone.firstUpstream != upstream.id) {
        zone.partitionedUntil = this->now + partitionPenalty;
    }
}

bool Router::isUnreliable(const UpstreamRecord &record) const
{
    const auto unreliable = this->unreliableUntil.find(record.id);
    if (unreliable != this->unreliableUntil.end() && unreliable->second > this->now) {
        return true;
    }
    const auto zone = this->unreachableZones.find(record.zone);
    const bool partitioned
        = zone != this->unreachableZones.end() && zone->second.partitionedUntil > this->now;
    return partitioned || this->isSilentZone(record.zone);
}

bool Router::isSilentZone(const std::string &zone) const
{
    return zone != this->options.zone && this->silentZones.count(zone) > 0;
}

std::vector<UpstreamObservation> Router::takeObservations(Instant at)
{
    std::erase_if(this->observations,
                  [at](const auto &each) { return at - each.first > observationLifetime; });
    std::vector<UpstreamObservation> recent;
    for (const auto &[observedAt, observation] : this->observations) {
        UpstreamObservation updated = observation;
        const auto age = std::chrono::duration_cast<milliseconds>(at - observedAt);
        updated.timeUntilExit = std::max(milliseconds(0), updated.timeUntilExit - age);
        recent.push_back(updated);
    }
    return recent;
}

std::vector<UpstreamObservation> Router::observationsToRelay(ObservationSource furthest,
                                                             Instant at) const
{
    std::vector<UpstreamObservation> relayed;
    for (const auto &[upstream, heard] : this->heardObservations) {
        if (heard.source <= furthest && at - heard.heardAt <= relayedObservationLifetime) {
            relayed.push_back(heard.observation);
        }
    }
    return relayed;
}

void Router::applyObservation(const UpstreamObservation &observation, ObservationSource source)
{
    const UpstreamRecord *record = this->findUpstream(observation.upstream);
    if (record == nullptr || record->incarnation != observation.incarnation) {
        return;
    }
    const auto heard = this->heardObservations.find(observation.upstream);
    const bool isNews = heard == this->heardObservations.end()
        || heard->second.observation.incarnation != observation.incarnation
        || heard->second.observation.kind != observation.kind
        || this->now - heard->second.heardAt > observationLifetime;
    if (isNews) {
        this->heardObservations[observation.upstream] = {this->now, observation, source};
    }
    if (observation.kind == UpstreamObservation::Kind::ConnectionRefused) {
        this->connectionRefusedUntil[observation.upstream] = this->now + connectionRefusedPenalty;
        return;
    }
    DrainNotice *notice = this->noteDrain(observation.upstream, observation.incarnation);
    if (notice == nullptr) {
        return;
    }
    notice->stated |= observation.kind == UpstreamObservation::Kind::Leaving;
    if (observation.timeUntilExit.count() > 0) {
        notice->exitsAt = this->now + observation.timeUntilExit;
    }
}

bool Router::acceptsTakeover(const UpstreamRecord &record) const
{
    const auto found = this->drainingSince.find(record.id);
    const auto notice = this->drainNotices.find(record.id);
    const bool statedLongAgo = notice != this->drainNotices.end() && notice->second.stated
        && notice->second.incarnation == record.incarnation
        && this->now - notice->second.noticedAt > drainResumeWindow;
    const bool drainedForLong = statedLongAgo
        || (found != this->drainingSince.end() && this->now - found->second > drainResumeWindow);
    return this->findUpstream(record.id) != nullptr && !drainedForLong
        && this->state->evacuatedZones.count(record.zone) == 0;
}

bool Router::isUnavailable(const UpstreamRecord &record) const
{
    const auto refused = this->connectionRefusedUntil.find(record.id);
    if (refused != this->connectionRefusedUntil.end() && refused->second > this->now) {
        return true;
    }
    const auto found = this->drainNotices.find(record.id);
    return record.draining
        || (found != this->drainNotices.end() && found->second.incarnation == record.incarnation);
}

void Router::on(const PeerReportArrived &event)
{
    this->loads.updatePeer(event.peer, event.claims, event.isSnapshot, this->now);
    this->retryBudget.updatePeer(event.peer, event.requestCounts, this->now);
    this->demand.fleet.updatePeer(event.peer, event.demand, this->now);
    this->mergeBlockedParts(event.blockedParts);
    for (const decision::NamedLimit &limit : event.limits) {
        this->noteLimit(limit, decision::LimitSource::Member);
    }
    for (const UpstreamObservation &observation : event.observations) {
        this->applyObservation(observation, ObservationSource::Member);
    }
}

void Router::on(const FleetReportArrived &event)
{
    this->loads.updateFleet(event.claims, event.isSnapshot, event.acknowledged, this->now);
    this->demand.fleet.updateFleet(event.demand, this->now);
    if (!event.requestCounts.empty()) {
        this->retryBudget.updateZone(fleetName, event.requestCounts, event.processes, this->now);
    }
    this->mergeBlockedParts(event.blockedParts);
    for (const decision::NamedLimit &limit : event.limits) {
        this->noteLimit(limit, decision::LimitSource::Zone);
    }
    for (const UpstreamObservation &observation : event.observations) {
        this->applyObservation(observation, ObservationSource::Relay);
    }
}

void Router::on(const PlacementsAnnounced &event)
{
    this->loads.announce(event.claims, this->now);
}

void Router::on(const ZoneReportArrived &event)
{
    for (const UpstreamObservation &observation : event.observations) {
        this->applyObservation(observation, ObservationSource::Relay);
    }
    this->mergeBlockedParts(event.blockedParts);
    for (const decision::NamedLimit &limit : event.limits) {
        this->noteLimit(limit, decision::LimitSource::Zone);
    }
    this->loads.updateZone(event.zone, event.claims, event.isSnapshot, this->now);
    this->retryBudget.updateZone(event.zone, event.requestCounts, event.processes, this->now);
    this->demand.fleet.updateZone(event.zone, event.demand, this->now);
}

void Router::on(const ProcessesChanged &event)
{
    this->retryBudget.setProcessCount(event.count);
    this->coldStartLimiter.setProcessCount(event.count);
    this->coldStartLimiter.setProcesses(event.names, this->options.name);
    this->processCount = event.count;
    this->rateLimits.setProcesses(event.names, this->options.name, this->now);
    this->silentZones = event.silentZones;
}

void Router::on(const StopRequested &event)
{
    this->stop = Stop {this->now, event.endsAt};
    this->placeQueued();
}

void Router::on(const StopTimedOut &)
{
    for (const RequestId id : this->activeRequestIds()) {
        if (ActiveRequest *each = this->findRequest(id)) {
            this->endForStop(*each);
        }
    }
}

void Router::on(const TimePassed &)
{
    this->loads.removeSilent(this->now);
    this->demand.fleet.removeSilent(this->now);
    this->judgeLosses();
    this->repeatRunStops();
    for (const RequestId id : this->activeRequestIds()) {
        if (ActiveRequest *each = this->findRequest(id)) {
            this->checkDeadline(*each);
        }
        if (ActiveRequest *each = this->findRequest(id)) {
            this->advanceMigration(*each);
        }
        if (ActiveRequest *each = this->findRequest(id)) {
            this->checkInactivity(*each);
        }
    }
    std::erase_if(this->heardObservations, [this](const auto &entry) {
        return this->now - entry.second.heardAt > observationLifetime;
    });
    std::erase_if(this->drainingSince, [this](const auto &entry) {
        return this->now - entry.second > drainRecordRetention;
    });
    std::erase_if(this->drainNotices, [this](const auto &entry) {
        const UpstreamRecord *record = this->findUpstream(entry.first);
        const bool lives = record != nullptr && record->incarnation == entry.second.incarnation;
        return this->now - entry.second.noticedAt > drainRecordRetention
            && !(entry.second.stated && lives);
    });
    this->pauses.forgetUnless([](const std::string &, std::uint64_t) { return true; }, this->now);
    this->placeQueued();
    this->rejectUnplaceable();
}

} // namespace azurespindle::routing
