// Request rates that upstreams name for the whole fleet.

#include "routing/router.h"

#include <array>
#include <cstdio>

namespace azurespindle::routing {
namespace {

constexpr int statusOk = 200;

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

} // namespace azurespindle::routing
