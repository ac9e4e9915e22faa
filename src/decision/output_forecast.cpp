#include "decision/output_forecast.h"

#include <algorithm>
#include <cmath>

namespace azurespindle::decision {
namespace {

/// Output length that is assumed if the request states no maximum.
constexpr Tokens defaultMaxTokens = 512;
/// Expected output as a fraction of the maximum, before lengths were observed.
constexpr double expectedFraction = 0.42;
/// Exponent with which ((maximum - length) / maximum)^x is a survival function of that mean.
constexpr double maximumExponent = 1.0 / expectedFraction - 1.0;
/// Number of outputs at which the histories and the maximum have equal weight.
constexpr double maximumHalfWeight = 8.0;
/// Number of outputs at which a class's own history has the same weight as the route's.
constexpr double classHalfWeight = 8.0;
/// Number of outputs with hints at which a hint has half of the weight that its score gives it.
constexpr double hintHalfWeight = 3.0;
/// Number of outputs at which the baseline and the maximum have equal weight. It is larger because
/// the baseline learns the short outputs first.
constexpr double baselineHalfWeight = 24.0;
constexpr double minSurvival = 1e-9; ///< Avoids a division by zero.
/// Bound of one output's part of the score, so that a single one cannot decide it.
constexpr double maxScoreStep = 1.0;
/// Bound of the score, so that it follows a change of the hints.
constexpr double maxScore = 8.0;
constexpr double halfOctave = 1.4142135623730951;
/// Growth of the integration's step length.
constexpr double stepFactor = 1.25;
constexpr double minStep = 4.0;
constexpr int bisections = 32;

double maximumOf(const OutputRequest &request)
{
    return request.maxTokens > 0 ? request.maxTokens : defaultMaxTokens;
}

double hintOf(const OutputRequest &request)
{
    return std::min<double>(request.hint.value_or(0), maximumOf(request));
}

double ratioOf(double length, double hint)
{
    return SurvivalTable::priorMedian * length / hint;
}

std::string classKey(const OutputRequest &request)
{
    return request.route + '\n' + request.workspace;
}

double logRatio(double first, double second)
{
    return std::clamp(std::log(std::max(first, minSurvival) / std::max(second, minSurvival)),
                      -maxScoreStep, maxScoreStep);
}

void addGrowth(OutputHistory &history, double hint, double from, double to)
{
    history.lengths.recordGrowth(from, to);
    if (hint > 0.0) {
        history.ratios.recordGrowth(ratioOf(from, hint), ratioOf(to, hint));
    }
}

void addEnd(OutputHistory &history, double hint, double length, bool atMaximum, double scoreStep)
{
    const double decayFactor = std::exp2(-1.0 / SurvivalTable::halfLife);
    history.outputs = history.outputs * decayFactor + 1.0;
    if (hint > 0.0) {
        history.hinted = history.hinted * decayFactor + 1.0;
        history.hintScore = std::clamp(history.hintScore + scoreStep, -maxScore, maxScore);
    }
    // At the maximum it is unknown how long the output would have become.
    if (!atMaximum) {
        history.lengths.recordEnd(length);
        if (hint > 0.0) {
            history.ratios.recordEnd(ratioOf(length, hint));
        }
    }
}

} // namespace

OutputForecast::OutputForecast(const OutputHistory *route, const OutputHistory *own,
                               const OutputRequest &request, Tokens produced)
    : route(route), own(own), maxTokens(maximumOf(request)), hint(hintOf(request)),
      produced(std::min<double>(produced, this->maxTokens))
{
    if (route == nullptr) {
        return;
    }
    this->ownWeight = own == nullptr ? 0.0 : own->outputs / (own->outputs + classHalfWeight);
    this->learnedWeight = route->outputs / (route->outputs + maximumHalfWeight);
    if (this->hint > 0.0) {
        const double score = this->blend(route->hintScore, own == nullptr ? 0.0 : own->hintScore);
        this->weightOfHint
            = route->hinted / (route->hinted + hintHalfWeight) / (1.0 + std::exp(-score));
    }
}

double OutputForecast::blend(double routeValue, double ownValue) const
{
    return this->ownWeight * ownValue + (1.0 - this->ownWeight) * routeValue;
}

double OutputForecast::lengthSurvival(double length) const
{
    return this->blend(this->route->lengths.survival(length),
                       this->own == nullptr ? 0.0 : this->own->lengths.survival(length));
}

double OutputForecast::ratioSurvival(double length) const
{
    const double ratio = ratioOf(length, this->hint);
    return this->blend(this->route->ratios.survival(ratio),
                       this->own == nullptr ? 0.0 : this->own->ratios.survival(ratio));
}

double OutputForecast::learnedSurvival(double length) const
{
    const double byLength = this->lengthSurvival(length);
    return this->weightOfHint > 0.0
        ? this->weightOfHint * this->ratioSurvival(length) + (1.0 - this->weightOfHint) * byLength
        : byLength;
}

double OutputForecast::continues(double further) const
{
    const double left = this->maxTokens - this->produced;
    if (further >= left) {
        return 0.0;
    }
    const double byMaximum = std::pow((left - further) / left, maximumExponent);
    if (this->learnedWeight <= 0.0) {
        return byMaximum;
    }
    const double current = std::max(this->learnedSurvival(this->produced), minSurvival);
    const double learned
        = std::clamp(this->learnedSurvival(this->produced + further) / current, 0.0, 1.0);
    return this->learnedWeight * learned + (1.0 - this->learnedWeight) * byMaximum;
}

double OutputForecast::expectedRemaining() const
{
    const double left = this->maxTokens - this->produced;
    const double byMaximum = expectedFraction * left;
    if (this->learnedWeight <= 0.0 || left <= 0.0) {
        return byMaximum;
    }
    const double current = std::max(this->learnedSurvival(this->produced), minSurvival);
    double learned = 0.0;
    double from = 0.0;
    double survivalFrom = 1.0;
    double step = minStep;
    while (from < left) {
        const double to = std::min(from + step, left);
        const double survivalTo
            = std::clamp(this->learnedSurvival(this->produced + to) / current, 0.0, 1.0);
        learned += (to - from) * (survivalFrom + survivalTo) / 2.0;
        from = to;
        survivalFrom = survivalTo;
        step *= stepFactor;
    }
    return this->learnedWeight * learned + (1.0 - this->learnedWeight) * byMaximum;
}

Tokens OutputForecast::upperBound(double confidence) const
{
    double low = 0.0;
    double high = this->maxTokens - this->produced;
    for (int round = 0; round < bisections; ++round) {
        const double middle = (low + high) / 2.0;
        (this->continues(middle) > 1.0 - confidence ? low : high) = middle;
    }
    return static_cast<Tokens>(std::ceil(high));
}

Tokens OutputForecast::meanWhileRunning() const
{
    // Whole tokens are expected, as claims are counted in whole tokens.
    return static_cast<Tokens>(this->expectedRemaining()) / 2;
}

void OutputForecaster::recordGrowth(const OutputRequest &request, Tokens from, Tokens to)
{
    if (to <= from) {
        return;
    }
    const double hint = hintOf(request);
    addGrowth(this->routes.touch(request.route).history, hint, from, to);
    addGrowth(this->classes.touch(classKey(request)), hint, from, to);
}

void OutputForecaster::recordEnd(const OutputRequest &request, Tokens length,
                                 const InitialForecast &initial)
{
    const double hint = hintOf(request);
    const bool atMaximum = length >= maximumOf(request);
    double scoreStep = 0.0;
    if (hint > 0.0) {
        const OutputForecast before = this->forecast(request, 0);
        const double shorter = length / halfOctave;
        scoreStep = before.route == nullptr ? 0.0
            : atMaximum
            ? logRatio(before.ratioSurvival(length), before.lengthSurvival(length))
            : logRatio(before.ratioSurvival(shorter) - before.ratioSurvival(length * halfOctave),
                       before.lengthSurvival(shorter) - before.lengthSurvival(length * halfOctave));
    }
    RouteHistory &route = this->routes.touch(request.route);
    addEnd(route.history, hint, length, atMaximum, scoreStep);
    addEnd(this->classes.touch(classKey(request)), hint, length, atMaximum, scoreStep);
    route.baseline.observe(length);
    const double actual = std::max<double>(length, 1.0);
    route.outputs += 1;
    route.errorSum += std::abs(std::log(std::max(initial.expected, 1.0) / actual));
    route.baselineErrorSum += std::abs(std::log(std::max(initial.baseline, 1.0) / actual));
}

OutputForecast OutputForecaster::forecast(const OutputRequest &request, Tokens produced) const
{
    const RouteHistory *route = this->routes.find(request.route);
    return {route == nullptr ? nullptr : &route->history, this->classes.find(classKey(request)),
            request, produced};
}

InitialForecast OutputForecaster::initialForecast(const OutputRequest &request) const
{
    const double maximum = maximumOf(request);
    InitialForecast initial {this->forecast(request, 0).expectedRemaining(),
                             expectedFraction * maximum};
    if (const RouteHistory *route = this->routes.find(request.route)) {
        const LengthEstimate lengths(route->baseline, nullptr);
        const double weight
            = lengths.effectiveSamples() / (lengths.effectiveSamples() + baselineHalfWeight);
        initial.baseline = weight * lengths.expectedRemaining(0, static_cast<Tokens>(maximum))
            + (1.0 - weight) * initial.baseline;
    }
    return initial;
}

std::vector<ForecastError> OutputForecaster::errors() const
{
    std::vector<ForecastError> errors;
    this->routes.forEach([&](const std::string &name, const RouteHistory &route) {
        if (route.outputs > 0) {
            const auto outputs = static_cast<double>(route.outputs);
            errors.push_back(
                {name, route.outputs, route.errorSum / outputs, route.baselineErrorSum / outputs});
        }
    });
    return errors;
}

} // namespace azurespindle::decision
