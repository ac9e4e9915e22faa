// End of requests: local replies, aborted streams, finished responses.

#include "routing/internal/journal_text.h"
#include "routing/router.h"

#include <utility>

namespace azurespindle::routing {
namespace {

constexpr int statusBadGateway = 502;

} // namespace

bool Router::callerHasData(const ActiveRequest &active)
{
    return active.relaying && active.eventCount > 0;
}

void Router::sendReply(ActiveRequest &active, LocalReply reply)
{
    if (callerHasData(active)) {
        this->abortStream(active, reply.reason);
        return;
    }
    this->cancelAttempts(active);
    this->discardMigration(active, false);
    this->journal(active, journal::EventId::RequestRefused,
                  {{"status", std::to_string(reply.status)},
                   {"reason", reply.reason},
                   {"retryAfterMs", std::to_string(reply.retryAfter.count())},
                   {"workspace", active.workspace},
                   {"route", active.route == nullptr ? "" : active.route->name},
                   {"tries", std::to_string(active.attemptCount)},
                   {"mayHaveRunOn", std::to_string(active.mayHaveRunOn.size())},
                   {"afterMs", internal::millisecondsSince(active.arrivedAt, this->now)},
                   {"revision", toText(this->state->revision)}});
    this->emit(SendLocalReply {active.id, std::move(reply)});
    this->closeRequest(active.id);
}

Tokens Router::producedTokens(const ActiveRequest &active)
{
    return static_cast<Tokens>(active.eventCount) * active.service->engine->tokensPerEvent;
}

decision::OutputRequest Router::outputOf(const ActiveRequest &active)
{
    return {active.route->name, active.workspace, active.request->maxOutputTokens,
            active.request->expectedOutputTokens};
}

decision::OutputForecast Router::outputForecast(const ActiveRequest &active, Tokens produced) const
{
    return this->outputs.forecast(outputOf(active), produced);
}

void Router::beginOutput(ActiveRequest &active)
{
    // A caller that resumes a stream has part of its output already.
    if (!active.initialForecast && !active.request->lastEventId && active.service != nullptr
        && active.service->engine) {
        active.initialForecast = this->outputs.initialForecast(outputOf(active));
    }
}

void Router::recordOutput(ActiveRequest &active)
{
    if (!active.initialForecast) {
        return;
    }
    const Tokens produced = producedTokens(active);
    this->outputs.recordGrowth(outputOf(active), active.recordedOutput, produced);
    active.recordedOutput = produced;
}

void Router::completeStream(ActiveRequest &active)
{
    this->crashes.clearSuspect(active.fingerprint);
    this->cancelAttempts(active);
    this->discardMigration(active, true);
    this->recordOutput(active);
    if (active.initialForecast) {
        this->outputs.recordEnd(outputOf(active), producedTokens(active), *active.initialForecast);
    }
    this->emit(EndStream {active.id});
    this->finishRequest(active);
}

void Router::abortStream(ActiveRequest &active, const std::string &reason)
{
    if (!callerHasData(active)) {
        this->sendReply(active, {statusBadGateway, milliseconds(0), reason});
        return;
    }
    this->cancelAttempts(active);
    this->discardMigration(active, true);
    this->counters.generationsLost += 1;
    this->journal(active, journal::EventId::GenerationLost,
                  {{"upstream", active.upstream.id},
                   {"events", std::to_string(active.eventCount)},
                   {"reason", reason},
                   {"afterMs", internal::millisecondsSince(active.arrivedAt, this->now)}});
    this->emit(AbortStream {active.id});
    this->closeRequest(active.id);
}

void Router::endForStop(ActiveRequest &active)
{
    if (!callerHasData(active)) {
        this->sendReply(active, this->stoppingReply(active));
        return;
    }
    this->cancelAttempts(active);
    this->discardMigration(active, true);
    this->journal(active, journal::EventId::RequestCut,
                  {{"upstream", active.upstream.id},
                   {"route", active.route->name},
                   {"takenMsAfterStop",
                    internal::millisecondsSince(this->stop->requestedAt, active.arrivedAt)},
                   {"afterMs", internal::millisecondsSince(active.arrivedAt, this->now)},
                   {"leftMs", internal::millisecondsSince(this->now, active.deadline)},
                   {"events", std::to_string(active.eventCount)}});
    this->counters.streamsCutByStop += 1;
    this->emit(AbortStream {active.id});
    this->closeRequest(active.id);
}

void Router::finishRequest(ActiveRequest &active)
{
    std::vector<journal::Field> fields {
        {"upstream", active.upstream.id},
        {"workspace", active.workspace},
        {"route", active.route->name},
        {"status", std::to_string(active.head.status)},
        {"events", std::to_string(active.eventCount)},
        {"tries", std::to_string(active.attemptCount)},
        {"tookMs", internal::millisecondsSince(active.arrivedAt, this->now)}};
    if (active.eventCount > 0) {
        fields.push_back(
            {"firstEventMs", internal::millisecondsSince(active.arrivedAt, active.firstEventAt)});
        fields.push_back({"longestPauseMs", std::to_string(active.longestPause.count() / 1'000)});
        fields.push_back({"pauseAfterEvents", std::to_string(active.longestPauseAfter)});
    }
    this->journal(active, journal::EventId::RequestFinished, std::move(fields));
    this->closeRequest(active.id);
}

void Router::closeRequest(RequestId id)
{
    ActiveRequest &closing = this->activeRequests.at(id);
    this->recordOutput(closing);
    this->dequeue(closing);
    this->releaseParallelTakeover(closing);
    this->releaseUpstream(closing);
    this->discardMigration(closing, true);
    this->activeRequests.erase(id);
    this->emit(RequestClosed {id});
}

} // namespace azurespindle::routing
