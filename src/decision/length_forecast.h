#ifndef AZURESPINDLE_DECISION_LENGTH_FORECAST_H
#define AZURESPINDLE_DECISION_LENGTH_FORECAST_H

#include "base/recent_map.h"
#include "decision/types.h"

#include <array>
#include <cstddef>
#include <string>

namespace azurespindle::decision {

/// Decaying histogram of output lengths, in half-octave buckets up to 131,072 tokens.
///
/// The question it answers is conditional: a generation that has produced 4,000 tokens is no
/// longer described by a mean of 300. Beyond the longest length seen it assumes that as much
/// is to come as has already come, the usual prior for heavy tails.
class LengthHistogram
{
public:
    static constexpr std::size_t bucketCount = 35;

    LengthHistogram();

    // Commands

    /// Counts a finished output. Earlier ones lose weight: half of it in \a halfLife outputs.
    void observe(Tokens length);

    // Queries

    /// Returns the probability that an output is longer than \a length tokens.
    double survival(double length) const;
    /// Returns how many recent outputs stand behind the histogram, after decay.
    double effectiveSamples() const { return this->total; }

    static constexpr double halfLife = 200.0; ///< Outputs.

private:
    void rebuild();

    std::array<double, bucketCount> counts {};
    std::array<double, bucketCount + 1> survivals {};
    double total = 0.0;
};

/// What is to be expected of the outputs of one class. Valid until its forecast changes.
class LengthEstimate
{
public:
    LengthEstimate(const LengthHistogram &all, const LengthHistogram *own);

    /// Returns the probability that an output that has \a produced tokens grows by more than
    /// \a further ones; 0 at and beyond \a maxTokens.
    double continues(Tokens produced, Tokens further, Tokens maxTokens) const;
    /// Returns the expected number of tokens still to come.
    double expectedRemaining(Tokens produced, Tokens maxTokens) const;
    /// Returns how many recent outputs of the model stand behind it, after decay.
    double effectiveSamples() const { return this->all.effectiveSamples(); }

private:
    double survival(double length) const;

    const LengthHistogram &all;
    const LengthHistogram *own;
    double voice; ///< Weight of the class beside the model, 0 to 1.
};

/// Output lengths of one model, by workspace and traffic class.
///
/// A class with little history leans on the model's history, and gains its own voice with each
/// output. Classes are bounded in number: the least recently used one is forgotten.
///
///     forecast.observe("gates", "spec", 812);
///     double more = forecast.estimate("gates", "spec").expectedRemaining(4'000, 65'536);
class LengthForecast
{
public:
    static constexpr std::size_t maxClasses = 512;

    // Commands

    void observe(const std::string &workspace, const std::string &trafficClass, Tokens length);

    // Queries

    LengthEstimate estimate(const std::string &workspace, const std::string &trafficClass) const;
    /// Returns the number of classes with a history of their own.
    std::size_t classCount() const { return this->classes.size(); }

private:
    static std::string key(const std::string &workspace, const std::string &trafficClass);

    LengthHistogram all;
    RecentMap<std::string, LengthHistogram> classes {maxClasses};
};

} // namespace azurespindle::decision

#endif
