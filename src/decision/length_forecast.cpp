#include "decision/length_forecast.h"

#include <algorithm>
#include <cmath>

namespace azurespindle::decision {
namespace {

/// Weight of the prior in outputs. The prior spreads them so that the survival halves with each
/// doubling of the length.
constexpr double priorWeight = 2.0;
/// Number of outputs at which a class's own histogram has the same weight as the model's.
constexpr double equalWeightSamples = 8.0;
constexpr double minSurvival = 1e-9; ///< Avoids a division by zero.
/// Survival at which the integration of expectedRemaining() stops.
constexpr double negligibleSurvival = 1e-3;
/// Factor by which the integration's step length grows.
constexpr double stepFactor = 1.5;

/// Returns the upper bound of a bucket in tokens: 1, 1.41, 2, 2.83, 4, ...
double upperBound(std::size_t bucket)
{
    return std::exp2(static_cast<double>(bucket) / 2.0);
}

std::size_t bucketOf(double length)
{
    if (length <= 1.0) {
        return 0;
    }
    const auto bucket = static_cast<std::size_t>(std::ceil(2.0 * std::log2(length)));
    return std::min(bucket, LengthHistogram::bucketCount - 1);
}

} // namespace

LengthHistogram::LengthHistogram()
{
    this->updateSurvivals();
}

void LengthHistogram::observe(Tokens length)
{
    const double decayFactor = std::exp2(-1.0 / halfLife);
    for (double &count : this->counts) {
        count *= decayFactor;
    }
    this->counts[bucketOf(length)] += 1.0;
    this->total = this->total * decayFactor + 1.0;
    this->updateSurvivals();
}

void LengthHistogram::updateSurvivals()
{
    const double sum = this->total + priorWeight;
    double longerOutputs = this->total;
    this->survivals[0] = 1.0;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        longerOutputs -= this->counts[bucket];
        const double prior = priorWeight / (1.0 + upperBound(bucket) / 64.0);
        this->survivals[bucket + 1] = (std::max(longerOutputs, 0.0) + prior) / sum;
    }
}

double LengthHistogram::survival(double length) const
{
    if (length <= 0.0) {
        return 1.0;
    }
    const double position = std::max(0.0, 2.0 * std::log2(std::max(length, 1.0)));
    const auto bucket = static_cast<std::size_t>(position);
    if (bucket + 2 > bucketCount) {
        const double beyond = length / upperBound(bucketCount - 1);
        return this->survivals[bucketCount] / std::max(beyond, 1.0);
    }
    const double fraction = position - static_cast<double>(bucket);
    const double low = this->survivals[bucket + 1];
    const double high = this->survivals[bucket + 2];
    return low + (high - low) * fraction;
}

LengthEstimate::LengthEstimate(const LengthHistogram &modelHistogram,
                               const LengthHistogram *ownHistogram)
    : modelHistogram(modelHistogram), ownHistogram(ownHistogram),
      ownWeight(ownHistogram == nullptr ? 0.0
                                        : ownHistogram->effectiveSamples()
                        / (ownHistogram->effectiveSamples() + equalWeightSamples))
{ }

double LengthEstimate::survival(double length) const
{
    const double modelSurvival = this->modelHistogram.survival(length);
    if (this->ownHistogram == nullptr) {
        return modelSurvival;
    }
    return this->ownWeight * this->ownHistogram->survival(length)
        + (1.0 - this->ownWeight) * modelSurvival;
}

double LengthEstimate::continuationProbability(Tokens produced, Tokens further,
                                               Tokens maxTokens) const
{
    if (static_cast<double>(produced) + further >= maxTokens) {
        return 0.0;
    }
    const double currentSurvival = std::max(this->survival(produced), minSurvival);
    const double laterSurvival = this->survival(static_cast<double>(produced) + further);
    return std::clamp(laterSurvival / currentSurvival, 0.0, 1.0);
}

double LengthEstimate::expectedRemaining(Tokens produced, Tokens maxTokens) const
{
    if (produced >= maxTokens) {
        return 0.0;
    }
    const double currentSurvival = std::max(this->survival(produced), minSurvival);
    double sum = 0.0;
    double from = produced;
    double survivalFrom = 1.0;
    double step = std::max(8.0, from / 8.0);
    while (from < maxTokens && survivalFrom > negligibleSurvival) {
        const double to = std::min<double>(from + step, maxTokens);
        const double survivalTo = std::clamp(this->survival(to) / currentSurvival, 0.0, 1.0);
        sum += (to - from) * (survivalFrom + survivalTo) / 2.0;
        from = to;
        survivalFrom = survivalTo;
        step *= stepFactor;
    }
    return sum;
}

std::string LengthForecast::key(const std::string &workspace, const std::string &trafficClass)
{
    return workspace + '\n' + trafficClass;
}

void LengthForecast::observe(const std::string &workspace, const std::string &trafficClass,
                             Tokens length)
{
    this->modelHistogram.observe(length);
    this->classHistograms.touch(key(workspace, trafficClass)).observe(length);
}

LengthEstimate LengthForecast::estimate(const std::string &workspace,
                                        const std::string &trafficClass) const
{
    return {this->modelHistogram, this->classHistograms.find(key(workspace, trafficClass))};
}

} // namespace azurespindle::decision
