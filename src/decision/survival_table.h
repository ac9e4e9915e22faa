#ifndef AZURESPINDLE_DECISION_SURVIVAL_TABLE_H
#define AZURESPINDLE_DECISION_SURVIVAL_TABLE_H

#include <array>
#include <cstddef>

namespace azurespindle::decision {

/// Exponentially decaying life table of a positive quantity that is observed while it grows.
///
/// For each half-octave bucket it counts the observations that ended there and those that grew
/// beyond it, and derives the probability to end in the bucket from both (actuarial estimate).
/// An observation that is cut off, or has not ended yet, counts in the buckets that it passed, so
/// that neither biases the table.
class SurvivalTable
{
public:
    static constexpr std::size_t bucketCount = 35; ///< Up to 131,072.
    static constexpr double halfLife = 200.0;      ///< Observations after which a weight halves.
    /// Median of the distribution that is assumed before there are observations.
    static constexpr double priorMedian = 64.0;

    SurvivalTable();

    // Commands

    /// Records that an observation grew from \a from to \a to and may grow further.
    void recordGrowth(double from, double to);
    /// Records the end, at \a value, of an observation whose growth up to there was recorded.
    void recordEnd(double value);

    // Queries

    /// Returns the probability that the quantity exceeds \a value.
    double survival(double value) const;

private:
    struct Bucket
    {
        float ended = 0.0F;
        float passed = 0.0F; ///< One that is in the bucket counts as the fraction that it passed.
    };

    /// Lowers the weights of a bucket as \a observations more count in it.
    static void age(Bucket &bucket, double observations);
    void updateSurvivals();

    std::array<Bucket, bucketCount> buckets {};
    std::array<float, bucketCount + 1> survivals {}; ///< At 0 and the upper bound of each bucket.
};

} // namespace azurespindle::decision

#endif
