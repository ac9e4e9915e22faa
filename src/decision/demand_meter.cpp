#include "decision/demand_meter.h"

#include <algorithm>
#include <cmath>

namespace azurespindle::decision {
namespace {

/// Weight of the latest observation in the mean sizes and times.
constexpr double newestWeight = 0.1;
/// Rates below this are not worth a report.
constexpr double minPerSecond = 0.01;

double decay(microseconds age, milliseconds window)
{
    return std::exp(-inSeconds(age) / inSeconds(window));
}

void average(double &mean, double value, bool isFirst)
{
    mean = isFirst ? value : mean + newestWeight * (value - mean);
}

} // namespace

std::string DemandMeter::keyOf(const std::string &service, std::uint32_t priority)
{
    return service + '\n' + std::to_string(priority);
}

void DemandMeter::recordArrival(const std::string &service, std::uint32_t priority, Tokens memory,
                                Tokens prefill, Instant now)
{
    Kind &kind = this->kinds.touch(keyOf(service, priority));
    const bool isFirst = !std::exchange(kind.hasArrived, true);
    if (isFirst) {
        kind.service = service;
        kind.priority = priority;
        kind.countedAt = now;
    }
    const microseconds age = now - kind.countedAt;
    kind.countedAt = now;
    kind.inShortWindow = kind.inShortWindow * decay(age, shortWindow) + 1.0;
    kind.inLongWindow = kind.inLongWindow * decay(age, longWindow) + 1.0;
    average(kind.memory, memory, isFirst);
    average(kind.prefill, prefill, isFirst);
}

void DemandMeter::recordStay(const std::string &service, std::uint32_t priority, microseconds stay)
{
    if (this->kinds.find(keyOf(service, priority)) == nullptr) {
        return;
    }
    Kind &kind = this->kinds.touch(keyOf(service, priority));
    average(kind.staySeconds, inSeconds(stay), !std::exchange(kind.hasStayed, true));
}

std::vector<ArrivalRate> DemandMeter::rates(milliseconds window, Instant now) const
{
    std::vector<ArrivalRate> rates;
    this->kinds.forEach([&](const std::string &, const Kind &kind) {
        const double counted = window == shortWindow ? kind.inShortWindow : kind.inLongWindow;
        const double perSecond = counted * decay(now - kind.countedAt, window) / inSeconds(window);
        if (perSecond >= minPerSecond) {
            rates.push_back({kind.service, kind.priority, perSecond,
                             static_cast<Tokens>(kind.memory), static_cast<Tokens>(kind.prefill),
                             milliseconds(std::llround(kind.staySeconds * 1'000.0))});
        }
    });
    std::stable_sort(rates.begin(), rates.end(),
                     [](const ArrivalRate &first, const ArrivalRate &second) {
                         return first.perSecond > second.perSecond;
                     });
    rates.resize(std::min(rates.size(), DemandReport::maxEntries));
    return rates;
}

milliseconds DemandMeter::stayOf(const std::string &service, std::uint32_t priority) const
{
    const Kind *kind = this->kinds.find(keyOf(service, priority));
    return kind == nullptr ? milliseconds(0)
                           : milliseconds(std::llround(kind->staySeconds * 1'000.0));
}

} // namespace azurespindle::decision
