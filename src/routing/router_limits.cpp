// What upstreams state of themselves in responses: request rates for the whole fleet, pauses, and
// that they are shutting down.

#include "routing/router.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <utility>

namespace azurespindle::routing {
namespace {

constexpr int statusOk = 200;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
/// Longest suggested delay of a retry; a limit may end at any time.
constexpr milliseconds maxLimitRetryAfter {5'000};

/// Callers that are told to return after a pause are spread over this many steps.
constexpr std::uint64_t pauseRetrySteps = 16;
constexpr milliseconds pauseRetrySpread {25};

microseconds inMicroseconds(double duration)
{
    return std::chrono::duration_cast<microseconds>(std::chrono::duration<double>(duration));
}

std::string rateText(double rate)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.3f", rate);
    return text.data();
}

} // namespace

void Router::noteStatements(const UpstreamRecord &upstream, const ResponseHead &head,
                            Instant sentAt)
{
    // Another upstream made the response, or made it for another request.
    if (head.wrongInstance || head.requestIdMismatch) {
        return;
    }
    this->noteLimit(upstream, head, sentAt);
    if (head.leaving) {
        this->noteLeaving(upstream);
    }
    this->notePause(upstream, head);
}

Router::DrainNotice *Router::noteDrain(const std::string &upstream, std::uint64_t incarnation)
{
    const DrainNotice fresh {this->now, {}, incarnation};
    DrainNotice &notice = this->drainNotices.try_emplace(upstream, fresh).first->second;
    if (notice.incarnation > incarnation) {
        return nullptr;
    }
    if (notice.incarnation < incarnation) {
        notice = fresh;
    }
    return &notice;
}

void Router::noteLeaving(const UpstreamRecord &upstream)
{
    DrainNotice *notice = this->noteDrain(upstream.id, upstream.incarnation);
    if (notice == nullptr || std::exchange(notice->stated, true)) {
        return;
    }
    this->counters.upstreamsLeaving += 1;
    const UpstreamObservation observation {upstream.id, upstream.incarnation,
                                           UpstreamObservation::Kind::Leaving, milliseconds(0)};
    this->recordObservation(observation);
    this->applyObservation(observation, ObservationSource::Self);
    this->emit(WriteJournal {{journal::EventId::UpstreamLeaving, {{"upstream", upstream.id}}}});
}

void Router::notePause(const UpstreamRecord &upstream, const ResponseHead &head)
{
    this->counters.pausesUnreadable += head.invalidRetryAfters;
    if (!head.retryAfter
        || !this->pauses.note(upstream.id, upstream.incarnation, *head.retryAfter, this->now)) {
        return;
    }
    this->counters.pausesNoted += 1;
    this->emit(WriteJournal {
        {journal::EventId::UpstreamPaused,
         {{"upstream", upstream.id}, {"pauseMs", std::to_string(head.retryAfter->count())}}}});
}

void Router::noteLimit(const UpstreamRecord &upstream, const ResponseHead &head, Instant sentAt)
{
    const auto namedAt = this->rateLimits.namedAt(upstream.id);
    // A response to an earlier request may have been made before the upstream named its limit.
    const bool ends = namedAt && !head.requestsPerSecond && head.status == statusOk
        && head.authentic && sentAt >= *namedAt;
    if (head.requestsPerSecond || ends) {
        this->noteLimit(
            {upstream.id, upstream.incarnation, head.requestsPerSecond, milliseconds(0)},
            decision::LimitSource::Response);
    }
}

void Router::noteLimit(const decision::NamedLimit &limit, decision::LimitSource source)
{
    const UpstreamRecord *record = this->findUpstream(limit.upstream);
    if (record == nullptr || record->incarnation != limit.incarnation
        || !this->rateLimits.note(limit, source, this->now)) {
        return;
    }
    this->ownLimitsChanged |= source == decision::LimitSource::Response;
    this->zoneLimitsChanged |= source != decision::LimitSource::Zone;
    this->fleetLimitsChanged = true;
    if (!limit.requestsPerSecond) {
        this->emit(
            WriteJournal {{journal::EventId::LimitEnded,
                           {{"upstream", limit.upstream}, {"source", decision::name(source)}}}});
        return;
    }
    this->emit(WriteJournal {{journal::EventId::LimitNamed,
                              {{"upstream", limit.upstream},
                               {"source", decision::name(source)},
                               {"requestsPerSecond", rateText(*limit.requestsPerSecond)},
                               {"ownRate", rateText(this->rateLimits.ownRate(limit.upstream))}}}});
}

std::vector<decision::NamedLimit> Router::takeOwnLimits(bool all, Instant at)
{
    const bool changed = std::exchange(this->ownLimitsChanged, false);
    return all || changed ? this->rateLimits.limits(decision::LimitSource::Response, at)
                          : std::vector<decision::NamedLimit> {};
}

std::vector<decision::NamedLimit> Router::takeZoneLimits(bool all, Instant at)
{
    const bool changed = std::exchange(this->zoneLimitsChanged, false);
    return all || changed ? this->rateLimits.limits(decision::LimitSource::Member, at)
                          : std::vector<decision::NamedLimit> {};
}

std::vector<decision::NamedLimit> Router::takeFleetLimits(bool all, Instant at)
{
    const bool changed = std::exchange(this->fleetLimitsChanged, false);
    return all || changed ? this->rateLimits.limits(decision::LimitSource::Zone, at)
                          : std::vector<decision::NamedLimit> {};
}

std::optional<Router::UpstreamWait> Router::waitForUpstreams(const ActiveRequest &active,
                                                             std::size_t ahead) const
{
    double ownRate = 0.0;
    double fleetRate = 0.0;
    microseconds firstFree = microseconds::max();
    microseconds firstPauseEnd = microseconds::max();
    for (const auto &[id, record] : this->state->upstreams) {
        if (!this->canServe(active, record)) {
            continue;
        }
        const auto rate = this->rateLimits.rateOf(id);
        const microseconds pause = this->pauses.timeUntilAllowed(id, record.incarnation, this->now);
        if (!rate && pause.count() == 0) {
            return std::nullopt;
        }
        if (pause.count() > 0) {
            firstPauseEnd = std::min(firstPauseEnd, pause);
            continue;
        }
        fleetRate += *rate;
        ownRate += this->rateLimits.ownRate(id);
        if (const auto free = this->rateLimits.timeUntilAllowed(id, this->now)) {
            firstFree = std::min(firstFree, *free);
        }
    }
    if (firstFree != microseconds::max()) {
        const microseconds limited
            = firstFree + inMicroseconds(static_cast<double>(ahead) / ownRate);
        return UpstreamWait {std::min(limited, firstPauseEnd), false};
    }
    if (firstPauseEnd != microseconds::max()) {
        const microseconds turns
            = static_cast<std::int64_t>(ahead) * decision::UpstreamPauses::recoverySpacing;
        return UpstreamWait {firstPauseEnd + turns, true};
    }
    if (fleetRate <= 0.0) {
        return std::nullopt; // There is no upstream, or none that takes anything.
    }
    // Other processes send there. Their rate is divided among the callers of all processes.
    const auto processes = static_cast<double>(std::max<std::size_t>(1, this->processCount));
    return UpstreamWait {inMicroseconds(static_cast<double>(ahead + 1) * processes / fleetRate),
                         false};
}

void Router::rejectBeyondLimits()
{
    if (this->rateLimits.empty() && this->pauses.empty()) {
        return;
    }
    const std::vector<RequestId> queued = this->queue.ids();
    std::map<std::string, std::size_t> ahead; // Requests that wait, by service.
    for (const RequestId id : queued) {
        ActiveRequest *each = this->findRequest(id);
        const auto wait = this->waitForUpstreams(*each, ahead[each->serviceName]);
        const microseconds waited = this->now - each->queuedAt;
        const microseconds left = std::min(maxQueueTime(*each) - waited, this->timeLeft(*each));
        if (!wait || wait->time <= left) {
            ahead[each->serviceName] += 1;
            continue;
        }
        const bool mayHaveRun = !each->mayHaveRunOn.empty();
        const auto delay = std::chrono::ceil<milliseconds>(wait->time);
        // A pause ends when the upstream stated; callers that come back then are spread.
        const milliseconds retryAfter = wait->isPause
            ? delay + pauseRetrySpread * static_cast<std::int64_t>(each->id % pauseRetrySteps)
            : std::min(maxLimitRetryAfter, delay);
        this->sendReply(*each,
                        {mayHaveRun ? statusBadGateway : statusUnavailable, retryAfter,
                         "its upstreams take no more requests for now"});
    }
}

} // namespace azurespindle::routing
