#ifndef AZURESPINDLE_SERVING_PROGRESS_MONITOR_H
#define AZURESPINDLE_SERVING_PROGRESS_MONITOR_H

#include "base/time_types.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace azurespindle::serving {

/// A thread that requests depend on.
struct MonitoredStage
{
    std::string name;
    /// Hands a callback to the stage's thread and returns at once. The callback shows that the
    /// thread, and the locks that it needs for a request, are not held up.
    std::function<void(std::function<void()> done)> probe;
    /// Returns a number that changes with every piece of work that the thread completes. It keeps
    /// a thread that is slow, with much work before the probe, from being taken for a stuck one.
    /// May be empty.
    std::function<std::uint64_t()> progress {};
};

/// Callbacks of ProgressMonitor, called by tick().
struct ProgressMonitorHooks
{
    std::function<void(const std::string &stage, milliseconds duration)> onStalled;
    std::function<void()> onRecovered;
};

/// Detects that a stage of the request path makes no progress.
///
/// Only time in which this process ran counts: after a pause between two ticks, as of a suspended
/// process, each stage has time again to show its progress.
///
/// tick() belongs to one thread, which must not depend on any stage. The queries are thread-safe.
class ProgressMonitor
{
public:
    /// Time without progress after which a stage counts as stalled.
    static constexpr milliseconds stallTimeout {2'000};
    static constexpr milliseconds tickInterval {250};
    /// Longest time between two ticks that counts in full.
    static constexpr milliseconds maxCountedStep {300};

    ProgressMonitor(std::vector<MonitoredStage> stages, ProgressMonitorHooks hooks);

    // Commands

    /// Judges the stages and probes them. Call this every tickInterval.
    void tick(Instant now);

    // Queries

    bool stalled() const { return this->isStalled; }
    /// Returns how often a stage has stalled so far.
    std::uint64_t stallCount() const { return this->stalls; }

private:
    struct Stage
    {
        MonitoredStage monitored;
        /// Set by the stage's thread; shared, because a probe may outlive this object.
        std::shared_ptr<std::atomic<bool>> answered = std::make_shared<std::atomic<bool>>(false);
        bool probed = false; ///< A probe is under way.
        std::uint64_t lastProgress = 0;
        microseconds withoutProgress {0};
    };

    static void judge(Stage &stage, microseconds step);

    std::vector<Stage> stages;
    const ProgressMonitorHooks hooks;
    Instant lastTick {};
    std::atomic<bool> isStalled {false};
    std::atomic<std::uint64_t> stalls {0};
};

} // namespace azurespindle::serving

#endif
