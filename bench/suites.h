#ifndef AZURESPINDLE_BENCH_SUITES_H
#define AZURESPINDLE_BENCH_SUITES_H

#include "measure.h"

#include <string>

namespace azurespindle::bench {

/// Stall time, preemptions, gaps and goodput beside round-robin and least-outstanding.
void runServing(Report &report);

/// Cost of a decision and memory of what is decided about, with slopes.
void runDecision(Report &report);

/// Added time and processor time of the entry process, against calling the engine directly.
void runProxy(Report &report, const std::string &binaries);

/// Processor time, bytes and memory of control, per node.
void runControl(Report &report, const std::string &binaries);

/// A zone taken out and returned, beside the naive return. Writes a plot to \a plotPath.
void runZone(Report &report, const std::string &binaries, const std::string &plotPath);

/// One measure for each fault of the brief, on nine real processes.
void runFaults(Report &report, const std::string &binaries);

} // namespace azurespindle::bench

#endif
