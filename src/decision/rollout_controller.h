#ifndef AZURESPINDLE_DECISION_ROLLOUT_CONTROLLER_H
#define AZURESPINDLE_DECISION_ROLLOUT_CONTROLLER_H

#include "decision/engine_order.h"
#include "journal/event_id.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace azurespindle::decision {

/// What the configuration wants of an engine.
struct DesiredImage
{
    std::string upstream;
    std::string pool;
    std::uint64_t revision = 0;
    EngineImage image;
    bool honoursFencing = true; ///< The engine refuses an order with an old fencing number.

    bool operator==(const DesiredImage &other) const = default;
};

/// What an engine says of itself, and what the fleet may have running there.
struct EngineObservation
{
    std::string upstream;
    EngineImage image;
    std::string loading;                 ///< Empty: it is not loading.
    std::uint32_t activeGenerations = 0; ///< Generations it reports, running and waiting.
    std::uint32_t committed = 0;         ///< Attempts that holders of leases may have running.
    bool warm = false;

    bool operator==(const EngineObservation &other) const = default;
};

enum class OrderReply { Accepted, StaleFencingToken, Failed };

const char *name(OrderReply reply);

/// Ask the member that gives out permits, or just tell it where the engine stands.
struct RequestPermit
{
    PermitRequest request;
    bool operator==(const RequestPermit &other) const = default;
};

/// Send an order, unless EngineOrder::notAfter has passed right before the send.
struct SendOrder
{
    EngineOrder order;
    bool operator==(const SendOrder &other) const = default;
};

/// Begin or cease to give the engine new work.
struct SetAccepting
{
    std::string upstream;
    bool accepting = true;
    bool operator==(const SetAccepting &other) const = default;
};

/// The engine has loaded something new: it counts as cold.
struct MarkCold
{
    std::string upstream;
    bool operator==(const MarkCold &other) const = default;
};

/// Log an event.
struct LogRolloutEvent
{
    journal::Entry entry;
    bool operator==(const LogRolloutEvent &other) const = default;
};

using RolloutEffect
    = std::variant<RequestPermit, SendOrder, SetAccepting, MarkCold, LogRolloutEvent>;
using RolloutEffects = std::vector<RolloutEffect>;

/// Where the order of one engine stands, for `azurespindle status`.
struct OrderStatus
{
    std::string upstream;
    EngineImage image;
    EngineImage wanted;
    std::uint64_t revision = 0;
    OrderPhase phase = OrderPhase::Unseen;
    std::string reason; ///< Why it waits.
};

/// Brings the engines that this process stewards to what the configuration wants.
///
/// An engine that needs an order waits for a permit, gets no new work, is left until nothing runs
/// there, is looked at, ordered, and looked at again. The wanted image is a function of the
/// configuration's revision, and the revision is the fencing number: processes that act at once on
/// one revision send the same order, and one that acts on an older revision an older number.
/// Pure, like Dispatcher: it is told the event and the time.
class RolloutController
{
public:
    static constexpr milliseconds askInterval {2'000};
    /// Between two standings of an engine that needs nothing: whoever gives out permits has to
    /// know which copies would remain.
    static constexpr milliseconds standingInterval {15'000};
    /// The same, while a rollout goes on.
    static constexpr milliseconds rolloutInterval {4'000};
    /// An engine not seen for so long is not waited for.
    static constexpr milliseconds unseenAfter {10'000};
    /// How old a look at the engine may be when it is ordered.
    static constexpr milliseconds lookValid {1'000};
    /// A process whose ticks come later than this was paused, and forgets its permits.
    static constexpr milliseconds pausedAfter {3'000};
    /// An engine that ignores fencing numbers is not ordered before a predecessor's last order is
    /// sure to have reached it.
    static constexpr milliseconds quietTime {15'000};
    static constexpr milliseconds retryAfter {10'000};
    static constexpr milliseconds loadTimeout {600'000};

    explicit RolloutController(std::string holder) : holder(std::move(holder)) { }

    // Commands

    /// Takes over what is wanted of an engine that this process stewards.
    RolloutEffects setDesiredImage(const DesiredImage &wanted, Instant now);
    /// Ceases to care for an engine.
    void removeEngine(const std::string &upstream);
    RolloutEffects recordObservation(const EngineObservation &seen, Instant now);
    RolloutEffects handlePermitAnswer(const PermitAnswer &answer, Instant now);
    RolloutEffects handleOrderReply(const EngineOrder &order, OrderReply reply,
                                    const std::string &detail, Instant now);
    RolloutEffects tick(Instant now);

    // Queries

    std::vector<OrderStatus> status() const;
    /// Returns true if the engine may be given new work as far as its orders go.
    bool isAccepting(const std::string &upstream) const;

private:
    struct Engine
    {
        DesiredImage wanted;
        EngineObservation seen;
        bool known = false; ///< It was seen with a version.
        Instant seenAt;
        Instant stewardedSince;
        OrderPhase phase = OrderPhase::Unseen;
        std::string reason;
        Instant permitUntil;
        Instant lastAsked;
        bool rolloutActive = false; ///< Other engines of the pool need orders.
        Instant orderedAt;
        Instant notBefore; ///< After an order that failed.
        bool accepting = true;
    };

    void review(Engine &engine, RolloutEffects &effects);
    void settle(Engine &engine, RolloutEffects &effects);
    void wait(Engine &engine, const std::string &reason, RolloutEffects &effects);
    void drain(Engine &engine, RolloutEffects &effects);
    void orderIfDrained(Engine &engine, RolloutEffects &effects);
    void watchLoad(Engine &engine, RolloutEffects &effects);
    void updateAccepting(Engine &engine, RolloutEffects &effects);
    void ask(Engine &engine, RolloutEffects &effects);
    void askIfDue(Engine &engine, RolloutEffects &effects);
    bool drained(const Engine &engine) const;
    bool hasPermit(const Engine &engine) const { return this->now < engine.permitUntil; }
    static void journal(journal::EventId id, const Engine &engine, const std::string &detail,
                        RolloutEffects &effects);

    const std::string holder;
    Instant now;
    Instant lastTick;
    std::map<std::string, Engine> engines;
};

} // namespace azurespindle::decision

#endif
