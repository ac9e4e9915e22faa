// Attribution of upstream crashes to the requests, or to the prompt parts, that ran on them.

#include "routing/internal/journal_text.h"
#include "routing/router.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace azurespindle::routing {
namespace {

constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;

/// Time within which an upstream has to disappear after a lost attempt for the request to be
/// suspected of crashing it.
constexpr seconds crashAttributionWindow {6};
constexpr std::size_t maxSuspectedCrashes = 256;
/// Time after a loss in which the other connections to a crashed upstream end as well.
constexpr milliseconds lossJudgementDelay {250};
/// Losses on several upstreams within this time point to the network of this process.
constexpr milliseconds simultaneousLosses {50};
constexpr std::size_t maxRecentLosses = 256;

/// Returns a number that tells reports about different parts apart.
std::uint64_t digestOf(const std::vector<decision::PromptPartId> &parts)
{
    return XXH3_64bits(parts.data(), parts.size() * sizeof(decision::PromptPartId));
}

} // namespace

std::optional<LocalReply> Router::crashRejection(const ActiveRequest &active) const
{
    const int status = active.mayHaveRunOn.empty() ? statusUnavailable : statusBadGateway;
    if (this->crashes.isBlocked(active.fingerprint, this->now)) {
        return LocalReply {status, milliseconds(0), "upstreams died running it"};
    }
    if (this->crashSuspects.isBlocked(active.sharedParts, this->now)) {
        return LocalReply {status, milliseconds(0), "upstreams died on a part of its prompt"};
    }
    return std::nullopt;
}

bool Router::rejectIfCrashing(ActiveRequest &active)
{
    const std::optional<LocalReply> rejection = this->crashRejection(active);
    if (rejection) {
        this->sendReply(active, *rejection);
    }
    return rejection.has_value();
}

bool Router::mayCrashAgain(const ActiveRequest &active) const
{
    return active.eventCount == 0 && this->crashSuspects.isSuspect(active.sharedParts, this->now);
}

void Router::clearParts(const ActiveRequest &active)
{
    const std::vector<decision::PromptPartId> cleared
        = this->crashSuspects.recordAnswer(active.sharedParts);
    if (cleared.empty()) {
        return;
    }
    this->journal(active, journal::EventId::PromptPartsCleared,
                  {{"upstream", active.upstream.id}, {"parts", internal::partsText(cleared)}});
    this->emit(BroadcastCrash {{digestOf(cleared), "", this->nextTieBreaker(), cleared, true}});
}

void Router::recordLoss(const std::string &upstream)
{
    if (this->recentLosses.size() >= maxRecentLosses) {
        this->recentLosses.erase(this->recentLosses.begin());
    }
    this->recentLosses.push_back({this->now, upstream});
}

void Router::suspectCrash(const ActiveRequest &active)
{
    if (this->suspectedCrashes.size() >= maxSuspectedCrashes) {
        this->suspectedCrashes.erase(this->suspectedCrashes.begin());
    }
    this->suspectedCrashes.push_back({active.fingerprint, active.id, active.upstream.id,
                                      active.upstream.incarnation, this->now, active.sharedParts,
                                      active.sharedParts.empty()});
}

bool Router::survives(const SuspectedCrash &loss) const
{
    const UpstreamRecord *record = this->findUpstream(loss.upstream);
    const auto notice = this->drainNotices.find(loss.upstream);
    const bool draining = (record != nullptr && record->draining)
        || (notice != this->drainNotices.end() && notice->second.incarnation == loss.incarnation);
    if (draining) {
        return true; // It ends its connections as it exits.
    }
    return std::any_of(this->activeRequests.begin(), this->activeRequests.end(),
                       [&](const auto &entry) {
                           const ActiveRequest &active = entry.second;
                           return active.running && active.attemptStartedAt < loss.lostAt
                               && active.upstream.id == loss.upstream
                               && active.upstream.incarnation == loss.incarnation;
                       });
}

bool Router::lostOthersWith(const SuspectedCrash &loss) const
{
    return std::any_of(
        this->recentLosses.begin(), this->recentLosses.end(), [&](const ConnectionLoss &other) {
            return other.upstream != loss.upstream && other.at >= loss.lostAt - simultaneousLosses
                && other.at <= loss.lostAt + simultaneousLosses;
        });
}

void Router::judgeLosses()
{
    for (SuspectedCrash &loss : this->suspectedCrashes) {
        if (loss.partsJudged || this->now - loss.lostAt < lossJudgementDelay) {
            continue;
        }
        if (this->survives(loss)) {
            loss.partsJudged = true;
        } else if (!this->lostOthersWith(loss)) {
            this->reportParts(loss);
        }
    }
    std::erase_if(this->recentLosses, [this](const ConnectionLoss &loss) {
        return this->now - loss.at > crashAttributionWindow;
    });
}

void Router::reportParts(SuspectedCrash &loss)
{
    loss.partsJudged = true;
    const CrashReport report {digestOf(loss.parts), loss.upstream, loss.incarnation, loss.parts};
    this->emit(WriteJournal {{journal::EventId::PromptPartsSuspected,
                              {{"upstream", loss.upstream},
                               {"parts", internal::partsText(loss.parts)},
                               {"afterMs", internal::millisecondsSince(loss.lostAt, this->now)}}}});
    this->recordPartCrash(report);
    this->emit(BroadcastCrash {report});
}

void Router::recordPartCrash(const CrashReport &crash)
{
    const decision::CrashId id
        = decision::CrashSuspects::crashId(crash.upstream, crash.incarnation);
    this->journalBlocked(this->crashSuspects.recordCrash(crash.parts, id, this->now));
}

void Router::mergeBlockedParts(const std::vector<decision::PartCrashes> &reports)
{
    this->journalBlocked(this->crashSuspects.merge(reports, this->now));
}

void Router::journalBlocked(const std::vector<decision::PromptPartId> &parts)
{
    for (const decision::PromptPartId part : parts) {
        this->emit(WriteJournal {
            {journal::EventId::PromptPartBlocked,
             {{"part", internal::partsText(std::vector<decision::PromptPartId> {part})},
              {"crashes", std::to_string(this->crashSuspects.crashCount(part, this->now))}}}});
    }
}

void Router::confirmCrashes()
{
    std::vector<SuspectedCrash> unresolved;
    for (SuspectedCrash &loss : std::exchange(this->suspectedCrashes, {})) {
        if (this->now - loss.lostAt > crashAttributionWindow) {
            continue;
        }
        const UpstreamRecord *record = this->findUpstream(loss.upstream);
        if (record != nullptr && (record->incarnation == loss.incarnation || record->draining)) {
            unresolved.push_back(loss);
            continue;
        }
        if (!loss.partsJudged) {
            this->reportParts(loss);
        }
        if (this->crashes.recordCrash(loss.fingerprint, loss.upstream, loss.incarnation,
                                      this->now)) {
            this->emit(WriteJournal {{journal::EventId::CrashSuspected,
                                      {{"fingerprint", std::to_string(loss.fingerprint)},
                                       {"upstream", loss.upstream}}}});
            this->emit(BroadcastCrash {{loss.fingerprint, loss.upstream, loss.incarnation}});
        }
    }
    this->suspectedCrashes = std::move(unresolved);
}

void Router::on(const PeerCrashReported &event)
{
    if (event.parts.empty()) {
        this->crashes.recordCrash(event.fingerprint, event.upstream, event.incarnation,
                                  this->now - event.age);
    } else if (event.cleared) {
        this->crashSuspects.clear(event.parts);
    } else {
        this->recordPartCrash(event);
    }
}

} // namespace azurespindle::routing
