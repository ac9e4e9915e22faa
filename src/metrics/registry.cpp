#include "metrics/registry.h"

#include <boost/histogram.hpp>

#include <cmath>
#include <map>
#include <sstream>
#include <utility>
#include <vector>

namespace azurespindle::metrics {
namespace {

namespace histogram = boost::histogram;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using Histogram
    = decltype(histogram::make_histogram_with(std::vector<std::uint32_t>(), std::declval<Axis>()));

/// Metric name and histogram buckets of a Measure.
struct MeasureDescription
{
    const char *name;
    double lowest;    ///< Lower bound of the first bucket.
    double highest;   ///< Upper bound of the last finite bucket.
    unsigned buckets; ///< Number of finite buckets of logarithmic width.
};

constexpr std::array<MeasureDescription, measureCount> measures {{
    {"azurespindle_first_token_seconds", 0.001, 64.0, 16},
    {"azurespindle_gap_seconds", 0.001, 64.0, 16},
    {"azurespindle_stall_seconds", 0.25, 256.0, 10},
    {"azurespindle_queue_seconds", 0.001, 64.0, 16},
    {"azurespindle_output_tokens", 1.0, 131'072.0, 17},
    {"azurespindle_preemptions", 1.0, 64.0, 6},
}};

constexpr std::array<const char *, counterCount> counterNames {
    "azurespindle_requests_total",
    "azurespindle_refusals_total",
    "azurespindle_retries_total",
    "azurespindle_resumes_total",
    "azurespindle_callers_gone_total",
    "azurespindle_frames_sent_total",
    "azurespindle_frame_bytes_sent_total",
    "azurespindle_frames_received_total",
    "azurespindle_frame_bytes_received_total",
    "azurespindle_configuration_reads_total",
    "azurespindle_load_reads_total",
    "azurespindle_view_bytes_received_total",
    "azurespindle_view_bytes_known_total",
    "azurespindle_view_requests_total",
};

Histogram createHistogram(std::size_t measure)
{
    const MeasureDescription &description = measures[measure];
    return histogram::make_histogram_with(
        std::vector<std::uint32_t>(),
        Axis(description.buckets, description.lowest, description.highest));
}

/// Histograms and sums of one workspace and traffic class, indexed by Measure.
struct Series
{
    std::vector<Histogram> histograms;
    std::array<double, measureCount> sums {};
};

Series createSeries()
{
    Series series;
    for (std::size_t measure = 0; measure < measureCount; ++measure) {
        series.histograms.push_back(createHistogram(measure));
    }
    return series;
}

using SeriesKey = std::pair<std::string, std::string>;

void writeHistogram(std::ostringstream &out, const SeriesKey &key, const Series &series,
                    std::size_t measure)
{
    const Histogram &counts = series.histograms[measure];
    const std::string labels
        = "workspace=\"" + escapeLabel(key.first) + "\",class=\"" + escapeLabel(key.second) + "\"";
    const char *name = measures[measure].name;
    std::uint64_t cumulativeCount = counts.at(-1);
    for (int bucket = 0; bucket < counts.axis().size(); ++bucket) {
        cumulativeCount += counts.at(bucket);
        out << name << "_bucket{" << labels << ",le=\"" << counts.axis().bin(bucket).upper()
            << "\"} " << cumulativeCount << "\n";
    }
    cumulativeCount += counts.at(counts.axis().size());
    out << name << "_bucket{" << labels << ",le=\"+Inf\"} " << cumulativeCount << "\n";
    out << name << "_sum{" << labels << "} " << series.sums[measure] << "\n";
    out << name << "_count{" << labels << "} " << cumulativeCount << "\n";
}

} // namespace

std::string escapeLabel(const std::string &label)
{
    std::string text;
    for (const char character : label) {
        if (character == '\\' || character == '"') {
            text += '\\';
        }
        text += character == '\n' ? ' ' : character;
    }
    return text;
}

/// Independently locked part of the series, selected by the hash of their labels.
struct Registry::Shard
{
    mutable std::mutex mutex; ///< Guards series.
    std::map<SeriesKey, Series> series;
};

Registry::Registry()
{
    for (auto &shard : this->shards) {
        shard = std::make_unique<Shard>();
    }
}

Registry::~Registry() = default;

void Registry::observe(Measure measure, const std::string &workspace,
                       const std::string &trafficClass, double value)
{
    SeriesKey key {workspace, trafficClass};
    const std::size_t hash = std::hash<std::string>()(workspace + '\n' + trafficClass);
    Shard &shard = *this->shards[hash % shardCount];
    const std::lock_guard lock(shard.mutex);
    auto found = shard.series.find(key);
    if (found == shard.series.end()) {
        if (this->createdSeries.fetch_add(1) >= maxSeries) {
            this->createdSeries -= 1;
            key = {"other", "other"};
        }
        found = shard.series.try_emplace(key, createSeries()).first;
    }
    const auto index = static_cast<std::size_t>(measure);
    found->second.histograms[index](value);
    found->second.sums[index] += value;
}

void Registry::count(Counter counter, std::uint64_t by)
{
    this->counters[static_cast<std::size_t>(counter)].fetch_add(by, std::memory_order_relaxed);
}

std::uint64_t Registry::value(Counter counter) const
{
    return this->counters[static_cast<std::size_t>(counter)].load();
}

std::size_t Registry::seriesCount() const
{
    std::size_t total = 0;
    for (const auto &shard : this->shards) {
        const std::lock_guard lock(shard->mutex);
        total += shard->series.size();
    }
    return total;
}

std::string Registry::exposition() const
{
    std::ostringstream out;
    for (std::size_t measure = 0; measure < measureCount; ++measure) {
        out << "# TYPE " << measures[measure].name << " histogram\n";
        for (const auto &shard : this->shards) {
            const std::lock_guard lock(shard->mutex);
            for (const auto &[key, series] : shard->series) {
                writeHistogram(out, key, series, measure);
            }
        }
    }
    for (std::size_t index = 0; index < counterCount; ++index) {
        out << "# TYPE " << counterNames[index] << " counter\n";
        out << counterNames[index] << " " << this->counters[index].load() << "\n";
    }
    return out.str();
}

} // namespace azurespindle::metrics
