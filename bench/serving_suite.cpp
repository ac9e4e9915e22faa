// The policy beside both baselines, on the same load and the same engines, in virtual time.

#include "suites.h"

#include "experiment.h"
#include "sharing_experiment.h"

#include <algorithm>
#include <cmath>
#include <future>
#include <string>
#include <vector>

namespace azurespindle::bench {
namespace {

constexpr std::uint64_t seeds[] = {1, 2, 3};
constexpr double loads[] = {0.60, 0.85, 1.10};
constexpr Policy policies[]
    = {Policy::ExpectedMemory, Policy::RoundRobin, Policy::LeastOutstanding};

/// Sums and worst values over the seeds.
struct Summary
{
    double stall = 0.0;
    double preemptions = 0.0;
    double gapP95 = 0.0;
    double gapP99 = 0.0;
    double firstTokenP95 = 0.0;
    double tokensPerSecond = 0.0;
    double refused = 0.0;
    double broken = 0.0;
    double collapses = 0.0;
};

Summary summarize(const std::vector<ExperimentResult> &results)
{
    Summary summary;
    const double runs = static_cast<double>(results.size());
    for (const ExperimentResult &result : results) {
        summary.stall += result.stallSeconds / runs;
        summary.preemptions += static_cast<double>(result.preemptions) / runs;
        summary.gapP95 += result.gapP95 / runs;
        summary.gapP99 += result.gapP99 / runs;
        summary.firstTokenP95 += result.firstTokenP95 / runs;
        summary.tokensPerSecond += result.tokensPerSecond / runs;
        summary.refused += static_cast<double>(result.refused) / runs;
        summary.broken += static_cast<double>(result.broken) / runs;
        summary.collapses += static_cast<double>(result.collapses) / runs;
    }
    return summary;
}

double meanOutput(const WorkloadOptions &options)
{
    constexpr int drawn = 20'000;
    Workload workload(options, 99);
    double sum = 0.0;
    for (int index = 0; index < drawn; ++index) {
        sum += workload.next().outputTokens;
    }
    return sum / drawn;
}

std::vector<Summary> runAll(const ExperimentOptions &base)
{
    std::vector<std::vector<std::future<ExperimentResult>>> running;
    for (const Policy policy : policies) {
        running.emplace_back();
        for (const std::uint64_t seed : seeds) {
            ExperimentOptions options = base;
            options.policy = policy;
            options.seed = seed;
            running.back().push_back(std::async(std::launch::async, runExperiment, options));
        }
    }
    std::vector<Summary> summaries;
    for (auto &ofPolicy : running) {
        std::vector<ExperimentResult> results;
        results.reserve(ofPolicy.size());
        for (auto &result : ofPolicy) {
            results.push_back(result.get());
        }
        summaries.push_back(summarize(results));
    }
    return summaries;
}

void print(Report &report, const std::string &label, const std::vector<Summary> &summaries)
{
    for (std::size_t index = 0; index < summaries.size(); ++index) {
        const Summary &each = summaries[index];
        const std::string where = label + "/" + name(policies[index]) + "/";
        report.add("serving", where + "stall", each.stall, "s");
        report.add("serving", where + "preemptions", each.preemptions, "count");
        report.add("serving", where + "gap-p95", each.gapP95 * 1e3, "ms");
        report.add("serving", where + "gap-p99", each.gapP99 * 1e3, "ms");
        report.add("serving", where + "first-token-p95", each.firstTokenP95 * 1e3, "ms");
        report.add("serving", where + "tokens", each.tokensPerSecond, "tokens/s");
        report.add("serving", where + "refused", each.refused, "count");
        report.add("serving", where + "broken", each.broken, "count");
        report.add("serving", where + "collapses", each.collapses, "count");
    }
}

void compare(Report &report, const std::string &label, const std::vector<Summary> &summaries)
{
    const Summary &own = summaries[0];
    const auto best = [&](double Summary::*field) {
        return std::min(summaries[1].*field, summaries[2].*field);
    };
    const double tokens = std::max(summaries[1].tokensPerSecond, summaries[2].tokensPerSecond);
    report.atMost("serving", label + "/stall", own.stall, "s", best(&Summary::stall) / 3.0);
    report.atMost("serving", label + "/preemptions", own.preemptions, "count",
                  best(&Summary::preemptions) / 4.0);
    report.atMost("serving", label + "/gap-p99", own.gapP99 * 1e3, "ms",
                  best(&Summary::gapP99) / 2.0 * 1e3);
    report.atMost("serving", label + "/gap-p95", own.gapP95 * 1e3, "ms", 77.0);
    report.atMost("serving", label + "/first-token-p95", own.firstTokenP95 * 1e3, "ms", 660.0);
    report.atLeast("serving", label + "/tokens", own.tokensPerSecond, "tokens/s", tokens);
}

/// Returns the options of a mix at a load, with warm engines.
ExperimentOptions optionsFor(Mix mix, double load, double &capacity)
{
    ExperimentOptions options;
    options.workload.mix = mix;
    options.engine.startsWarm = true;
    capacity = bestThroughput(options) * static_cast<double>(options.engines);
    options.workload.requestsPerSecond = load * capacity / meanOutput(options.workload);
    return options;
}

void runFairness(Report &report)
{
    double capacity = 0.0;
    ExperimentOptions options = optionsFor(Mix::Transcription, 0.95, capacity);
    options.workload.greedyFactor = 1.0;
    const ExperimentResult even = runExperiment(options);
    options.workload.greedyFactor = 10.0;
    const ExperimentResult greedy = runExperiment(options);
    double worst = 0.0;
    for (const auto &[workspace, gap] : even.workspaceGapP95) {
        const auto found = greedy.workspaceGapP95.find(workspace);
        const bool innocent = workspace != "w0" && found != greedy.workspaceGapP95.end();
        worst = std::max(worst, innocent ? found->second / gap : 0.0);
    }
    report.atMost("serving", "greedy-workspace/others-gap-p95-ratio", worst, "ratio", 1.1);
}

/// A workspace gets the same share whichever entry processes its callers reach.
void runSharingOfProcesses(Report &report)
{
    SharingOptions options;
    options.engine.startsWarm = true;
    const SharingResult result = runSharing(options);
    const double ratio = std::min(result.concentratedTokens, result.spreadTokens)
        / std::max(result.concentratedTokens, result.spreadTokens);
    report.add("serving", "two-workspaces/tokens", result.concentratedTokens + result.spreadTokens,
               "tokens/s");
    report.atLeast("serving", "two-workspaces/one-process-beside-nine", ratio, "ratio", 0.9);
    report.atMost("serving", "two-workspaces/lease-bytes", result.leaseBytes, "bytes/s", 4'096.0);
}

void runForecastErrors(Report &report)
{
    double capacity = 0.0;
    for (const bool tail : {false, true}) {
        ExperimentOptions options = optionsFor(Mix::Specs, 0.7, capacity);
        options.workload.heavyTail = tail;
        if (!tail) {
            // Outputs four times as long from second 120 on: the load is kept by fewer requests.
            options.workload.lengthShiftAt = 120.0;
            options.workload.requestsPerSecond /= 2.5;
        } else {
            options.workload.requestsPerSecond = 0.85 * capacity / meanOutput(options.workload);
        }
        const std::string label = tail ? "heavy-tail" : "length-shift";
        print(report, label, runAll(options));
    }
}

} // namespace

void runServing(Report &report)
{
    for (const Mix mix : {Mix::Specs, Mix::Transcription}) {
        for (const double load : loads) {
            double capacity = 0.0;
            const ExperimentOptions options = optionsFor(mix, load, capacity);
            const std::string label
                = std::string(name(mix)) + "/" + std::to_string(std::lround(load * 100.0));
            report.add("serving", label + "/capacity", capacity, "tokens/s");
            const std::vector<Summary> summaries = runAll(options);
            print(report, label, summaries);
            if (load > 0.8 && load < 0.9) {
                compare(report, label, summaries);
            }
            if (load > 1.0) {
                report.atLeast("serving", label + "/goodput", summaries[0].tokensPerSecond,
                               "tokens/s", 0.95 * capacity);
            }
        }
    }
    runFairness(report);
    runSharingOfProcesses(report);
    runForecastErrors(report);
}

} // namespace azurespindle::bench
