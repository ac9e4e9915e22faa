#include "workload.h"

#include <algorithm>
#include <cmath>

namespace azurespindle::bench {
namespace {

constexpr double maxOutput = 16'000.0;
constexpr double maxTailOutput = 40'000.0;
constexpr double tailShare = 0.002;
constexpr double tailMedian = 20'000.0;
constexpr double shiftFactor = 4.0;
constexpr std::size_t sittingsPerWorkspace = 4;
constexpr decision::Tokens firstSittingContext = 400;
constexpr decision::Tokens maxSittingContext = 2'500;
constexpr std::size_t sharedBlocks = 6; ///< Prompt blocks that a workspace's requests share.

} // namespace

const char *name(Mix mix)
{
    return mix == Mix::Specs ? "specs" : "transcription";
}

Workload::Workload(WorkloadOptions options, std::uint64_t seed) : options(options), generator(seed)
{
    for (std::size_t index = 0; index < this->options.workspaces; ++index) {
        this->weights.push_back(1.0 / static_cast<double>(index + 1));
    }
    double sum = 0.0;
    for (const double weight : this->weights) {
        sum += weight;
    }
    for (double &weight : this->weights) {
        weight /= sum;
    }
    if (this->options.greedyFactor > 0.0) {
        const double fair = 1.0 / static_cast<double>(this->options.workspaces);
        std::fill(this->weights.begin(), this->weights.end(), fair);
        this->weights.front() = fair * this->options.greedyFactor;
    }
}

const std::vector<Workload::Kind> &Workload::kinds() const
{
    using decision::Priority;
    static const std::vector<Kind> specs {
        {"spec", Priority::Standard, 700.0, 0.5, 800.0, 0.9, 0.3, false},
        {"quote", Priority::Interactive, 80.0, 0.4, 50.0, 0.6, 0.7, false},
    };
    static const std::vector<Kind> transcription {
        {"expansion", Priority::Interactive, 900.0, 0.5, 260.0, 0.8, 0.6, true},
        {"tag", Priority::Standard, 400.0, 0.4, 10.0, 0.5, 0.4, false},
    };
    return this->options.mix == Mix::Specs ? specs : transcription;
}

double Workload::logNormal(double median, double spread)
{
    std::lognormal_distribution<double> distribution(std::log(median), spread);
    return distribution(this->generator);
}

std::size_t Workload::chooseWorkspace()
{
    std::discrete_distribution<std::size_t> distribution(this->weights.begin(),
                                                         this->weights.end());
    return distribution(this->generator);
}

Arrival Workload::next()
{
    double sum = 0.0;
    for (const double weight : this->weights) {
        sum += weight;
    }
    std::exponential_distribution<double> interval(this->options.requestsPerSecond * sum);
    this->clock += interval(this->generator);
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    const Kind &kind
        = uniform(this->generator) < this->kinds()[0].share ? this->kinds()[0] : this->kinds()[1];
    const bool shifted
        = this->options.lengthShiftAt > 0.0 && this->clock > this->options.lengthShiftAt;
    const bool tail = this->options.heavyTail && uniform(this->generator) < tailShare;
    double output
        = this->logNormal(kind.outputMedian * (shifted ? shiftFactor : 1.0), kind.outputSpread);
    output = std::min(output, maxOutput);
    if (tail) {
        output = std::min(this->logNormal(tailMedian, 0.3), maxTailOutput);
    }
    Arrival arrival;
    arrival.at = Instant(microseconds(std::llround(this->clock * 1e6)));
    arrival.outputTokens = static_cast<decision::Tokens>(std::max(1.0, output));
    decision::Request &request = arrival.request;
    const std::size_t workspace = this->chooseWorkspace();
    request.id = ++this->lastId;
    request.workspace = "w" + std::to_string(workspace);
    request.trafficClass = kind.trafficClass;
    request.priority = kind.priority;
    request.maxTokens = 65'536;
    request.fingerprint = request.id;
    this->setPrompt(request, kind, workspace);
    return arrival;
}

void Workload::setPrompt(decision::Request &request, const Kind &kind, std::size_t workspace)
{
    if (kind.sitting) {
        this->continueSitting(request, workspace);
        return;
    }
    const double prompt = this->logNormal(kind.promptMedian, kind.promptSpread);
    request.promptTokens = static_cast<decision::Tokens>(std::clamp(prompt, 16.0, 8'000.0));
    const std::size_t blocks = request.promptTokens / 64;
    for (std::size_t block = 0; block < blocks; ++block) {
        const bool shared = block < sharedBlocks;
        request.prefixBlocks.push_back(shared ? workspace * 1'000 + block + 1
                                              : request.id * 100'000 + block + 1'000'000);
    }
}

void Workload::continueSitting(decision::Request &request, std::size_t workspace)
{
    this->sittings.resize(this->options.workspaces);
    std::vector<Sitting> &open = this->sittings[workspace];
    open.resize(sittingsPerWorkspace);
    std::uniform_int_distribution<std::size_t> any(0, sittingsPerWorkspace - 1);
    Sitting &sitting = open[any(this->generator)];
    if (sitting.id == 0) {
        // The first ones are under way already, so that the load is the same from the start.
        std::uniform_int_distribution<decision::Tokens> underWay(firstSittingContext,
                                                                 maxSittingContext);
        sitting = {request.id, underWay(this->generator)};
    } else if (sitting.context > maxSittingContext) {
        sitting = {request.id, firstSittingContext};
    }
    sitting.context += static_cast<decision::Tokens>(this->logNormal(90.0, 0.4));
    request.promptTokens = sitting.context;
    for (std::size_t block = 0; block < sitting.context / 64; ++block) {
        request.prefixBlocks.push_back(sitting.id * 100'000 + block + 1'000'000);
    }
}

} // namespace azurespindle::bench
