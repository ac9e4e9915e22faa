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

/// What is measured for each workspace and traffic class.
enum class Measure {
    FirstToken,   ///< Seconds from the request to its first token.
    Gap,          ///< Seconds between two tokens.
    Stall,        ///< Seconds of one answer spent in gaps longer than stallGap, summed.
    Queue,        ///< Seconds spent waiting for an upstream.
    OutputTokens, ///< Length of an answer.
    Preemptions,  ///< Gaps so long that the engine probably computed the answer again.
};
constexpr std::size_t measureCount = 6;

/// A gap longer than this is a stall.
constexpr milliseconds stallGap {500};

/// Counts that belong to no workspace.
enum class Counter {
    Requests,
    Refusals,
    Retries,
    Resumes,
    CallersDisconnected,
    FramesSent,
    FrameBytesSent,
    FramesReceived,
    FrameBytesReceived,
    ConfigurationReads,
    LoadReads,
};
constexpr std::size_t counterCount = 11;

/// Histograms for each workspace and class, and plain counters. Thread-safe.
///
/// Series are bounded in number whatever callers send: past the bound they share "other".
class Registry
{
public:
    static constexpr std::size_t maxSeries = 256;
    static constexpr std::size_t shardCount = 8;

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
    /// Returns everything in Prometheus' text format.
    std::string exposition() const;

private:
    struct Shard;

    std::array<std::unique_ptr<Shard>, shardCount> shards;
    std::atomic<std::size_t> series {0};
    std::array<std::atomic<std::uint64_t>, counterCount> counters {};
};

} // namespace azurespindle::metrics

#endif
