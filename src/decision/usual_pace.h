#ifndef AZURESPINDLE_DECISION_USUAL_PACE_H
#define AZURESPINDLE_DECISION_USUAL_PACE_H

#include <array>
#include <cstddef>
#include <optional>

namespace azurespindle::decision {

/// Load of an upstream while it worked on a request.
struct WorkLoad
{
    double attempts = 0.0; ///< Attempts that ran there.
    double prefill = 0.0;  ///< Share of the time, 0 to 1, in which it had prompts to read.
    bool operator==(const WorkLoad &other) const = default;
};

/// Learns how the duration of a unit of work at the upstreams of one service depends on their load.
///
/// The logarithm of the duration is a linear function of the load, fitted by least squares to the
/// latest samples. A sample far from the fit counts only as one at maxResidual from it.
class UsualPace
{
public:
    /// Samples before which the effect of the load is not known.
    static constexpr std::size_t minSamples = 4;
    /// Number of samples after which the weight of a sample has fallen to 1/e.
    static constexpr double memorySamples = 256.0;
    /// Largest difference from the fit, as a natural logarithm, that a sample counts with.
    static constexpr double maxResidual = 0.7;

    // Commands

    /// Adds a sample.
    /// \param logDuration natural logarithm of the duration; finite.
    void record(const WorkLoad &load, double logDuration);

    // Queries

    /// Returns the natural logarithm of the usual duration, or nothing before minSamples.
    std::optional<double> logDuration(const WorkLoad &load) const;

private:
    static constexpr std::size_t terms = 3;
    using Vector = std::array<double, terms>;

    static Vector termsOf(const WorkLoad &load);
    double predict(const Vector &values) const;
    void solve();

    std::size_t samples = 0;
    std::array<Vector, terms> products {}; ///< Decayed sums of products of two terms.
    Vector responses {};                   ///< Decayed sums of a term times the logarithm.
    Vector coefficients {};
};

} // namespace azurespindle::decision

#endif
