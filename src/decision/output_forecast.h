#ifndef AZURESPINDLE_DECISION_OUTPUT_FORECAST_H
#define AZURESPINDLE_DECISION_OUTPUT_FORECAST_H

#include "base/recent_map.h"
#include "decision/length_forecast.h"
#include "decision/survival_table.h"
#include "decision/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace azurespindle::decision {

/// What is known of an output before it begins.
struct OutputRequest
{
    std::string route;
    std::string workspace;
    Tokens maxTokens = 0;       ///< Stated maximum; 0 if none is stated.
    std::optional<Tokens> hint; ///< Length that the caller expects; 0 and absent state nothing.
};

/// Completed outputs of one route or class.
struct OutputHistory
{
    SurvivalTable lengths; ///< In tokens.
    SurvivalTable ratios;  ///< Actual to hinted length, in units of 1 / SurvivalTable::priorMedian.
    double outputs = 0.0;  ///< Decayed number of completed outputs.
    double hinted = 0.0;   ///< Decayed number of those that had a hint.
    double hintScore = 0.0; ///< Decayed log likelihood of the ratios over that of the lengths.
};

/// Forecast of one output, given the tokens that it has produced. It refers to the histories of the
/// OutputForecaster that returned it and is valid until that records another output.
class OutputForecast
{
public:
    /// \param route history of the route, or nullptr.
    /// \param own history of the workspace on the route, or nullptr.
    OutputForecast(const OutputHistory *route, const OutputHistory *own,
                   const OutputRequest &request, Tokens produced);

    /// Returns the expected number of tokens that follow.
    double expectedRemaining() const;
    /// Returns the number of further tokens that is not exceeded with probability \a confidence.
    Tokens upperBound(double confidence) const;
    /// Returns the probability that at most \a further tokens follow.
    double endsWithin(Tokens further) const { return 1.0 - this->continues(further); }
    /// Returns the expected mean over the rest of its run of the tokens that it will have added.
    /// Outputs grow evenly, so this is half of what is expected.
    Tokens meanWhileRunning() const;
    /// Returns the weight of the hint beside the learned lengths, from 0 to 1.
    double hintWeight() const { return this->weightOfHint; }

private:
    friend class OutputForecaster;

    double continues(double further) const;
    double learnedSurvival(double length) const;
    double lengthSurvival(double length) const;
    double ratioSurvival(double length) const;
    double blend(double routeValue, double ownValue) const;

    const OutputHistory *route;
    const OutputHistory *own;
    double maxTokens;
    double hint; ///< In tokens; 0: none.
    double produced;
    double ownWeight = 0.0;     ///< Weight of \a own beside \a route.
    double learnedWeight = 0.0; ///< Weight of the histories beside the maximum.
    double weightOfHint = 0.0;
};

/// Mean absolute log errors of the forecasts of one route: |ln(forecast / actual length)|.
struct ForecastError
{
    std::string route;
    std::uint64_t outputs = 0;
    double error = 0.0;         ///< Of the forecasts when the outputs began.
    double baselineError = 0.0; ///< Of the estimate from the route's lengths and the maximum alone.
};

/// Expected lengths of an output when it began.
struct InitialForecast
{
    double expected = 0.0;
    double baseline = 0.0; ///< Estimate from the route's lengths and the maximum alone.
};

/// Forecasts the lengths of outputs from the caller's hint, the stated maximum, and earlier outputs
/// of the route and of the workspace. It learns how far the hints of a route can be trusted.
///
/// The number of routes and classes (a workspace on a route) is bounded: the least recently used
/// one is forgotten.
class OutputForecaster
{
public:
    static constexpr std::size_t maxRoutes = 256;
    static constexpr std::size_t maxClasses = 512;

    // Commands

    /// Records that an output grew from \a from to \a to tokens. An output that is cut off ends
    /// without another record.
    void recordGrowth(const OutputRequest &request, Tokens from, Tokens to);
    /// Records that an output whose growth up to \a length was recorded is complete.
    void recordEnd(const OutputRequest &request, Tokens length, const InitialForecast &initial);

    // Queries

    /// Returns a forecast for an output that has produced \a produced tokens.
    OutputForecast forecast(const OutputRequest &request, Tokens produced) const;
    InitialForecast initialForecast(const OutputRequest &request) const;
    /// Returns the errors by route.
    std::vector<ForecastError> errors() const;
    std::size_t routeCount() const { return this->routes.size(); }
    std::size_t classCount() const { return this->classes.size(); }

private:
    struct RouteHistory
    {
        OutputHistory history;
        LengthHistogram baseline; ///< Lengths of completed outputs only.
        std::uint64_t outputs = 0;
        double errorSum = 0.0;
        double baselineErrorSum = 0.0;
    };

    RecentMap<std::string, RouteHistory> routes {maxRoutes};
    RecentMap<std::string, OutputHistory> classes {maxClasses};
};

} // namespace azurespindle::decision

#endif
