#ifndef AZURESPINDLE_DECISION_MEMORY_PROFILE_H
#define AZURESPINDLE_DECISION_MEMORY_PROFILE_H

#include "decision/length_forecast.h"

#include <array>
#include <cstddef>

namespace azurespindle::decision {

/// Forecast of KV cache memory: mean and variance now and at several numbers of decode steps ahead.
///
/// Time is measured in decode steps, because all generations of an engine grow by one token per
/// step. At each horizon a generation holds prompt + produced + horizon tokens if it is still
/// running, and nothing otherwise. Generations are taken as independent, so their means and
/// variances add up.
class MemoryProfile
{
public:
    /// Numbers of decode steps ahead for which memory is forecast.
    static constexpr std::array<Tokens, 7> horizons {0, 32, 128, 512, 2'048, 8'192, 32'768};

    // Commands

    void add(const MemoryProfile &other);
    void subtract(const MemoryProfile &other);

    // Queries

    /// Returns the maximum over all horizons of the mean plus \a deviations standard deviations of
    /// the sum of this profile and \a other, in tokens.
    double peakWith(const MemoryProfile &other, double deviations) const;
    /// Returns the expected memory in use now, in tokens.
    double current() const { return this->means[0]; }

    /// Returns the profile of one generation that has \a produced tokens and will have at most
    /// \a maxTokens.
    static MemoryProfile forGeneration(const LengthEstimate &estimate, Tokens promptTokens,
                                       Tokens produced, Tokens maxTokens);

    bool operator==(const MemoryProfile &other) const = default;

private:
    std::array<double, horizons.size()> means {};
    std::array<double, horizons.size()> variances {};
};

} // namespace azurespindle::decision

#endif
