// What the router observes of the speed of upstreams, and the estimates that it uses.

#include "routing/internal/journal_text.h"
#include "routing/router.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace azurespindle::routing {
namespace {

/// Changes of estimates that are journaled at a time.
constexpr std::size_t maxJournaledChanges = 16;

} // namespace

std::string internal::speedText(double speed)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.2f", speed);
    return text.data();
}

void Router::setSpeedInputs(const FleetState &previous)
{
    const auto isKnown = [&](const auto &entry) {
        const auto found = previous.upstreams.find(entry.first);
        return found != previous.upstreams.end()
            && found->second.incarnation == entry.second.incarnation
            && found->second.service == entry.second.service;
    };
    const auto &upstreams = this->state->upstreams;
    if (previous.upstreams.size() != upstreams.size()
        || !std::all_of(upstreams.begin(), upstreams.end(), isKnown)) {
        std::vector<decision::SpeedUpstream> list;
        list.reserve(upstreams.size());
        for (const auto &[id, record] : upstreams) {
            list.push_back({id, record.incarnation, record.service});
        }
        this->speeds.setUpstreams(list);
    }
    if (this->state->routeTable == previous.routeTable || this->state->routeTable == nullptr) {
        return;
    }
    this->gapObjectives.clear();
    for (const Route &route : this->state->routeTable->configuration().routes) {
        if (route.kind != RouteKind::Streaming || route.eventGapObjective.count() <= 0) {
            continue;
        }
        for (const ServiceShare &share : route.services) {
            const auto [known, isFirst]
                = this->gapObjectives.try_emplace(share.service, route.eventGapObjective);
            known->second = std::min(known->second, route.eventGapObjective);
        }
    }
}

milliseconds Router::gapObjectiveOf(const std::string &service) const
{
    const auto found = this->gapObjectives.find(service);
    return found == this->gapObjectives.end() ? milliseconds(0) : found->second;
}

void Router::observePace(ActiveRequest &active, std::uint32_t count, bool resumed)
{
    const bool interrupted = resumed || active.migration || active.parallel || active.resuming;
    if (active.service == nullptr || !active.service->engine || interrupted) {
        active.pace.restart();
        return;
    }
    if (!active.pace.countEvents(count, this->now)) {
        return;
    }
    const auto stretch
        = active.pace.endStretch(this->loads.totalClaim(active.upstream.id), this->now);
    if (stretch) {
        this->speeds.recordSample({active.serviceName, active.upstream.id,
                                   active.upstream.incarnation, stretch->load,
                                   stretch->eventInterval, ""},
                                  this->now);
    }
}

void Router::observeResponse(const ActiveRequest &active)
{
    const bool isEngine = active.service != nullptr && active.service->engine;
    if (isEngine || active.relaying || active.route->kind == RouteKind::Streaming) {
        return;
    }
    this->speeds.recordSample({active.serviceName,
                               active.upstream.id,
                               active.upstream.incarnation,
                               {static_cast<double>(active.attemptsAtStart), 0.0},
                               this->now - active.attemptStartedAt,
                               active.route->name},
                              this->now);
}

void Router::updateSpeeds()
{
    std::vector<decision::SpeedChange> changes = this->speeds.update(this->now);
    changes.resize(std::min(changes.size(), maxJournaledChanges));
    for (const decision::SpeedChange &each : changes) {
        this->emit(WriteJournal {{journal::EventId::UpstreamSpeedChanged,
                                  {{"upstream", each.upstream},
                                   {"before", internal::speedText(each.before)},
                                   {"speed", internal::speedText(each.after)}}}});
    }
}

void Router::noteRejectedSpeeds(const std::string &sender, std::size_t rejected)
{
    if (rejected > 0) {
        this->emit(WriteJournal {{journal::EventId::ReportedSpeedRejected,
                                  {{"from", sender}, {"count", std::to_string(rejected)}}}});
    }
}

} // namespace azurespindle::routing
