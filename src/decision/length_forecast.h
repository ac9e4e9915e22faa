#ifndef AZURESPINDLE_DECISION_LENGTH_FORECAST_H
#define AZURESPINDLE_DECISION_LENGTH_FORECAST_H

#include "base/recent_map.h"
#include "decision/types.h"

#include <array>
#include <cstddef>
#include <string>

namespace azurespindle::decision {

/// Exponentially decaying histogram of output lengths, in half-octave buckets up to 131,072 tokens.
///
/// It provides a survival function rather than a mean, because forecasts are conditional on what
/// was already produced: a mean of 300 tokens says nothing about a generation that has 4,000.
/// Beyond the longest observed length it assumes that as many tokens will follow as were already
/// produced, which is the usual prior for heavy-tailed distributions.
class LengthHistogram
{
public:
    static constexpr std::size_t bucketCount = 35;

    LengthHistogram();

    // Commands

    /// Adds the length of a completed output, in tokens. The weight of an earlier output halves
    /// with every \a halfLife later ones.
    void observe(Tokens length);

    // Queries

    /// Returns the probability that an output is longer than \a length tokens.
    double survival(double length) const;
    /// Returns the sum of the decayed weights of all observed outputs.
    double effectiveSamples() const { return this->total; }

    static constexpr double halfLife = 200.0; ///< Number of outputs after which a weight halves.

private:
    void updateSurvivals();

    std::array<double, bucketCount> counts {};
    std::array<double, bucketCount + 1> survivals {};
    double total = 0.0;
};

/// Estimates the output lengths of one traffic class. It refers to the histograms of the
/// LengthForecast that returned it and is valid until that observes another output.
class LengthEstimate
{
public:
    LengthEstimate(const LengthHistogram &modelHistogram, const LengthHistogram *ownHistogram);

    /// Returns the probability that an output of \a produced tokens grows by more than \a further
    /// tokens; 0 if that reaches \a maxTokens.
    double continuationProbability(Tokens produced, Tokens further, Tokens maxTokens) const;
    /// Returns the expected number of tokens that follow \a produced tokens, bounded by \a
    /// maxTokens.
    double expectedRemaining(Tokens produced, Tokens maxTokens) const;
    /// Returns the sum of the decayed weights of the outputs observed for the model.
    double effectiveSamples() const { return this->modelHistogram.effectiveSamples(); }

private:
    double survival(double length) const;

    const LengthHistogram &modelHistogram;
    const LengthHistogram *ownHistogram;
    double ownWeight; ///< Weight of the class's own histogram, from 0 to 1.
};

/// Forecasts output lengths of one model by workspace and traffic class.
///
/// The estimate for a class blends its own histogram with that of the whole model; the weight of
/// its own grows with each output. The number of classes is bounded: the least recently used one is
/// evicted.
///
///     forecast.observe("gates", "spec", 812);
///     double more = forecast.estimate("gates", "spec").expectedRemaining(4'000, 65'536);
class LengthForecast
{
public:
    static constexpr std::size_t maxClasses = 512;

    // Commands

    /// Adds the length of a completed output, in tokens.
    void observe(const std::string &workspace, const std::string &trafficClass, Tokens length);

    // Queries

    LengthEstimate estimate(const std::string &workspace, const std::string &trafficClass) const;
    /// Returns the number of classes that have a histogram.
    std::size_t classCount() const { return this->classHistograms.size(); }

private:
    static std::string key(const std::string &workspace, const std::string &trafficClass);

    LengthHistogram modelHistogram;
    RecentMap<std::string, LengthHistogram> classHistograms {maxClasses};
};

} // namespace azurespindle::decision

#endif
