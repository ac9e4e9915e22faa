#ifndef AZURESPINDLE_BENCH_EXPERIMENT_H
#define AZURESPINDLE_BENCH_EXPERIMENT_H

#include "decision/dispatcher.h"
#include "decision/lease_manager.h"
#include "standins/engine_model.h"
#include "workload.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace azurespindle::bench {

enum class Policy { ExpectedMemory, RoundRobin, LeastOutstanding };

const char *name(Policy policy);

/// One run in virtual time: a workload, engines, and the server's own decisions between them.
struct ExperimentOptions
{
    Policy policy = Policy::ExpectedMemory;
    WorkloadOptions workload;
    standins::EngineOptions engine;
    std::size_t engines = 8;
    seconds duration {240};
    seconds warmUp {40}; ///< Not measured.
    double memoryDeviations = 1.0;
    decision::PlacementWeights weights;
    std::uint64_t seed = 1;
};

/// What one run came to, over all callers.
struct ExperimentResult
{
    double stallSeconds = 0.0; ///< Sum of gaps between tokens longer than half a second.
    std::uint64_t preemptions = 0;
    std::uint64_t collapses = 0;
    double gapP95 = 0.0; ///< Seconds.
    double gapP99 = 0.0;
    double firstTokenP95 = 0.0;   ///< Seconds, queue time included.
    double tokensPerSecond = 0.0; ///< Delivered, without those of answers that broke off.
    std::uint64_t finished = 0;
    std::uint64_t refused = 0;
    std::uint64_t broken = 0; ///< Ended with an error after tokens were delivered.
    std::map<std::string, double> workspaceTokens;
    std::map<std::string, double> workspaceGapP95;
};

ExperimentResult runExperiment(const ExperimentOptions &options);

/// Returns the output tokens a second of one engine that is always given the best number of
/// generations at once, found by trying several.
double bestThroughput(const ExperimentOptions &options);

} // namespace azurespindle::bench

#endif
