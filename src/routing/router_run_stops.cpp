// Confirmation that engines have stopped the runs that continue elsewhere.

#include "routing/router.h"

#include <algorithm>
#include <utility>

namespace azurespindle::routing {
namespace {

/// Delay before an engine is asked again that did not answer, multiplied by the number of failures,
/// which counts up to maxDelayFactor.
constexpr milliseconds unansweredDelay {100};
constexpr std::uint32_t maxDelayFactor = 5;
/// Delay before an engine is asked again that still copies the run.
constexpr milliseconds stillCopyingDelay {60};

/// Returns true if the engine works on the run no longer.
bool confirmsStop(const MigrationResponse &response)
{
    switch (response.status) {
    case MigrationStatus::Copied:
    case MigrationStatus::NotRunning:
    case MigrationStatus::EngineGone:
        return true;
    case MigrationStatus::NoCapacity:
        return !response.handle.empty();
    default:
        return false;
    }
}

} // namespace

void Router::stopRun(const ActiveRequest &active, AttemptNumber attempt,
                     const UpstreamRecord &engine, const std::string &destination)
{
    const AttemptId id {active.id, attempt};
    this->forgetRunStop(id);
    const RunStop stop {id, engine, destination, active.request->callerRequestId, active.deadline,
                        {}};
    this->counters.runStopsAsked += 1;
    this->emitRunStop(stop);
    this->runStops.push_back(stop);
}

void Router::emitRunStop(const RunStop &stop)
{
    this->emit(RequestMigration {stop.attempt, stop.engine.address, stop.destination,
                                 stop.callerRequestId, true});
}

void Router::noteUnconfirmedEnd(ActiveRequest &active)
{
    const bool canStop = active.service != nullptr && active.service->engine
        && active.service->engine->supportsMigration;
    if (canStop) {
        active.unconfirmedEnd = {active.attempt, active.upstream};
    }
}

void Router::repeatRunStops()
{
    std::erase_if(this->runStops, [this](const RunStop &stop) { return this->now >= stop.until; });
    for (RunStop &stop : this->runStops) {
        if (!stop.answerPending && this->now >= stop.askAgainAt) {
            stop.answerPending = true;
            this->emitRunStop(stop);
        }
    }
}

void Router::noteRunStopAnswer(const MigrationResponseArrived &event, bool awaited)
{
    const auto found
        = std::find_if(this->runStops.begin(), this->runStops.end(),
                       [&](const RunStop &stop) { return stop.attempt == event.attempt; });
    if (found == this->runStops.end()) {
        return;
    }
    RunStop &stop = *found;
    if (confirmsStop(event.response)) {
        if (!awaited && !event.response.handle.empty()) {
            this->emit(ReleaseCopy {stop.engine.address, event.response.handle});
        }
        this->runStops.erase(found);
        return;
    }
    stop.answerPending = false;
    stop.failures += 1;
    const bool stillCopying = event.response.status == MigrationStatus::InProgress;
    stop.askAgainAt = this->now
        + (stillCopying ? stillCopyingDelay
                        : unansweredDelay * std::min(stop.failures, maxDelayFactor));
    this->emit(WriteJournal {{journal::EventId::RunStopUnconfirmed,
                              {{"request", stop.callerRequestId},
                               {"upstream", stop.engine.id},
                               {"status", name(event.response.status)},
                               {"failures", std::to_string(stop.failures)}}}});
}

void Router::forgetRunStop(const AttemptId &attempt)
{
    std::erase_if(this->runStops, [&](const RunStop &stop) { return stop.attempt == attempt; });
}

} // namespace azurespindle::routing
