// Attribution of upstream crashes to the requests that ran on them.

#include "routing/router.h"

#include <utility>

namespace azurespindle::routing {
namespace {

/// Time within which an upstream has to disappear after a lost attempt for the request to be
/// suspected of crashing it.
constexpr seconds crashAttributionWindow {6};
constexpr std::size_t maxSuspectedCrashes = 256;

} // namespace

void Router::suspectCrash(const ActiveRequest &active)
{
    if (this->suspectedCrashes.size() >= maxSuspectedCrashes) {
        this->suspectedCrashes.erase(this->suspectedCrashes.begin());
    }
    this->suspectedCrashes.push_back({active.fingerprint, active.id, active.upstream.id,
                                      active.upstream.incarnation, this->now});
}

void Router::confirmCrashes()
{
    std::vector<SuspectedCrash> unresolved;
    for (const SuspectedCrash &loss : std::exchange(this->suspectedCrashes, {})) {
        if (this->now - loss.lostAt > crashAttributionWindow) {
            continue;
        }
        const UpstreamRecord *record = this->findUpstream(loss.upstream);
        if (record != nullptr && (record->incarnation == loss.incarnation || record->draining)) {
            unresolved.push_back(loss);
            continue;
        }
        if (this->crashes.recordCrash(loss.fingerprint, loss.upstream, loss.incarnation,
                                      this->now)) {
            this->emit(WriteJournal {{journal::EventId::CrashSuspected,
                                      {{"fingerprint", std::to_string(loss.fingerprint)},
                                       {"upstream", loss.upstream}}}});
            this->emit(BroadcastCrash {loss.fingerprint, loss.upstream, loss.incarnation});
        }
    }
    this->suspectedCrashes = std::move(unresolved);
}

} // namespace azurespindle::routing
