// The part of Dispatcher that follows an attempt: tokens, failures, resumes, the end.

#include "decision/dispatcher.h"

#include "base/text.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace azurespindle::decision {
namespace {

constexpr milliseconds firstResumeDelay {20};
constexpr milliseconds maxResumeDelay {1'000};
constexpr milliseconds deadResumeDelay {150};
/// Tokens past the point of a death after which a suspect no longer needs an upstream without
/// another suspect.
constexpr Tokens survivedTokens = 64;
/// A generation's memory is forecast anew after so many tokens, or an eighth of its length.
constexpr Tokens minProfileStep = 16;
constexpr milliseconds retryLater {1'000};
/// A restart that is reported later than this after a lost connection is not its cause.
constexpr milliseconds unresolvedMemory {30'000};

bool provesNotRun(FailureKind kind)
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
    Open *current = this->findCurrent(event.request, event.attempt);
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
    this->accept(*current, event);
}

void Dispatcher::accept(Open &current, const TokensArrived &event)
{
    current.generation = event.generation;
    current.mayHaveRun = true;
    const Tokens skip = std::min(current.received - event.offset, event.count);
    const Tokens fresh = event.count - skip;
    if (fresh > 0) {
        this->noteEvidence(current, fresh);
        current.resumes = 0;
        current.deadResumes = 0;
    }
    if (fresh > 0 || event.finished) {
        this->emit(Deliver {current.request.id, current.upstream, current.generation,
                            current.received, fresh, skip, event.finished});
    }
    current.received += fresh;
    if (event.finished) {
        this->finish(current);
        return;
    }
    if (fresh > 0) {
        this->refreshProfile(current);
    }
}

void Dispatcher::noteEvidence(Open &current, Tokens count)
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

void Dispatcher::refreshProfile(Open &current)
{
    if (current.received < current.nextProfile) {
        return;
    }
    Upstream *upstream = this->upstreams.find(current.upstream);
    current.nextProfile = current.received + std::max(minProfileStep, current.received / 8);
    const MemoryProfile fresh = this->profileOf(current);
    upstream->profile.subtract(current.profile);
    upstream->profile.add(fresh);
    current.profile = fresh;
    if (current.suspect && current.received > current.receivedAtDeath + survivedTokens) {
        current.suspect = false;
        upstream->suspects -= 1;
    }
    if (current.received > current.charged) {
        this->charge(current, current.received);
    }
}

void Dispatcher::finish(Open &finished)
{
    const Request &request = finished.request;
    this->acquit(finished);
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
    Open *current = this->findCurrent(event.request, event.attempt);
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
    this->acquit(*current);
    this->close(event.request);
    this->dispatch();
}

void Dispatcher::on(const AttemptFailed &event)
{
    Open *current = this->findCurrent(event.request, event.attempt);
    if (current != nullptr) {
        this->handleFailure(*current, event.kind, event.detail);
        this->dispatch();
    }
}

void Dispatcher::handleFailure(Open &failed, FailureKind kind, const std::string &detail)
{
    this->journal(journal::EventId::AttemptFailed,
                  {requestField(failed),
                   {"upstream", failed.upstream},
                   {"attempt", std::to_string(failed.attempt)},
                   {"kind", name(kind)},
                   {"received", std::to_string(failed.received)},
                   {"detail", detail}});
    Upstream *upstream = this->upstreams.find(failed.upstream);
    const bool upstreamsFault = kind != FailureKind::UpstreamError;
    upstream->observations.failures += upstreamsFault ? 1 : 0;
    if (kind == FailureKind::UpstreamError) {
        this->refuse(failed,
                     {RefusalCode::UpstreamRefused, Outcome::Unknown, milliseconds(0),
                      "upstream answered with an error: " + detail});
        return;
    }
    if (failed.generation.empty() && provesNotRun(kind)) {
        this->restart(failed, detail);
        return;
    }
    failed.mayHaveRun = true;
    if (!failed.request.idempotent) {
        this->failUnrepeatable(failed, detail);
        return;
    }
    this->failStream(failed, kind, detail);
}

void Dispatcher::failUnrepeatable(Open &failed, const std::string &detail)
{
    this->refuse(failed,
                 {RefusalCode::OutcomeUnknown, Outcome::Unknown, milliseconds(0),
                  "the call may have run; it is not sent again: " + detail});
}

void Dispatcher::failStream(Open &failed, FailureKind kind, const std::string &detail)
{
    if (failed.generation.empty()) {
        // A connection closed without a single token is how a crash looks from here; a silent
        // one may as well be a link.
        if (kind == FailureKind::ConnectionLost) {
            this->blame(failed);
        }
        this->emit(CancelAttempt {failed.request.id, failed.attempt, failed.upstream, {}, false});
        this->restart(failed, detail);
        return;
    }
    if (kind == FailureKind::GenerationGone) {
        this->blame(failed);
        this->loseGeneration(failed, detail);
        return;
    }
    const bool dead = provesNotRun(kind);
    failed.deadResumes = dead ? failed.deadResumes + 1 : 0;
    failed.resumes += 1;
    if (failed.deadResumes >= maxDeadResumes || failed.resumes >= maxResumes) {
        if (kind == FailureKind::ConnectionRefused || kind == FailureKind::ConnectionLost) {
            this->blame(failed);
        }
        this->loseGeneration(failed, detail);
        return;
    }
    this->emit(CancelAttempt {failed.request.id, failed.attempt, failed.upstream, failed.generation,
                              true});
    this->resume(failed, dead ? deadResumeDelay : backoff(failed.resumes));
}

void Dispatcher::resume(Open &resumed, milliseconds delay)
{
    resumed.attempt += 1;
    // Silence counts from the time of the send: a delayed resume is not an upstream that is silent.
    resumed.lastToken = this->now + delay;
    this->journal(journal::EventId::GenerationResumed,
                  {requestField(resumed),
                   {"upstream", resumed.upstream},
                   {"generation", resumed.generation},
                   {"offset", std::to_string(resumed.received)}});
    this->emit(ResumeAttempt {resumed.request.id, resumed.attempt, resumed.upstream,
                              resumed.generation, resumed.received, delay});
}

void Dispatcher::loseGeneration(Open &lost, const std::string &detail)
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
    this->restart(lost, detail);
}

void Dispatcher::restart(Open &failed, const std::string &detail)
{
    const Outcome outcome = failed.mayHaveRun ? Outcome::Unknown : Outcome::NotRun;
    if (this->crashes.isBlocked(failed.request.fingerprint, this->now)) {
        this->refuse(failed,
                     {RefusalCode::CrashSuspect, outcome, milliseconds(0),
                      "two upstreams died while they ran this request"});
        return;
    }
    if (failed.tries >= maxTries || !this->retries.spend()) {
        this->refuse(failed,
                     {RefusalCode::RetriesExhausted, outcome, retryLater,
                      "gave up after " + std::to_string(failed.tries) + " tries: " + detail});
        return;
    }
    this->journal(journal::EventId::RequestRetried,
                  {requestField(failed), {"failedOn", failed.upstream}, {"detail", detail}});
    this->leaveUpstream(failed);
    failed.failedOn.push_back(failed.upstream);
    failed.receivedAtDeath = std::max(failed.receivedAtDeath, failed.received);
    failed.received = 0;
    failed.generation.clear();
    const Request &request = failed.request;
    const Instant expires = this->now + this->queue.policy(request.workspace).queueTimeout;
    this->queue.pushFront(request.workspace,
                          {request.id, request.priority, failed.arrived, expires});
}

std::uint64_t Dispatcher::bootOf(const Open &open) const
{
    return open.boot != 0 ? open.boot : this->upstreams.find(open.upstream)->report.boot;
}

void Dispatcher::blame(const Open &suspected)
{
    this->blame(
        suspected.upstream,
        {suspected.request.id, suspected.request.fingerprint, this->bootOf(suspected), this->now});
}

void Dispatcher::blame(const std::string &upstream, const UnresolvedLoss &loss)
{
    if (!this->crashes.recordCrash(loss.fingerprint, upstream, loss.boot, this->now)) {
        return;
    }
    this->journal(
        journal::EventId::CrashSuspected,
        {{"request", std::to_string(loss.request)},
         {"upstream", upstream},
         {"deaths", std::to_string(this->crashes.crashCount(loss.fingerprint, this->now))}});
    this->emit(ReportCrash {loss.fingerprint, upstream, loss.boot});
}

void Dispatcher::resolveLosses(Upstream &upstream)
{
    for (const UnresolvedLoss &loss : std::exchange(upstream.unresolved, {})) {
        const bool recent = this->now - loss.at <= unresolvedMemory;
        if (recent && loss.boot != upstream.report.boot) {
            this->blame(upstream.listed.name, loss);
        }
    }
}

void Dispatcher::acquit(const Open &finished)
{
    const std::uint64_t fingerprint = finished.request.fingerprint;
    if (!this->crashes.clearSuspect(fingerprint)) {
        return;
    }
    this->journal(journal::EventId::CrashCleared, {requestField(finished)});
    this->emit(ReportSuspectCleared {finished.request.id, fingerprint});
}

void Dispatcher::checkSilence()
{
    std::vector<RequestId> silent;
    for (const auto &[id, each] : this->open) {
        if (!each.running || each.callerStalled) {
            continue;
        }
        const bool plainCall = each.request.maxTokens == 0;
        const milliseconds begun
            = each.generation.empty() ? this->options.firstTokenTimeout : this->options.gapTimeout;
        const milliseconds allowed = plainCall ? this->options.callTimeout : begun;
        if (this->now - each.lastToken > allowed) {
            silent.push_back(id);
        }
    }
    std::sort(silent.begin(), silent.end());
    for (const RequestId id : silent) {
        Open &each = this->open.at(id);
        this->handleFailure(each, FailureKind::TimedOut, "nothing came in time");
    }
}

void Dispatcher::on(const CallerLeft &event)
{
    Open *left = this->find(event.request);
    if (left == nullptr) {
        return;
    }
    this->journal(journal::EventId::CallerLeft, {requestField(*left)});
    if (left->running && !left->request.idempotent) {
        return; // It runs to its end, so that a resend under the same key finds its answer.
    }
    if (left->running) {
        this->emit(CancelAttempt {left->request.id, left->attempt, left->upstream, left->generation,
                                  false});
    }
    if (left->running && left->resumes > 0) {
        // Its upstream may have died of it. Without this, a caller that gives up early and sends
        // the same request again would kill one upstream after the other.
        UpstreamTable::keepUnresolved(
            *this->upstreams.find(left->upstream),
            {left->request.id, left->request.fingerprint, this->bootOf(*left), this->now});
    }
    const Outcome outcome = left->mayHaveRun || left->running ? Outcome::Unknown : Outcome::NotRun;
    this->emit(Refuse {event.request,
                       {RefusalCode::CallerGone, outcome, milliseconds(0), "the caller hung up"}});
    this->close(event.request);
    this->dispatch();
}

void Dispatcher::on(const CallerStalled &event)
{
    Open *concerned = this->find(event.request);
    if (concerned != nullptr) {
        concerned->callerStalled = event.stalled;
        concerned->lastToken = this->now;
    }
}

void Dispatcher::leaveUpstream(Open &leaving)
{
    if (!leaving.running) {
        return;
    }
    leaving.running = false;
    Upstream *upstream = this->upstreams.find(leaving.upstream);
    this->upstreams.end(*upstream, leaving.profile, leaving.suspect);
    leaving.suspect = false;
}

void Dispatcher::refuse(Open &refused, Refusal refusal)
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
    Open &closing = this->open.at(id);
    this->leaveUpstream(closing);
    this->queue.remove(closing.request.workspace, id);
    this->open.erase(id);
}

} // namespace azurespindle::decision
