#ifndef AZURESPINDLE_DECISION_MEMORY_PROFILE_H
#define AZURESPINDLE_DECISION_MEMORY_PROFILE_H

#include "decision/length_forecast.h"

#include <array>
#include <cstddef>

namespace azurespindle::decision {

/// Expected KV memory, now and a number of decode steps ahead.
///
/// All generations of an engine grow by one token a step, so steps are their common clock. At
/// each horizon a generation holds prompt + produced + horizon tokens if it is still running
/// then, and nothing otherwise; means and variances of independent generations add up.
class MemoryProfile
{
public:
    /// Steps ahead at which memory is looked at.
    static constexpr std::array<Tokens, 7> horizons {0, 32, 128, 512, 2'048, 8'192, 32'768};

    // Commands

    void add(const MemoryProfile &other);
    void subtract(const MemoryProfile &other);

    // Queries

    /// Returns the largest, over the horizons, of the mean plus \a deviations standard deviations
    /// of this profile and \a other together, in tokens.
    double peakWith(const MemoryProfile &other, double deviations) const;
    /// Returns the expected memory now, in tokens.
    double current() const { return this->means[0]; }

    /// Returns the profile of one generation. \a maxTokens bounds its output.
    static MemoryProfile ofGeneration(const LengthEstimate &estimate, Tokens promptTokens,
                                      Tokens produced, Tokens maxTokens);

    bool operator==(const MemoryProfile &other) const = default;

private:
    std::array<double, horizons.size()> means {};
    std::array<double, horizons.size()> variances {};
};

} // namespace azurespindle::decision

#endif
