#include "decision/capacity_forecast.h"

#include <algorithm>
#include <cmath>

namespace azurespindle::decision {
namespace {

/// Factor by which the weight of earlier ends shrinks with each later one.
constexpr double weightOfEarlier = 0.98;
/// Share of the capacity that becomes free which is left to a request, however many more urgent
/// ones arrive.
constexpr double minRateShare = 0.1;
/// Share of the expected wait that is certain. Lengths of outputs vary by more than their mean, and
/// other processes also reject requests that are counted as waiting.
constexpr double certainShare = 0.35;
constexpr double maxWaitSeconds = 600.0;
/// Weight of the latest wait in the mean error.
constexpr double newestErrorWeight = 0.05;

microseconds fromSeconds(double duration)
{
    return microseconds(std::llround(duration * 1e6));
}

} // namespace

void CapacityForecast::recordEnd(const std::string &service, double size, microseconds stay)
{
    Ends &ends = this->endsOfServices.touch(service);
    ends.count = ends.count * weightOfEarlier + 1.0;
    ends.size = ends.size * weightOfEarlier + size;
    ends.sizeTimesStay = ends.sizeTimesStay * weightOfEarlier + size * inSeconds(stay);
}

void CapacityForecast::recordWait(microseconds expected, microseconds actual)
{
    const double error = std::abs(inSeconds(actual - expected));
    this->errorSeconds = this->hasError
        ? this->errorSeconds + newestErrorWeight * (error - this->errorSeconds)
        : error;
    this->hasError = true;
}

std::optional<ExpectedWait> CapacityForecast::expectedWait(const std::string &service,
                                                           const ServiceLoad &load) const
{
    const Ends *ends = this->endsOfServices.find(service);
    if (ends == nullptr || ends->count < minObservations || ends->sizeTimesStay <= 0.0
        || load.inUse <= 0.0) {
        return std::nullopt;
    }
    const double freedPerSecond = load.inUse * ends->size / ends->sizeTimesStay;
    const double leftPerSecond
        = std::max(minRateShare * freedPerSecond, freedPerSecond - load.arriving);
    const double wait = std::min(maxWaitSeconds, (load.ahead + load.own) / leftPerSecond);
    const double shortest
        = std::min(maxWaitSeconds, certainShare * (load.ahead + load.own) / freedPerSecond);
    return ExpectedWait {fromSeconds(wait), fromSeconds(shortest)};
}

microseconds CapacityForecast::meanError() const
{
    return fromSeconds(this->errorSeconds);
}

} // namespace azurespindle::decision
