// Handling of running attempts by Dispatcher: tokens, timeouts, failures, resumes and completion.

#include "decision/dispatcher.h"

#include "base/text.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace azurespindle::decision {
namespace {

constexpr milliseconds firstResumeDelay {20};
constexpr milliseconds maxResumeDelay {1'000};
/// Delay of a resume after a failure to connect.
constexpr milliseconds connectFailureDelay {150};
/// Tokens beyond those received before the crash after which a suspect no longer needs an upstream
/// without another suspect.
constexpr Tokens clearingTokens = 64;
/// A generation's memory forecast is refreshed after this many tokens, or after an eighth of its
/// length if that is more.
constexpr Tokens minProfileRefreshTokens = 16;
/// Refusal::retryAfter when no retry is left.
constexpr milliseconds retryExhaustedDelay {1'000};
/// A restart reported later than this after a connection was lost is not attributed to its request.
constexpr milliseconds unresolvedRetention {30'000};

bool isDefinitelyNotRun(FailureKind kind)
{
    return kind == FailureKind::NotSent || kind == FailureKind::Rejected
        || kind == FailureKind::ConnectionRefused;
}

milliseconds backoff(std::uint32_t resumes)
{
    const std::uint32_t doublings = std::min(resumes, 6U);
    return std::min(maxResumeDelay, firstResumeDelay * (1U << doublings));
}

} // namespace

void Dispatcher::on(const TokensArrived &event)
{
    OpenRequest *current = this->findCurrent(event.request, event.attempt);
    if (current == nullptr) {
        return;
    }
    if (!current->generation.empty() && current->generation != event.generation) {
        this->handleFailure(*current, FailureKind::GenerationGone, "another generation answered");
        return;
    }
    if (event.offset > current->received) {
        this->handleFailure(*current, FailureKind::ConnectionLost, "tokens are missing");
        return;
    }
    this->deliverTokens(*current, event);
}

void Dispatcher::deliverTokens(OpenRequest &current, const TokensArrived &event)
{
    current.generation = event.generation;
    current.mayHaveRun = true;
    const Tokens skip = std::min(current.received - event.offset, event.count);
    const Tokens newTokens = event.count - skip;
    if (newTokens > 0) {
        this->recordObservations(current, newTokens);
        current.resumes = 0;
        current.connectFailures = 0;
    }
    if (newTokens > 0 || event.finished) {
        this->emit(Deliver {current.request.id, current.upstream, current.generation,
                            current.received, newTokens, skip, event.finished});
    }
    current.received += newTokens;
    if (event.finished) {
        this->finish(current);
        return;
    }
    if (newTokens > 0) {
        this->refreshProfile(current);
    }
}

void Dispatcher::recordObservations(OpenRequest &current, Tokens count)
{
    Upstream *upstream = this->upstreams.find(current.upstream);
    const microseconds gap = (this->now - current.lastToken) / count;
    const configuration::UpstreamPolicy &policy = upstream->listed.policy;
    UpstreamObservations &observations = upstream->observations;
    if (current.received == 0) {
        const bool late = gap > policy.slowFirstToken;
        (late ? observations.firstTokensLate : observations.firstTokensInTime) += 1;
    } else {
        const bool late = gap > policy.slowGap;
        (late ? observations.gapsLate : observations.gapsInTime) += count;
    }
    current.lastToken = this->now;
}

void Dispatcher::refreshProfile(OpenRequest &current)
{
    if (current.received < current.nextProfileRefresh) {
        return;
    }
    Upstream *upstream = this->upstreams.find(current.upstream);
    current.nextProfileRefresh
        = current.received + std::max(minProfileRefreshTokens, current.received / 8);
    const MemoryProfile refreshed = this->profileOf(current);
    upstream->profile.subtract(current.profile);
    upstream->profile.add(refreshed);
    current.profile = refreshed;
    if (current.suspect && current.received > current.receivedAtCrash + clearingTokens) {
        current.suspect = false;
        upstream->suspects -= 1;
    }
    if (current.received > current.charged) {
        this->charge(current, current.received);
    }
}

void Dispatcher::finish(OpenRequest &finished)
{
    const Request &request = finished.request;
    this->clearSuspect(finished);
    this->forecast.observe(request.workspace, request.trafficClass, finished.received);
    this->charge(finished, promptCost * request.promptTokens + finished.received);
    this->journal(journal::EventId::RequestFinished,
                  {requestField(finished),
                   {"workspace", request.workspace},
                   {"upstream", finished.upstream},
                   {"tokens", std::to_string(finished.received)},
                   {"tookMs", millisecondsText(this->now - finished.arrived)}});
    this->close(request.id);
    this->dispatch();
}

void Dispatcher::on(const CallAnswered &event)
{
    OpenRequest *current = this->findCurrent(event.request, event.attempt);
    if (current == nullptr) {
        return;
    }
    Upstream *upstream = this->upstreams.find(current->upstream);
    upstream->observations.firstTokensInTime += 1;
    this->emit(DeliverAnswer {event.request, event.attempt});
    this->journal(journal::EventId::RequestFinished,
                  {requestField(*current),
                   {"workspace", current->request.workspace},
                   {"upstream", current->upstream},
                   {"tookMs", millisecondsText(this->now - current->arrived)}});
    this->clearSuspect(*current);
    this->close(event.request);
    this->dispatch();
}

void Dispatcher::on(const AttemptFailed &event)
{
    OpenRequest *current = this->findCurrent(event.request, event.attempt);
    if (current != nullptr) {
        this->handleFailure(*current, event.kind, event.detail);
        this->dispatch();
    }
}

void Dispatcher::handleFailure(OpenRequest &failed, FailureKind kind, const std::string &detail)
{
    this->journal(journal::EventId::AttemptFailed,
                  {requestField(failed),
                   {"upstream", failed.upstream},
                   {"attempt", std::to_string(failed.attempt)},
                   {"kind", name(kind)},
                   {"received", std::to_string(failed.received)},
                   {"detail", detail}});
    Upstream *upstream = this->upstreams.find(failed.upstream);
    const bool isUpstreamFault = kind != FailureKind::UpstreamError;
    upstream->observations.failures += isUpstreamFault ? 1 : 0;
    if (kind == FailureKind::UpstreamError) {
        this->refuse(failed,
                     {RefusalCode::UpstreamRefused, Outcome::Unknown, milliseconds(0),
                      "upstream answered with an error: " + detail});
        return;
    }
    if (failed.generation.empty() && isDefinitelyNotRun(kind)) {
        this->retry(failed, detail);
        return;
    }
    failed.mayHaveRun = true;
    if (!failed.request.idempotent) {
        this->refuseNonIdempotent(failed, detail);
        return;
    }
    this->handleStreamFailure(failed, kind, detail);
}

void Dispatcher::refuseNonIdempotent(OpenRequest &failed, const std::string &detail)
{
    this->refuse(failed,
                 {RefusalCode::OutcomeUnknown, Outcome::Unknown, milliseconds(0),
                  "the call may have run; it is not sent again: " + detail});
}

void Dispatcher::handleStreamFailure(OpenRequest &failed, FailureKind kind,
                                     const std::string &detail)
{
    if (failed.generation.empty()) {
        // A connection that closes before the first token indicates a crash. A timeout may also be
        // due to the network.
        if (kind == FailureKind::ConnectionLost) {
            this->reportCrash(failed);
        }
        this->emit(CancelAttempt {failed.request.id, failed.attempt, failed.upstream, {}, false});
        this->retry(failed, detail);
        return;
    }
    if (kind == FailureKind::GenerationGone) {
        this->reportCrash(failed);
        this->handleLostGeneration(failed, detail);
        return;
    }
    const bool notConnected = isDefinitelyNotRun(kind);
    failed.connectFailures = notConnected ? failed.connectFailures + 1 : 0;
    failed.resumes += 1;
    if (failed.connectFailures >= maxConnectFailures || failed.resumes >= maxResumes) {
        if (kind == FailureKind::ConnectionRefused || kind == FailureKind::ConnectionLost) {
            this->reportCrash(failed);
        }
        this->handleLostGeneration(failed, detail);
        return;
    }
    this->emit(CancelAttempt {failed.request.id, failed.attempt, failed.upstream, failed.generation,
                              true});
    this->resume(failed, notConnected ? connectFailureDelay : backoff(failed.resumes));
}

void Dispatcher::resume(OpenRequest &resumed, milliseconds delay)
{
    resumed.attempt += 1;
    // The timeout starts when the delayed request is sent, not now.
    resumed.lastToken = this->now + delay;
    this->journal(journal::EventId::GenerationResumed,
                  {requestField(resumed),
                   {"upstream", resumed.upstream},
                   {"generation", resumed.generation},
                   {"offset", std::to_string(resumed.received)}});
    this->emit(ResumeAttempt {resumed.request.id, resumed.attempt, resumed.upstream,
                              resumed.generation, resumed.received, delay});
}

void Dispatcher::handleLostGeneration(OpenRequest &lost, const std::string &detail)
{
    this->journal(journal::EventId::UpstreamLost,
                  {requestField(lost), {"upstream", lost.upstream}, {"detail", detail}});
    const bool callerHasTokens = lost.request.streamed && lost.received > 0;
    if (callerHasTokens || lost.request.resume) {
        this->refuse(lost,
                     {RefusalCode::GenerationLost, Outcome::Ran, milliseconds(0),
                      "upstream " + lost.upstream + " lost the generation after "
                          + std::to_string(lost.received) + " tokens: " + detail});
        return;
    }
    this->retry(lost, detail);
}

void Dispatcher::retry(OpenRequest &failed, const std::string &detail)
{
    const Outcome outcome = failed.mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    if (this->crashes.isBlocked(failed.request.fingerprint, this->now)) {
        this->refuse(failed,
                     {RefusalCode::CrashSuspect, outcome, milliseconds(0),
                      "two upstreams died while they ran this request"});
        return;
    }
    if (failed.starts >= maxStarts || !this->retries.tryWithdraw()) {
        this->refuse(failed,
                     {RefusalCode::RetriesExhausted, outcome, retryExhaustedDelay,
                      "gave up after " + std::to_string(failed.starts) + " tries: " + detail});
        return;
    }
    this->journal(journal::EventId::RequestRetried,
                  {requestField(failed), {"failedOn", failed.upstream}, {"detail", detail}});
    this->releaseUpstream(failed);
    failed.failedOn.push_back(failed.upstream);
    failed.receivedAtCrash = std::max(failed.receivedAtCrash, failed.received);
    failed.received = 0;
    failed.generation.clear();
    const Request &request = failed.request;
    const Instant expires = this->now + this->queue.policy(request.workspace).queueTimeout;
    this->queue.pushFront(request.workspace,
                          {request.id, request.priority, failed.arrived, expires});
}

std::uint64_t Dispatcher::bootOf(const OpenRequest &open) const
{
    return open.boot != 0 ? open.boot : this->upstreams.find(open.upstream)->report.boot;
}

void Dispatcher::reportCrash(const OpenRequest &suspected)
{
    this->reportCrash(
        suspected.upstream,
        {suspected.request.id, suspected.request.fingerprint, this->bootOf(suspected), this->now});
}

void Dispatcher::reportCrash(const std::string &upstream, const UnresolvedDisconnect &disconnect)
{
    if (!this->crashes.recordCrash(disconnect.fingerprint, upstream, disconnect.boot, this->now)) {
        return;
    }
    this->journal(
        journal::EventId::CrashSuspected,
        {{"request", std::to_string(disconnect.request)},
         {"upstream", upstream},
         {"deaths", std::to_string(this->crashes.crashCount(disconnect.fingerprint, this->now))}});
    this->emit(ReportCrash {disconnect.fingerprint, upstream, disconnect.boot});
}

void Dispatcher::resolveDisconnects(Upstream &upstream)
{
    for (const UnresolvedDisconnect &disconnect :
         std::exchange(upstream.unresolvedDisconnects, {})) {
        const bool recent = this->now - disconnect.at <= unresolvedRetention;
        if (recent && disconnect.boot != upstream.report.boot) {
            this->reportCrash(upstream.listed.name, disconnect);
        }
    }
}

void Dispatcher::clearSuspect(const OpenRequest &finished)
{
    const std::uint64_t fingerprint = finished.request.fingerprint;
    if (!this->crashes.clearSuspect(fingerprint)) {
        return;
    }
    this->journal(journal::EventId::CrashCleared, {requestField(finished)});
    this->emit(ReportSuspectCleared {finished.request.id, fingerprint});
}

void Dispatcher::checkTimeouts()
{
    std::vector<RequestId> timedOut;
    for (const auto &[id, each] : this->open) {
        if (!each.running || each.callerStalled) {
            continue;
        }
        const bool isPlainCall = each.request.maxTokens == 0;
        const milliseconds streamTimeout
            = each.generation.empty() ? this->options.firstTokenTimeout : this->options.gapTimeout;
        const milliseconds timeout = isPlainCall ? this->options.callTimeout : streamTimeout;
        if (this->now - each.lastToken > timeout) {
            timedOut.push_back(id);
        }
    }
    std::sort(timedOut.begin(), timedOut.end());
    for (const RequestId id : timedOut) {
        OpenRequest &each = this->open.at(id);
        this->handleFailure(each, FailureKind::TimedOut, "nothing came in time");
    }
}

void Dispatcher::on(const CallerLeft &event)
{
    OpenRequest *abandoned = this->find(event.request);
    if (abandoned == nullptr) {
        return;
    }
    this->journal(journal::EventId::CallerLeft, {requestField(*abandoned)});
    if (abandoned->running && !abandoned->request.idempotent) {
        return; // The call completes, so that a retry with the same key gets its response.
    }
    if (abandoned->running) {
        this->emit(CancelAttempt {abandoned->request.id, abandoned->attempt, abandoned->upstream,
                                  abandoned->generation, false});
    }
    if (abandoned->running && abandoned->resumes > 0) {
        // The request may have crashed its upstream. Without this record, a caller that gives up
        // early and sends the same request again would crash one upstream after another.
        UpstreamTable::addUnresolved(*this->upstreams.find(abandoned->upstream),
                                     {abandoned->request.id, abandoned->request.fingerprint,
                                      this->bootOf(*abandoned), this->now});
    }
    const Outcome outcome
        = abandoned->mayHaveRun || abandoned->running ? Outcome::Unknown : Outcome::NotRun;
    this->emit(Refuse {event.request,
                       {RefusalCode::CallerGone, outcome, milliseconds(0), "the caller hung up"}});
    this->close(event.request);
    this->dispatch();
}

void Dispatcher::on(const CallerStalled &event)
{
    OpenRequest *affected = this->find(event.request);
    if (affected != nullptr) {
        affected->callerStalled = event.stalled;
        affected->lastToken = this->now;
    }
}

void Dispatcher::releaseUpstream(OpenRequest &released)
{
    if (!released.running) {
        return;
    }
    released.running = false;
    Upstream *upstream = this->upstreams.find(released.upstream);
    this->upstreams.removeAttempt(*upstream, released.profile, released.suspect);
    released.suspect = false;
}

void Dispatcher::refuse(OpenRequest &refused, Refusal refusal)
{
    this->journal(journal::EventId::RequestRefused,
                  {requestField(refused),
                   {"workspace", refused.request.workspace},
                   {"code", name(refusal.code)},
                   {"outcome", name(refusal.outcome)},
                   {"reason", refusal.reason}});
    const RequestId id = refused.request.id;
    this->emit(Refuse {id, std::move(refusal)});
    this->close(id);
}

void Dispatcher::close(RequestId id)
{
    OpenRequest &closing = this->open.at(id);
    this->releaseUpstream(closing);
    this->queue.remove(closing.request.workspace, id);
    this->open.erase(id);
}

} // namespace azurespindle::decision
