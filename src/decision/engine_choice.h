#ifndef AZURESPINDLE_DECISION_ENGINE_CHOICE_H
#define AZURESPINDLE_DECISION_ENGINE_CHOICE_H

#include "base/time_types.h"
#include "decision/load_table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace azurespindle::decision {

/// An upstream considered for one request.
struct UpstreamCandidate
{
    std::string upstream;
    ResourceClaim claimed;     ///< Claims of all processes, without this request.
    std::uint32_t slots = 1;   ///< Attempts that it runs concurrently.
    Tokens memoryCapacity = 0; ///< Size of the KV memory in tokens; 0 for a plain service.
    Tokens cachedTokens = 0;   ///< Estimated part of the prompt in its cache.
    bool sameZone = true;
    bool recentlyFailing = false; ///< It recently failed or refused requests.
    /// Claims on it arrive as a total through another zone's relays, later than those on others.
    bool claimsDelayed = false;
    double speed = 1.0; ///< Relative to the usual speed of its service; above 0.
};

/// The resources that a request needs of an engine.
struct RequestDemand
{
    Tokens promptTokens = 0;
    Tokens memory = 0;      ///< Forecast KV tokens, including output to come.
    bool migrating = false; ///< Its KV memory is copied, so the prompt is not read again.
    /// Other processes choose at the same moment with the same information, for example because all
    /// react to the same notice.
    bool concurrentDecisions = false;
    /// Longest pause between two events that the streams of this service permit; 0: not stated.
    milliseconds eventGapObjective {0};
    Tokens tokensPerEvent = 1; ///< Output tokens in each event of a stream.
};

/// Weights of the cost function of chooseEngine(). Costs are in equivalent milliseconds of delay.
struct EngineCostWeights
{
    double promptTokensPerMs = 14.0;     ///< Prefill speed of an engine.
    double attemptMs = 12.0;             ///< Slowdown by each attempt that runs there.
    double otherZoneMs = 60.0;           ///< Traffic between zones, and exposure to a partition.
    double otherZoneMigrationMs = 200.0; ///< Copy that occupies the link twice as long.
    double recentFailureMs = 400.0;      ///< The engine recently failed or refused requests.
    double memoryMs = 250.0;             ///< Cost of full memory; scales with the square of use.
    double memoryLimit = 0.92;           ///< Share of the memory that may be claimed.
    /// Pseudo-random cost range that spreads concurrent decisions over engines of similar cost.
    double concurrentSpreadMs = 300.0;
    double delayedClaimsSpreadMs = 160.0;   ///< Pseudo-random range where claims are delayed.
    double delayedClaimsMs = 120.0;         ///< Expected load that delayed claims omit.
    double delayedClaimsMemoryLimit = 0.82; ///< Value of memoryLimit for delayed claims.
    double stepMs = 7.0;         ///< Duration of a step, which generates a token for each attempt.
    double attemptStepMs = 0.12; ///< Part of a step for each attempt.
    double promptChunkMs = 8.0;  ///< Part of a step that reads a chunk of a prompt.
    /// Factor on the duration of steps in a slow period of an engine.
    double slowPeriodFactor = 2.5;
    /// Cost of each ms by which a slow engine pauses a stream for longer than its objective.
    double pauseExcess = 0.5;
};

/// Chooses the engine with the lowest expected cost to the request and to the others it runs.
///
/// Prefill of a long prompt delays every stream of its engine, so prompts are spread over the
/// engines first. Memory comes second: it fills up before the slots do, and a request evicted from
/// it has to read its prompt again. On an engine slower than usual, prompts take longer, and each
/// one may pause the streams there for longer than their objective.
/// \param turn varies the choice among engines of equal cost.
/// \return an index into \a candidates, or std::nullopt if none has capacity.
std::optional<std::size_t> chooseEngine(const std::vector<UpstreamCandidate> &candidates,
                                        const RequestDemand &demand, std::uint64_t turn,
                                        const EngineCostWeights &weights = {});

/// Chooses an upstream of a plain service: the least loaded one, or the one with the shortest
/// expected time to a response if speeds differ, with a preference for the own zone and against
/// upstreams that recently failed.
/// \param turn varies the choice among upstreams of equal cost.
/// \return an index into \a candidates, or std::nullopt if there is none.
std::optional<std::size_t> choosePlainUpstream(const std::vector<UpstreamCandidate> &candidates,
                                               std::uint64_t turn);

} // namespace azurespindle::decision

#endif
