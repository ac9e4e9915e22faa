#include "decision/survival_table.h"

#include <algorithm>
#include <cmath>

namespace azurespindle::decision {
namespace {

/// Weight of the prior in each bucket, in observations.
constexpr double priorWeight = 2.0;

/// Returns the upper bound of a bucket: 1, 1.41, 2, 2.83, 4, ...
double upperBound(std::size_t bucket)
{
    return std::exp2(static_cast<double>(bucket) / 2.0);
}

/// Returns the survival that is assumed before there are observations.
double priorSurvival(double value)
{
    return 1.0 / (1.0 + value / SurvivalTable::priorMedian);
}

std::size_t bucketOf(double value)
{
    if (value <= 1.0) {
        return 0;
    }
    const auto bucket = static_cast<std::size_t>(std::ceil(2.0 * std::log2(value)));
    return std::min(bucket, SurvivalTable::bucketCount - 1);
}

/// Returns the part of a bucket that lies below \a value, on a logarithmic scale, from 0 to 1.
double fractionPassed(std::size_t bucket, double value)
{
    if (bucket == 0) {
        return std::clamp(value, 0.0, 1.0);
    }
    const double position = 2.0 * std::log2(std::max(value, 1.0));
    return std::clamp(position - static_cast<double>(bucket) + 1.0, 0.0, 1.0);
}

} // namespace

SurvivalTable::SurvivalTable()
{
    this->updateSurvivals();
}

void SurvivalTable::age(Bucket &bucket, double observations)
{
    const auto decayFactor = static_cast<float>(std::exp2(-observations / halfLife));
    bucket.ended *= decayFactor;
    bucket.passed *= decayFactor;
}

void SurvivalTable::recordGrowth(double from, double to)
{
    for (std::size_t index = bucketOf(from); index <= bucketOf(to); ++index) {
        const double passed = fractionPassed(index, to) - fractionPassed(index, from);
        age(this->buckets[index], passed);
        this->buckets[index].passed += static_cast<float>(passed);
    }
    this->updateSurvivals();
}

void SurvivalTable::recordEnd(double value)
{
    const std::size_t index = bucketOf(value);
    Bucket &bucket = this->buckets[index];
    const double passed = fractionPassed(index, value);
    // The observation counts once in this bucket, as one that ended.
    bucket.passed = std::max(0.0F, bucket.passed - static_cast<float>(passed));
    age(bucket, 1.0 - passed);
    bucket.ended += 1.0F;
    this->updateSurvivals();
}

void SurvivalTable::updateSurvivals()
{
    double survival = 1.0;
    double priorBefore = 1.0;
    this->survivals[0] = 1.0F;
    for (std::size_t index = 0; index < bucketCount; ++index) {
        const double prior = priorSurvival(upperBound(index));
        const Bucket &bucket = this->buckets[index];
        const double passed = bucket.passed + priorWeight * prior / priorBefore;
        survival *= passed / (bucket.passed + bucket.ended + priorWeight);
        this->survivals[index + 1] = static_cast<float>(survival);
        priorBefore = prior;
    }
}

double SurvivalTable::survival(double value) const
{
    if (value <= 1.0) {
        const double fraction = std::max(value, 0.0);
        return 1.0 + (this->survivals[1] - 1.0) * fraction;
    }
    const double position = 2.0 * std::log2(value);
    const auto bucket = static_cast<std::size_t>(position);
    if (bucket + 2 > bucketCount) {
        return this->survivals[bucketCount] * upperBound(bucketCount - 1) / value;
    }
    const double fraction = position - static_cast<double>(bucket);
    const double low = this->survivals[bucket + 1];
    const double high = this->survivals[bucket + 2];
    return low + (high - low) * fraction;
}

} // namespace azurespindle::decision
