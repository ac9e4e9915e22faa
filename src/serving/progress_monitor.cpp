#include "serving/progress_monitor.h"

#include <algorithm>
#include <utility>

namespace azurespindle::serving {

ProgressMonitor::ProgressMonitor(std::vector<MonitoredStage> stages, ProgressMonitorHooks hooks)
    : hooks(std::move(hooks))
{
    for (MonitoredStage &monitored : stages) {
        this->stages.push_back({std::move(monitored)});
    }
}

void ProgressMonitor::judge(Stage &stage, microseconds step)
{
    const std::uint64_t progress = stage.monitored.progress ? stage.monitored.progress() : 0;
    const bool hasAnswered = stage.answered->exchange(false);
    const bool hasProgressed = progress != std::exchange(stage.lastProgress, progress);
    stage.withoutProgress
        = hasAnswered || hasProgressed ? microseconds(0) : stage.withoutProgress + step;
    if (stage.probed && !hasAnswered) {
        return;
    }
    stage.probed = true;
    stage.monitored.probe([answered = stage.answered] { *answered = true; });
}

void ProgressMonitor::tick(Instant now)
{
    const microseconds sinceLast
        = this->lastTick == Instant() ? microseconds(0) : now - this->lastTick;
    const microseconds step = std::min<microseconds>(sinceLast, maxCountedStep);
    this->lastTick = now;
    const Stage *worst = nullptr;
    for (Stage &stage : this->stages) {
        judge(stage, step);
        if (worst == nullptr || stage.withoutProgress > worst->withoutProgress) {
            worst = &stage;
        }
    }
    const bool stalledNow = worst != nullptr && worst->withoutProgress >= stallTimeout;
    if (this->isStalled.exchange(stalledNow) == stalledNow) {
        return;
    }
    if (stalledNow) {
        this->stalls += 1;
        this->hooks.onStalled(worst->monitored.name,
                              std::chrono::duration_cast<milliseconds>(worst->withoutProgress));
    } else {
        this->hooks.onRecovered();
    }
}

} // namespace azurespindle::serving
