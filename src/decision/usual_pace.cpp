#include "decision/usual_pace.h"

#include <algorithm>

namespace azurespindle::decision {
namespace {

/// Number of attempts that makes the term of the attempts 1, so that all terms are of similar size.
constexpr double attemptsScale = 16.0;
/// Penalty on the squares of the coefficients. Loads that do not vary leave a coefficient near 0.
constexpr double ridge = 0.5;
/// Penalty on the constant term, which only keeps the equations solvable.
constexpr double constantRidge = 1e-6;

} // namespace

UsualPace::Vector UsualPace::termsOf(const WorkLoad &load)
{
    return {1.0, load.attempts / attemptsScale, load.prefill};
}

double UsualPace::predict(const Vector &values) const
{
    double sum = 0.0;
    for (std::size_t term = 0; term < terms; ++term) {
        sum += this->coefficients[term] * values[term];
    }
    return sum;
}

void UsualPace::record(const WorkLoad &load, double logDuration)
{
    constexpr double decay = 1.0 - 1.0 / memorySamples;
    const Vector values = termsOf(load);
    if (this->samples >= minSamples) {
        const double expected = this->predict(values);
        logDuration = std::clamp(logDuration, expected - maxResidual, expected + maxResidual);
    }
    this->samples += 1;
    for (std::size_t row = 0; row < terms; ++row) {
        for (std::size_t column = 0; column < terms; ++column) {
            this->products[row][column]
                = this->products[row][column] * decay + values[row] * values[column];
        }
        this->responses[row] = this->responses[row] * decay + values[row] * logDuration;
    }
    this->solve();
}

void UsualPace::solve()
{
    // Gaussian elimination; the penalties make the matrix positive definite, so that no pivot is 0.
    std::array<Vector, terms> left = this->products;
    Vector right = this->responses;
    for (std::size_t pivot = 0; pivot < terms; ++pivot) {
        left[pivot][pivot] += pivot == 0 ? constantRidge : ridge;
    }
    for (std::size_t pivot = 0; pivot < terms; ++pivot) {
        for (std::size_t row = pivot + 1; row < terms; ++row) {
            const double factor = left[row][pivot] / left[pivot][pivot];
            for (std::size_t column = pivot; column < terms; ++column) {
                left[row][column] -= factor * left[pivot][column];
            }
            right[row] -= factor * right[pivot];
        }
    }
    for (std::size_t row = terms; row-- > 0;) {
        double sum = right[row];
        for (std::size_t column = row + 1; column < terms; ++column) {
            sum -= left[row][column] * this->coefficients[column];
        }
        this->coefficients[row] = sum / left[row][row];
    }
}

std::optional<double> UsualPace::logDuration(const WorkLoad &load) const
{
    return this->samples < minSamples ? std::nullopt : std::optional(this->predict(termsOf(load)));
}

} // namespace azurespindle::decision
