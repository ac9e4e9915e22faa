#ifndef AZURESPINDLE_METRICS_REGISTRY_H
#define AZURESPINDLE_METRICS_REGISTRY_H

#include "base/time_types.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

namespace azurespindle::metrics {

/// Quantity that is measured for each workspace and traffic class.
enum class Measure {
    FirstToken,   ///< Time to first token, in seconds.
    Gap,          ///< Time between two tokens, in seconds.
    Stall,        ///< Sum of the gaps of one response longer than stallGap, in seconds.
    Queue,        ///< Time in the queue for an upstream, in seconds.
    OutputTokens, ///< Length of a response, in tokens.
    Preemptions,  ///< Gaps so long that the engine probably recomputed the response.
};
constexpr std::size_t measureCount = 6;

/// Gap between two tokens above which a stream counts as stalled.
constexpr milliseconds stallGap {500};

/// Counter of the whole process, without labels.
enum class Counter {
    Requests,
    Refusals,
    Retries,
    Resumes,             ///< Resumed streams and requests to migrate a generation.
    CallersDisconnected, ///< Callers that disconnected before the end of the response.
    FramesSent,
    FrameBytesSent,
    FramesReceived,
    FrameBytesReceived,
    ConfigurationReads, ///< Requests sent to the configuration service or the VM list.
    LoadReads,          ///< Requests for load reports sent to engines.
    ViewBytesReceived,  ///< Size of the received updates of the published state.
    ViewBytesKnown,     ///< The part of ViewBytesReceived whose changes were all known already.
    ViewRequests,       ///< Requests for missing changes sent to members.
};
constexpr std::size_t counterCount = 14;

/// Returns \a label with the characters escaped that end a label in the exposition format.
std::string escapeLabel(const std::string &label);

/// Metrics registry with one series of histograms for each workspace and traffic class, and
/// counters of the whole process. Thread-safe.
///
/// The number of series is limited because callers choose the labels: once maxSeries exist, values
/// with new labels go to a series labelled "other" in their shard.
class Registry
{
public:
    static constexpr std::size_t maxSeries = 256;
    static constexpr std::size_t shardCount = 8; ///< Independently locked parts of the series.

    Registry();
    ~Registry();
    Registry(const Registry &) = delete;
    Registry &operator=(const Registry &) = delete;

    // Commands

    void observe(Measure measure, const std::string &workspace, const std::string &trafficClass,
                 double value);
    void count(Counter counter, std::uint64_t by = 1);

    // Queries

    std::uint64_t value(Counter counter) const;
    std::size_t seriesCount() const;
    /// Returns all metrics in the Prometheus text exposition format.
    std::string exposition() const;

private:
    struct Shard;

    std::array<std::unique_ptr<Shard>, shardCount> shards;
    /// Number of series in all shards, except those labelled "other".
    std::atomic<std::size_t> createdSeries {0};
    std::array<std::atomic<std::uint64_t>, counterCount> counters {};
};

} // namespace azurespindle::metrics

#endif
