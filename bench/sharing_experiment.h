#ifndef AZURESPINDLE_BENCH_SHARING_EXPERIMENT_H
#define AZURESPINDLE_BENCH_SHARING_EXPERIMENT_H

#include "standins/engine_model.h"

#include <cstdint>

namespace azurespindle::bench {

/// Two workspaces of equal weight, both asking for more than they can get, in virtual time. The
/// callers of one reach a single entry process, those of the other all of them.
struct SharingOptions
{
    std::size_t processes = 9;
    std::size_t engines = 4;
    standins::EngineOptions engine;
    seconds duration {120};
    seconds warmUp {30}; ///< Not measured.
    std::uint64_t seed = 1;
};

struct SharingResult
{
    double concentratedTokens = 0.0; ///< Each second, of the workspace that reaches one process.
    double spreadTokens = 0.0;       ///< Each second, of the one that reaches all.
    double leaseBytes = 0.0;         ///< Of lease frames each second, the busiest process.
};

SharingResult runSharing(const SharingOptions &options);

} // namespace azurespindle::bench

#endif
