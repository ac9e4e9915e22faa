#ifndef AZURESPINDLE_DECISION_ROLLOUT_CONTROLLER_H
#define AZURESPINDLE_DECISION_ROLLOUT_CONTROLLER_H

#include "decision/engine_order.h"
#include "journal/event_id.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace azurespindle::decision {

/// The image that the configuration assigns to an engine.
struct DesiredImage
{
    std::string upstream;
    std::string pool;
    std::uint64_t revision = 0; ///< Revision of the configuration.
    EngineImage image;
    bool honoursFencing = true; ///< The engine refuses orders with an old fencing token.

    bool operator==(const DesiredImage &other) const = default;
};

/// The state an engine reports, and the use that the fleet may make of it.
struct EngineObservation
{
    std::string upstream;
    EngineImage image;
    std::string loading;                 ///< What it is loading; empty if nothing.
    std::uint32_t activeGenerations = 0; ///< Reported generations, running and waiting.
    std::uint32_t committed = 0;         ///< Attempts that lease holders may have in flight.
    bool warm = false;                   ///< Its concurrency limit is well above the cold one.

    bool operator==(const EngineObservation &other) const = default;
};

/// Result of sending an order to an engine.
enum class OrderReply { Accepted, StaleFencingToken, Failed };

/// Returns the text of the result as it is written to the event log.
const char *name(OrderReply reply);

/// Effect: send a permit request, or a status update, to the member that grants permits.
struct RequestPermit
{
    PermitRequest request;
    bool operator==(const RequestPermit &other) const = default;
};

/// Effect: send an order, unless EngineOrder::notAfter has passed immediately before the send.
struct SendOrder
{
    EngineOrder order;
    bool operator==(const SendOrder &other) const = default;
};

/// Effect: start or stop sending new work to the engine.
struct SetAccepting
{
    std::string upstream;
    bool accepting = true;
    bool operator==(const SetAccepting &other) const = default;
};

/// Effect: reset the engine to cold, because it has loaded another image.
struct MarkCold
{
    std::string upstream;
    bool operator==(const MarkCold &other) const = default;
};

/// Effect: write an entry to the event log.
struct LogRolloutEvent
{
    journal::Entry entry;
    bool operator==(const LogRolloutEvent &other) const = default;
};

using RolloutEffect
    = std::variant<RequestPermit, SendOrder, SetAccepting, MarkCold, LogRolloutEvent>;
using RolloutEffects = std::vector<RolloutEffect>;

/// State of the order of one engine, as `azurespindle status` shows it.
struct OrderStatus
{
    std::string upstream;
    EngineImage image; ///< As the engine last reported it.
    EngineImage desired;
    std::uint64_t revision = 0; ///< Revision of the configuration.
    OrderPhase phase = OrderPhase::Unseen;
    std::string reason; ///< Why the engine waits; empty otherwise.
};

/// Reconciles the engines that this process manages with the images that the configuration assigns.
///
/// An engine that needs an order waits for a permit, then gets no new work until its generations
/// have ended, and is ordered on the basis of a fresh observation. Afterwards its reports must show
/// the desired image. The image is a function of the configuration's revision, which is also the
/// fencing token: processes that act at the same time on the same revision send the same order, and
/// one that acts on an older revision sends an older token.
///
/// Like Dispatcher it does no I/O: it receives events with the time and returns effects.
class RolloutController
{
public:
    /// Time between two status updates for an engine that needs an order; each requests or renews
    /// its permit.
    static constexpr milliseconds permitRequestInterval {2'000};
    /// Time between two status updates for an engine that needs no order. The permit granter needs
    /// them to know which replicas would remain.
    static constexpr milliseconds statusInterval {15'000};
    /// Time between two status updates for an engine that needs no order, while others of its pool
    /// do.
    static constexpr milliseconds rolloutStatusInterval {4'000};
    /// Time without a report after which an engine counts as unreachable.
    static constexpr milliseconds observationTimeout {10'000};
    /// Maximum age of the observation on which an order is based.
    static constexpr milliseconds maxObservationAge {1'000};
    /// Time between two ticks after which the process counts as paused and drops its permits.
    static constexpr milliseconds pauseThreshold {3'000};
    /// Time for which an engine that ignores fencing tokens gets no order from a new manager, so
    /// that the predecessor's last order has arrived by then.
    static constexpr milliseconds predecessorOrderTimeout {15'000};
    /// Time after a failed order before the engine may be ordered again.
    static constexpr milliseconds retryDelay {10'000};
    /// Time after which a load counts as failed.
    static constexpr milliseconds loadTimeout {600'000};

    /// \param requester name and incarnation of this process, for its permit requests.
    explicit RolloutController(std::string requester) : requester(std::move(requester)) { }

    // Commands

    /// Sets the desired image of an engine that this process manages.
    RolloutEffects setDesiredImage(const DesiredImage &desired, Instant now);
    /// Stops managing an engine.
    void removeEngine(const std::string &upstream);
    /// Records the reported state of an engine.
    RolloutEffects recordObservation(const EngineObservation &observed, Instant now);
    /// Handles the answer to a permit request; ignores one for another revision.
    RolloutEffects handlePermitAnswer(const PermitAnswer &answer, Instant now);
    /// Handles the result of an order that was sent.
    /// \param detail error text for the log.
    RolloutEffects handleOrderReply(const EngineOrder &order, OrderReply reply,
                                    const std::string &detail, Instant now);
    /// Re-evaluates all engines and sends due status updates.
    RolloutEffects tick(Instant now);

    // Queries

    /// Returns the state of all managed engines.
    std::vector<OrderStatus> status() const;
    /// Returns true unless the state of its orders keeps the engine from taking new work. An engine
    /// that is not managed here is accepting.
    bool isAccepting(const std::string &upstream) const;

private:
    struct Engine
    {
        DesiredImage desired;
        EngineObservation observed;
        bool reportsImage = false; ///< It reported a version or a load in progress.
        Instant observedAt;
        Instant managedSince;
        OrderPhase phase = OrderPhase::Unseen;
        std::string reason;
        Instant permitExpires;
        Instant lastRequested;
        bool rolloutActive = false; ///< Some engine of the pool still needs an order.
        Instant orderedAt;
        Instant retryNotBefore; ///< Earliest retry after a failed order.
        bool accepting = true;
    };

    void reconcile(Engine &engine, RolloutEffects &effects);
    void markSettled(Engine &engine, RolloutEffects &effects);
    void waitForPermit(Engine &engine, const std::string &reason, RolloutEffects &effects);
    void startDraining(Engine &engine, RolloutEffects &effects);
    void orderIfDrained(Engine &engine, RolloutEffects &effects);
    void checkLoading(Engine &engine, RolloutEffects &effects);
    void updateAccepting(Engine &engine, RolloutEffects &effects);
    void requestPermit(Engine &engine, RolloutEffects &effects);
    void requestPermitIfDue(Engine &engine, RolloutEffects &effects);
    bool isDrained(const Engine &engine) const;
    bool hasPermit(const Engine &engine) const { return this->now < engine.permitExpires; }
    static void logEvent(journal::EventId id, const Engine &engine, const std::string &detail,
                         RolloutEffects &effects);

    const std::string requester; ///< Name and incarnation of this process.
    Instant now;
    Instant lastTick;
    std::map<std::string, Engine> engines;
};

} // namespace azurespindle::decision

#endif
