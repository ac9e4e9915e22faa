#ifndef AZURESPINDLE_SERVING_ORDER_SERVICE_H
#define AZURESPINDLE_SERVING_ORDER_SERVICE_H

#include "decision/rollout_controller.h"
#include "decision/rollout_permits.h"
#include "http/client.h"
#include "journal/journal.h"
#include "members/coordinator.h"
#include "serving/directory.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace azurespindle::serving {

/// Callbacks of OrderService that change the leases of an engine.
///
/// They are called with the service's lock held and must not call the service.
struct OrderHooks
{
    /// Starts or stops granting leases on an engine.
    std::function<void(const std::string &upstream, bool accepting)> setAccepting;
    /// Treats an engine as cold, because it loaded a new image.
    std::function<void(const std::string &upstream)> markCold;
};

/// Orders the engines that this process manages to load the image that the configuration wants, and
/// issues permits for such orders.
///
/// An order needs a permit of its scope, whose permits are issued by one member. The scope of an
/// engine is its whole pool if that has up to maxFleetScopeEngines engines, so that a zone's only
/// replica is seen beside those of other zones. For larger pools it is the pool's engines in one
/// zone, so that no member has to track more engines than a zone has. Thread-safe.
class OrderService
{
public:
    static constexpr milliseconds tickInterval {500};
    /// Largest pool that is one scope across all zones, in engines.
    static constexpr std::size_t maxFleetScopeEngines = 48;
    /// The permits of a scope are dropped when none was requested for this long. A member that
    /// issues them again later then starts anew, and waits until the permits that another member
    /// issued in the meantime have expired.
    static constexpr milliseconds permitIdleTimeout {30'000};

    /// \param holder name and incarnation of this process, under which it holds permits.
    OrderService(std::string holder, members::Coordinator &coordinator, http::Client &client,
                 journal::Journal &journal, OrderHooks hooks);

    // Commands

    /// Updates the desired images, and which engines and scopes this process is responsible for.
    void refresh(const std::shared_ptr<const Directory> &directory);
    /// Passes what a managed engine reported to the rollout controller.
    void handleObservation(const decision::EngineObservation &observation);
    /// Answers the permit requests of the member \a from.
    void onPermitRequests(const std::string &from, const members::PermitRequests &requests);
    /// Passes permit answers of other members to the rollout controller.
    void onPermitAnswers(const members::PermitAnswers &answers);
    /// Drops idle permits and advances the rollout controller.
    void tick();

    // Queries

    std::vector<decision::OrderStatus> status() const;

private:
    /// A scope whose permits this process issues.
    struct PermitScope
    {
        decision::RolloutPermits permits;
        Instant lastRequested;
    };

    /// Returns the name of the member that issues the permits for \a upstream; empty if unknown.
    std::string permitIssuerOf(const std::string &upstream) const;
    /// Returns the name of the engine's permit scope. Requires the lock.
    std::string scopeOf(const DirectoryEntry &entry) const;
    decision::PermitAnswer issuePermit(const decision::PermitRequest &request);
    /// Executes the effects that concern this process only. Requires the lock.
    /// \return the actions that send requests; they have to be called without the lock.
    std::vector<std::function<void()>> execute(decision::RolloutEffects effects);
    /// Calls \a decideEffects with the lock held, and executes the effects that it returns.
    void decideAndExecute(const std::function<decision::RolloutEffects()> &decideEffects);
    void requestPermit(const decision::PermitRequest &request);
    void sendOrder(const decision::EngineOrder &order);
    void handleReply(const decision::EngineOrder &order, decision::OrderReply reply,
                     const std::string &detail);

    const std::string holder;
    members::Coordinator &coordinator;
    http::Client &client;
    journal::Journal &journal;
    const OrderHooks hooks;
    mutable std::mutex mutex; ///< Guards the members below.
    std::shared_ptr<const Directory> directory;
    decision::RolloutController controller;
    std::map<std::string, std::string> permitIssuers; ///< Member names, by scope.
    std::map<std::string, PermitScope> permitScopes;  ///< By scope.
};

} // namespace azurespindle::serving

#endif
