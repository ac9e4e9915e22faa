#ifndef AZURESPINDLE_BENCH_SUITES_H
#define AZURESPINDLE_BENCH_SUITES_H

#include "measure.h"

namespace azurespindle::bench {

/// Stall time, preemptions, gaps and goodput beside round-robin and least-outstanding.
void runServing(Report &report);

/// Cost of a decision and memory of what is decided about, with slopes.
void runDecision(Report &report);

} // namespace azurespindle::bench

#endif
