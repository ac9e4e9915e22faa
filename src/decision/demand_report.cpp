#include "decision/demand_report.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace azurespindle::decision {
namespace {

using Key = std::pair<std::string, std::uint32_t>; ///< Service and priority.

/// Returns the mean of two values of which each stands for a weight.
template<typename Value>
Value weightedMean(Value first, double firstWeight, Value second, double secondWeight)
{
    const double weight = firstWeight + secondWeight;
    return weight <= 0.0 ? first
                         : static_cast<Value>((static_cast<double>(first) * firstWeight
                                               + static_cast<double>(second) * secondWeight)
                                              / weight);
}

void add(WaitingCount &sum, const WaitingCount &other)
{
    sum.memory = weightedMean(sum.memory, sum.requests, other.memory, other.requests);
    sum.requests = std::min(DemandReport::maxRequests, sum.requests + other.requests);
    sum.oldest = std::max(sum.oldest, other.oldest);
}

void add(ArrivalRate &sum, const ArrivalRate &other)
{
    sum.memory = weightedMean(sum.memory, sum.perSecond, other.memory, other.perSecond);
    sum.prefill = weightedMean(sum.prefill, sum.perSecond, other.prefill, other.perSecond);
    const double known = sum.stay.count() > 0 ? sum.perSecond : 0.0;
    const double otherKnown = other.stay.count() > 0 ? other.perSecond : 0.0;
    sum.stay = milliseconds(weightedMean(sum.stay.count(), known, other.stay.count(), otherKnown));
    sum.perSecond = std::min(DemandReport::maxPerSecond, sum.perSecond + other.perSecond);
}

/// Returns the values of a map, or the largest maxEntries of them in descending order.
template<typename Map, typename Size> auto largestOf(const Map &sums, const Size &size)
{
    std::vector<typename Map::mapped_type> values;
    values.reserve(sums.size());
    for (const auto &[key, value] : sums) {
        values.push_back(value);
    }
    std::stable_sort(values.begin(), values.end(), [&](const auto &first, const auto &second) {
        return size(first) > size(second);
    });
    values.resize(std::min(values.size(), DemandReport::maxEntries));
    return values;
}

bool isPlausible(milliseconds duration)
{
    return duration >= milliseconds(0) && duration <= DemandReport::maxDuration;
}

bool isPlausible(const WaitingCount &each)
{
    return each.priority <= DemandReport::maxPriority && each.requests <= DemandReport::maxRequests
        && each.memory <= DemandReport::maxTokens && isPlausible(each.oldest);
}

bool isPlausible(const ArrivalRate &each)
{
    return each.priority <= DemandReport::maxPriority && std::isfinite(each.perSecond)
        && each.perSecond >= 0.0 && each.perSecond <= DemandReport::maxPerSecond
        && each.memory <= DemandReport::maxTokens && each.prefill <= DemandReport::maxTokens
        && isPlausible(each.stay);
}

bool isPlausible(const WorkspaceUse &each)
{
    return each.tokens <= DemandReport::maxWorkspaceTokens;
}

template<typename Entry> bool arePlausible(const std::vector<Entry> &entries)
{
    return entries.size() <= DemandReport::maxEntries
        && std::all_of(entries.begin(), entries.end(),
                       [](const Entry &each) { return isPlausible(each); });
}

} // namespace

DemandReport sumOf(const std::vector<DemandReport> &reports)
{
    std::map<Key, WaitingCount> waiting;
    std::map<Key, ArrivalRate> arrivals;
    std::map<std::string, WorkspaceUse> workspaces;
    for (const DemandReport &report : reports) {
        for (const WaitingCount &each : report.waiting) {
            add(waiting
                    .try_emplace({each.service, each.priority},
                                 WaitingCount {each.service, each.priority, 0, 0, {}})
                    .first->second,
                each);
        }
        for (const ArrivalRate &each : report.arrivals) {
            add(arrivals
                    .try_emplace({each.service, each.priority},
                                 ArrivalRate {each.service, each.priority, 0.0, 0, 0, {}})
                    .first->second,
                each);
        }
        for (const WorkspaceUse &each : report.workspaces) {
            WorkspaceUse &sum
                = workspaces.try_emplace(each.workspace, WorkspaceUse {each.workspace, 0})
                      .first->second;
            sum.tokens = std::min(DemandReport::maxWorkspaceTokens, sum.tokens + each.tokens);
        }
    }
    return {largestOf(waiting, [](const WaitingCount &each) { return each.requests; }),
            largestOf(arrivals, [](const ArrivalRate &each) { return each.perSecond; }),
            largestOf(workspaces, [](const WorkspaceUse &each) { return each.tokens; })};
}

bool isPlausible(const DemandReport &report)
{
    return arePlausible(report.waiting) && arePlausible(report.arrivals)
        && arePlausible(report.workspaces);
}

} // namespace azurespindle::decision
