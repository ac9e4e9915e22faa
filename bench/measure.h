#ifndef AZURESPINDLE_BENCH_MEASURE_H
#define AZURESPINDLE_BENCH_MEASURE_H

#include <optional>
#include <string>
#include <vector>

namespace azurespindle::bench {

/// Which side of its bound a measure has to be on.
enum class Side { AtMost, AtLeast };

/// One line of a bench.
struct Measure
{
    std::string suite;
    std::string name;
    double value = 0.0;
    std::string unit;
    std::optional<double> bound; ///< From the stated target, never from a reading.
    Side side = Side::AtMost;

    /// Returns "ok", "short", or "-" where no bound is stated.
    std::string verdict() const;
};

/// Collects measures and prints each as it comes.
class Report
{
public:
    void add(const std::string &suite, const std::string &name, double value,
             const std::string &unit);
    void atMost(const std::string &suite, const std::string &name, double value,
                const std::string &unit, double bound);
    void atLeast(const std::string &suite, const std::string &name, double value,
                 const std::string &unit, double bound);
    /// Writes all measures as JSON to \a path.
    void write(const std::string &path) const;

private:
    void add(Measure measure);

    std::vector<Measure> measures;
};

} // namespace azurespindle::bench

#endif
