// Request rates that upstreams name for the whole fleet.

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

void Router::noteLimit(const UpstreamRecord &upstream, const ResponseHead &head, Instant sentAt)
{
    if (head.wrongInstance || head.requestIdMismatch) {
        return;
    }
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

std::optional<microseconds> Router::waitForLimits(const ActiveRequest &active,
                                                  std::size_t ahead) const
{
    double ownRate = 0.0;
    double fleetRate = 0.0;
    microseconds firstFree = microseconds::max();
    for (const auto &[id, record] : this->state->upstreams) {
        if (!this->canServe(active, record)) {
            continue;
        }
        const auto rate = this->rateLimits.rateOf(id);
        if (!rate) {
            return std::nullopt;
        }
        fleetRate += *rate;
        ownRate += this->rateLimits.ownRate(id);
        if (const auto free = this->rateLimits.timeUntilAllowed(id, this->now)) {
            firstFree = std::min(firstFree, *free);
        }
    }
    if (firstFree != microseconds::max()) {
        return firstFree + inMicroseconds(static_cast<double>(ahead) / ownRate);
    }
    if (fleetRate <= 0.0) {
        return std::nullopt; // There is no upstream, or none that takes anything.
    }
    // Other processes send there. Their rate is divided among the callers of all processes.
    const auto processes = static_cast<double>(std::max<std::size_t>(1, this->processCount));
    return inMicroseconds(static_cast<double>(ahead + 1) * processes / fleetRate);
}

void Router::rejectBeyondLimits()
{
    if (this->rateLimits.empty()) {
        return;
    }
    const std::vector<RequestId> queued = this->queue;
    std::map<std::string, std::size_t> ahead; // Requests that wait, by service.
    for (const RequestId id : queued) {
        ActiveRequest *each = this->findRequest(id);
        const auto wait = this->waitForLimits(*each, ahead[each->serviceName]);
        const microseconds waited = this->now - each->queuedAt;
        const microseconds left = std::min(maxQueueTime(*each) - waited, this->timeLeft(*each));
        if (!wait || *wait <= left) {
            ahead[each->serviceName] += 1;
            continue;
        }
        const bool mayHaveRun = !each->mayHaveRunOn.empty();
        const milliseconds retryAfter
            = std::min(maxLimitRetryAfter, std::chrono::ceil<milliseconds>(*wait));
        this->sendReply(*each,
                        {mayHaveRun ? statusBadGateway : statusUnavailable, retryAfter,
                         "its upstreams take no more requests for now"});
    }
}

} // namespace azurespindle::routing
