#ifndef AZURESPINDLE_DECISION_RESERVATION_POLICY_H
#define AZURESPINDLE_DECISION_RESERVATION_POLICY_H

#include "base/recent_map.h"
#include "base/time_types.h"
#include "decision/engine_choice.h"

#include <cstdint>
#include <string>

namespace azurespindle::decision {

/// What a reservation asks of an engine.
struct ReservationSize
{
    Tokens tokens = 0;         ///< Memory.
    milliseconds lifetime {0}; ///< Time for which an unused reservation is kept.
    bool operator==(const ReservationSize &other) const = default;
};

/// Decides whether capacity is reserved at an engine before a request is sent there, and keeps for
/// a short time which engines refused.
class ReservationPolicy
{
public:
    /// Share of an engine's slots or memory beyond which its claims make it contended.
    static constexpr double contendedShare = 0.75;
    /// Time for which an engine that refused is not chosen for a request of that size or more.
    static constexpr milliseconds refusalLifetime {250};
    /// Time of a reservation, which covers the response and the sending of the request. Unused
    /// reserved capacity is charged by time.
    static constexpr milliseconds maxLifetime {500};
    static constexpr std::size_t maxEngines = 4'096; ///< Engines whose refusals are kept.

    // Commands

    /// Takes note of an engine that refused a request which needs \a memory tokens.
    void recordRefusal(const std::string &engine, std::uint64_t incarnation, Tokens memory,
                       Instant now);

    // Queries

    /// Returns true if an engine did not lately refuse a request that needs \a memory tokens or
    /// fewer.
    bool accepts(const std::string &engine, std::uint64_t incarnation, Tokens memory,
                 Instant now) const;
    /// Returns true if no refusal is known.
    bool empty() const { return this->refusals.size() == 0; }

    /// Returns true if the claims on an engine together with a request are beyond contendedShare.
    static bool isContended(const UpstreamCandidate &engine, Tokens memory);
    /// Returns what to reserve for a request.
    /// \param expected tokens of prompt and expected output.
    /// \param capacity memory of the engine, in tokens.
    /// \param maxHoldTime longest time that the engine permits.
    /// \param timeLeft time until the request's deadline.
    static ReservationSize sizeOf(double expected, Tokens capacity, milliseconds maxHoldTime,
                                  milliseconds timeLeft);

private:
    struct Refusal
    {
        std::uint64_t incarnation = 0;
        Tokens memory = 0;
        Instant until;
    };

    RecentMap<std::string, Refusal> refusals {maxEngines};
};

} // namespace azurespindle::decision

#endif
