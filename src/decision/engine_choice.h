#ifndef AZURESPINDLE_DECISION_ENGINE_CHOICE_H
#define AZURESPINDLE_DECISION_ENGINE_CHOICE_H

#include "decision/load_table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace azurespindle::decision {

/// An upstream in view of one request.
struct UpstreamCandidate
{
    std::string upstream;
    ResourceClaim claimed;     ///< By all processes, without this request.
    std::uint32_t slots = 1;   ///< Attempts that it works on at once.
    Tokens memoryCapacity = 0; ///< KV tokens that it holds; 0 for a plain service.
    Tokens cachedTokens = 0;   ///< Of the request's prompt, probably.
    bool sameZone = true;
    bool recentlyFailing = false; ///< Lately failed or refused requests.
    /// What is claimed of it was told by way of another zone's relays, and is older than the rest.
    bool claimsDelayed = false;
};

/// What a request takes of an engine.
struct RequestDemand
{
    Tokens promptTokens = 0;
    Tokens memory = 0;      ///< KV tokens, reckoned to the time of need.
    bool migrating = false; ///< It comes with its memory: no prompt is read.
    /// Other processes choose at the same moment, on the same word: all have the same notice.
    bool concurrentDecisions = false;
};

/// What considerations cost, in milliseconds of delay that they are as bad as.
struct EngineCostWeights
{
    double promptTokensPerMs = 14.0; ///< Speed at which an engine reads prompts.
    double attemptMs = 12.0;         ///< Each attempt that runs there slows all others.
    double otherZoneMs = 60.0;       ///< Bytes between zones, and what a cut would take along.
    double otherZoneMigrationMs
        = 200.0; ///< A copy that holds up the others on its link twice as long.
    double recentFailureMs = 400.0;
    double memoryMs = 250.0;   ///< An engine that is just full; grows with the square.
    double memoryLimit = 0.92; ///< Part of the memory that is planned with.
    /// Costs this close are as good as equal where many choose at once, and on late word.
    double concurrentSpreadMs = 300.0;
    double delayedClaimsSpreadMs = 160.0;
    double delayedClaimsMs
        = 120.0; ///< What is not heard yet of an engine of which word comes late.
    double delayedClaimsMemoryLimit = 0.82; ///< As memoryLimit, on late word.
};

/// Chooses the engine at which the request is expected to do best and to harm others least.
///
/// Answers for many long prompts at once: a prompt that is being read delays every stream of its
/// engine, so prompts are spread before anything else; then memory, which fills before the slots
/// do, and whose overflow costs a prompt read again.
/// \param turn spreads choices among equals.
/// \return an index into \a candidates, or nothing if none has room.
std::optional<std::size_t> chooseEngine(const std::vector<UpstreamCandidate> &candidates,
                                        const RequestDemand &need, std::uint64_t turn,
                                        const EngineCostWeights &weights = {});

/// Chooses an upstream of a plain service: the least loaded, in the own zone where equal.
/// \return an index into \a candidates, or nothing if there is none.
std::optional<std::size_t> choosePlain(const std::vector<UpstreamCandidate> &candidates,
                                       std::uint64_t turn);

} // namespace azurespindle::decision

#endif
