#include "decision/memory_profile.h"

#include <algorithm>
#include <cmath>

namespace azurespindle::decision {

void MemoryProfile::add(const MemoryProfile &other)
{
    for (std::size_t index = 0; index < horizons.size(); ++index) {
        this->means[index] += other.means[index];
        this->variances[index] += other.variances[index];
    }
}

void MemoryProfile::subtract(const MemoryProfile &other)
{
    for (std::size_t index = 0; index < horizons.size(); ++index) {
        this->means[index] -= other.means[index];
        this->variances[index] = std::max(0.0, this->variances[index] - other.variances[index]);
    }
}

double MemoryProfile::peakWith(const MemoryProfile &other, double deviations) const
{
    double peak = 0.0;
    for (std::size_t index = 0; index < horizons.size(); ++index) {
        const double mean = this->means[index] + other.means[index];
        const double variance = this->variances[index] + other.variances[index];
        peak = std::max(peak, mean + deviations * std::sqrt(variance));
    }
    return peak;
}

MemoryProfile MemoryProfile::forGeneration(const LengthEstimate &estimate, Tokens promptTokens,
                                           Tokens produced, Tokens maxTokens)
{
    MemoryProfile profile;
    const double currentTokens = static_cast<double>(promptTokens) + produced;
    profile.means[0] = currentTokens;
    for (std::size_t index = 1; index < horizons.size(); ++index) {
        const double survival
            = estimate.continuationProbability(produced, horizons[index], maxTokens);
        const double futureTokens = currentTokens + horizons[index];
        profile.means[index] = survival * futureTokens;
        profile.variances[index] = survival * (1.0 - survival) * futureTokens * futureTokens;
    }
    return profile;
}

} // namespace azurespindle::decision
