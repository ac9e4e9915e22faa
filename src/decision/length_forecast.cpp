#include "decision/length_forecast.h"

#include <algorithm>
#include <cmath>

namespace azurespindle::decision {
namespace {

/// Pseudo-outputs that the prior puts into the histogram, spread so that the survival halves
/// with each doubling of the length.
constexpr double priorWeight = 2.0;
/// Outputs at which a class weighs as much as the model's whole history.
constexpr double classEqualWeight = 8.0;
constexpr double minSurvival = 1e-9;
/// The integral of the survival ends where this little of it is left…
constexpr double negligible = 1e-3;
/// …and its steps grow by this factor.
constexpr double stepGrowth = 1.5;

/// Returns the upper bound of a bucket in tokens: 1, 1.41, 2, 2.83, 4 …
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
    this->rebuild();
}

void LengthHistogram::observe(Tokens length)
{
    const double keep = std::exp2(-1.0 / halfLife);
    for (double &count : this->counts) {
        count *= keep;
    }
    this->counts[bucketOf(length)] += 1.0;
    this->total = this->total * keep + 1.0;
    this->rebuild();
}

void LengthHistogram::rebuild()
{
    const double sum = this->total + priorWeight;
    double above = this->total;
    this->survivals[0] = 1.0;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        above -= this->counts[bucket];
        const double prior = priorWeight / (1.0 + upperBound(bucket) / 64.0);
        this->survivals[bucket + 1] = (std::max(above, 0.0) + prior) / sum;
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
    const double part = position - static_cast<double>(bucket);
    const double low = this->survivals[bucket + 1];
    const double high = this->survivals[bucket + 2];
    return low + (high - low) * part;
}

LengthEstimate::LengthEstimate(const LengthHistogram &all, const LengthHistogram *own)
    : all(all), own(own),
      voice(own == nullptr ? 0.0
                           : own->effectiveSamples() / (own->effectiveSamples() + classEqualWeight))
{ }

double LengthEstimate::survival(double length) const
{
    const double common = this->all.survival(length);
    if (this->own == nullptr) {
        return common;
    }
    return this->voice * this->own->survival(length) + (1.0 - this->voice) * common;
}

double LengthEstimate::continues(Tokens produced, Tokens further, Tokens maxTokens) const
{
    if (static_cast<double>(produced) + further >= maxTokens) {
        return 0.0;
    }
    const double now = std::max(this->survival(produced), minSurvival);
    const double later = this->survival(static_cast<double>(produced) + further);
    return std::clamp(later / now, 0.0, 1.0);
}

double LengthEstimate::expectedRemaining(Tokens produced, Tokens maxTokens) const
{
    if (produced >= maxTokens) {
        return 0.0;
    }
    const double now = std::max(this->survival(produced), minSurvival);
    double sum = 0.0;
    double from = produced;
    double survivalFrom = 1.0;
    double step = std::max(8.0, from / 8.0);
    while (from < maxTokens && survivalFrom > negligible) {
        const double to = std::min<double>(from + step, maxTokens);
        const double survivalTo = std::clamp(this->survival(to) / now, 0.0, 1.0);
        sum += (to - from) * (survivalFrom + survivalTo) / 2.0;
        from = to;
        survivalFrom = survivalTo;
        step *= stepGrowth;
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
    this->all.observe(length);
    this->classes.touch(key(workspace, trafficClass)).observe(length);
}

LengthEstimate LengthForecast::estimate(const std::string &workspace,
                                        const std::string &trafficClass) const
{
    return {this->all, this->classes.find(key(workspace, trafficClass))};
}

} // namespace azurespindle::decision
