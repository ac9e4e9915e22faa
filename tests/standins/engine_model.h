#ifndef AZURESPINDLE_STANDINS_ENGINE_MODEL_H
#define AZURESPINDLE_STANDINS_ENGINE_MODEL_H

#include "base/recent_map.h"
#include "decision/types.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace azurespindle::standins {

using decision::Tokens;

/// How an engine behaves. The defaults describe a mid-size accelerator.
struct EngineOptions
{
    Tokens memoryTokens = 40'000; ///< KV memory.
    std::uint32_t maxBatch = 48;  ///< Generations decoded together.
    microseconds baseStep {14'000};
    microseconds stepPerGeneration {300};
    microseconds stepPerThousandTokens {350}; ///< For each 1,000 tokens in KV memory.
    double prefillTokensPerSecond = 9'000.0;
    Tokens prefillChunk = 512;            ///< Prompt tokens taken into one step.
    Tokens prefixCacheTokens = 16'000;    ///< Prompt tokens remembered beside the KV memory.
    double coldBearable = 4.0;            ///< Generations that a cold engine bears.
    double warmingPerStep = 0.03;         ///< Growth of what it bears, for each step under load.
    double collapseFactor = 1.5;          ///< Admitted over this many times what it bears…
    std::uint32_t collapseAdmissions = 6; ///< …so many times: it dies.
    milliseconds reportLag {500};
    bool startsWarm = false;
    std::uint64_t seed = 1;
};

/// One token, at the time it leaves the engine.
struct Emission
{
    std::string generation;
    Tokens offset = 0;
    Instant at;
    bool finished = false;
};

/// What the engine publishes about its load.
struct LoadReport
{
    std::uint64_t boot = 0;
    Tokens memoryTokens = 0;
    Tokens memoryUsed = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t preemptions = 0;
    bool operator==(const LoadReport &other) const = default;
};

/// A generation as it is given to the engine.
struct GenerationOrder
{
    std::string id;
    Tokens promptTokens = 0;
    Tokens outputTokens = 0; ///< Where it will end; nobody else knows this beforehand.
    std::vector<std::uint64_t> prefixBlocks;
    decision::Priority priority = decision::Priority::Standard;
    bool poison = false; ///< Kills the engine after its third token.
};

/// An engine that batches continuously, in virtual time.
///
/// Each step decodes one token of every running generation and a chunk of one prompt. Memory that
/// runs out in mid-decode preempts the least important, youngest generation, whose tokens are
/// computed again later. A cold engine that is given too much dies and drops all it runs.
class EngineModel
{
public:
    explicit EngineModel(EngineOptions options);

    // Commands

    /// Takes a generation in. \return false if the engine is down.
    bool admit(const GenerationOrder &order, Instant now);
    void cancel(const std::string &id);
    /// Runs the steps that end by \a now and returns their tokens.
    std::vector<Emission> advance(Instant now);
    /// Dies now; comes back with a new boot number and an empty memory after \a downFor.
    void crash(Instant now, microseconds downFor);
    /// Turns cold without telling anybody.
    void turnCold();
    /// Takes the cache changes published since the last call: blocks added and dropped.
    std::pair<std::vector<std::uint64_t>, std::vector<std::uint64_t>> takeCacheChanges();

    // Queries

    bool up(Instant now) const { return now >= this->downUntil; }
    /// Returns the load as it was reportLag ago.
    LoadReport report(Instant now) const;
    /// Returns when the present step ends, or Instant::max() if the engine is idle.
    Instant nextStep() const;
    std::uint64_t preemptions() const { return this->preempted; }
    std::uint64_t collapses() const { return this->collapsed; }
    std::uint64_t deaths() const { return this->died; }
    std::size_t running() const { return this->batch.size(); }
    std::size_t waiting() const { return this->queue.size(); }
    double bearable() const { return this->bears; }
    bool knows(const std::string &id) const;

private:
    struct Generation
    {
        GenerationOrder order;
        Tokens produced = 0;
        Tokens prefillLeft = 0;
        std::uint64_t age = 0;
    };

    void runStep(std::vector<Emission> &emissions);
    void scheduleStep(Instant now);
    void fillBatch();
    bool preemptOne();
    Tokens prefillStep();
    Tokens memoryUsed() const;
    double stepSeconds(Tokens prefill) const;
    void rememberPrefix(const GenerationOrder &order);
    void rememberBlock(std::uint64_t block);
    Tokens cachedPrefix(const GenerationOrder &order) const;
    void noteLoad(Instant now);
    void reset();

    EngineOptions options;
    std::list<Generation> batch;
    std::list<Generation> queue;
    Instant stepEnd = Instant::max();
    Tokens stepPrefill = 0;
    Instant clock;
    Instant downUntil;
    std::uint64_t boot = 1;
    std::uint64_t admitted = 0;
    std::uint64_t preempted = 0;
    std::uint64_t collapsed = 0;
    std::uint64_t died = 0;
    std::uint32_t strainedAdmissions = 0;
    double bears;
    struct Mark
    { };
    RecentMap<std::uint64_t, Mark> cached;
    std::vector<std::uint64_t> cacheAdded;
    std::vector<std::uint64_t> cacheDropped;
    std::deque<std::pair<Instant, LoadReport>> history;
};

} // namespace azurespindle::standins

#endif
