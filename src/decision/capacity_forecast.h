#ifndef AZURESPINDLE_DECISION_CAPACITY_FORECAST_H
#define AZURESPINDLE_DECISION_CAPACITY_FORECAST_H

#include "base/recent_map.h"
#include "base/time_types.h"

#include <cstddef>
#include <optional>
#include <string>

namespace azurespindle::decision {

/// What a service's upstreams hold and what waits for them. Sizes are KV tokens of engines, or
/// requests of plain upstreams.
struct ServiceLoad
{
    double inUse = 0.0;    ///< Size of the running requests of the whole fleet.
    double ahead = 0.0;    ///< Size of the requests that go before the one in question.
    double own = 0.0;      ///< Size of that request.
    double arriving = 0.0; ///< Size of more urgent requests that arrive in a second.
};

/// When a waiting request is expected to find room.
struct ExpectedWait
{
    microseconds expected {0};
    microseconds atLeast {0}; ///< Optimistic estimate.
    bool operator==(const ExpectedWait &other) const = default;
};

/// Forecasts when capacity becomes free from the ends of earlier requests.
///
/// By Little's law, a service frees what it holds in the mean time that requests stay, weighted by
/// their sizes. The stays are those of this process's requests; what is held is known of the fleet.
class CapacityForecast
{
public:
    static constexpr std::size_t maxServices = 64;
    /// Ends that have to be observed before there is a forecast.
    static constexpr double minObservations = 20.0;

    // Commands

    /// Records that a request which was executed has ended.
    void recordEnd(const std::string &service, double size, microseconds stay);
    /// Records how long a request waited, and for how long it was expected to.
    void recordWait(microseconds expected, microseconds actual);

    // Queries

    /// Returns when a request is expected to find room, or nothing if too little is known.
    std::optional<ExpectedWait> expectedWait(const std::string &service,
                                             const ServiceLoad &load) const;
    /// Returns the mean absolute error of the expected waits.
    microseconds meanError() const;

private:
    /// Sums whose earlier terms lose weight with each later one.
    struct Ends
    {
        double count = 0.0;
        double size = 0.0;
        double sizeTimesStay = 0.0; ///< In size times seconds.
    };

    RecentMap<std::string, Ends> endsOfServices {maxServices};
    double errorSeconds = 0.0;
    bool hasError = false;
};

} // namespace azurespindle::decision

#endif
