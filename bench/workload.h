#ifndef AZURESPINDLE_BENCH_WORKLOAD_H
#define AZURESPINDLE_BENCH_WORKLOAD_H

#include "base/time_types.h"
#include "decision/types.h"

#include <random>
#include <string>
#include <vector>

namespace azurespindle::bench {

/// Whose traffic is made.
enum class Mix {
    Specs,         ///< Long specifications, many short quotes.
    Transcription, ///< Expansions line by line, short tags.
};

const char *name(Mix mix);

struct WorkloadOptions
{
    Mix mix = Mix::Specs;
    double requestsPerSecond = 10.0;
    std::size_t workspaces = 10;
    double greedyFactor = 0.0;  ///< Extra rate of workspace 0, as a multiple of its share.
    double lengthShiftAt = 0.0; ///< Second at which outputs become four times as long; 0: never.
    bool heavyTail = false;     ///< A few outputs of tens of thousands of tokens.
};

/// One request with the length that nobody knows beforehand.
struct Arrival
{
    Instant at;
    decision::Request request;
    decision::Tokens outputTokens = 0;
};

/// Makes arrivals one after the other; the same seed makes the same ones.
class Workload
{
public:
    Workload(WorkloadOptions options, std::uint64_t seed);

    Arrival next();

private:
    struct Kind
    {
        const char *trafficClass;
        decision::Priority priority;
        double promptMedian;
        double promptSpread;
        double outputMedian;
        double outputSpread;
        double share;
        bool sitting;
    };

    const std::vector<Kind> &kinds() const;
    double logNormal(double median, double spread);
    std::size_t chooseWorkspace();
    void setPrompt(decision::Request &request, const Kind &kind, std::size_t workspace);
    void continueSitting(decision::Request &request, std::size_t workspace);

    WorkloadOptions options;
    std::mt19937_64 generator;
    double clock = 0.0;
    decision::RequestId lastId = 0;
    std::vector<double> weights;
    /// A sitting whose expansions each go on from the text so far.
    struct Sitting
    {
        std::uint64_t id = 0;
        decision::Tokens context = 0;
    };
    std::vector<std::vector<Sitting>> sittings; ///< Of each workspace.
};

} // namespace azurespindle::bench

#endif
