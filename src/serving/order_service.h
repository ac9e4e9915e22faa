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

/// What orders change about the leases of an engine. Called with the service's lock held; the
/// hooks must not call the service back.
struct OrderHooks
{
    std::function<void(const std::string &upstream, bool accepting)> setAccepting;
    std::function<void(const std::string &upstream)> markCold;
};

/// Both sides of the orders to engines: brings the stewarded engines to what the configuration
/// wants, and gives out the permits of the pools that fall to this process.
///
/// The permits of a pool of up to fleetScopeEngines engines come from one member of the fleet, so
/// that a zone's only copy is seen beside those of other zones. Larger pools are permitted zone by
/// zone, so that no member hears of more engines than a zone has.
class OrderService
{
public:
    static constexpr milliseconds tickInterval {500};
    static constexpr std::size_t maxFleetScopeEngines = 48;
    /// Permits that nobody asked for so long are given up, so that a member that is responsible
    /// again later waits out the permits given out meanwhile.
    static constexpr milliseconds permitIdleTimeout {30'000};

    OrderService(std::string holder, members::Coordinator &coordinator, http::Client &client,
                 journal::Journal &journal, OrderHooks hooks);

    // Commands

    /// Takes over what is wanted, and which engines fall to this process.
    void refresh(const std::shared_ptr<const Directory> &directory);
    void handleEngineState(const decision::EngineObservation &seen);
    void onPermitRequests(const std::string &from, const members::PermitRequests &requests);
    void onPermitAnswers(const members::PermitAnswers &answers);
    void tick();

    // Queries

    std::vector<decision::OrderStatus> status() const;

private:
    struct PermitScope
    {
        decision::RolloutPermits permits;
        Instant lastAsked;
    };

    std::string permitIssuerOf(const std::string &upstream) const;
    std::string scopeOf(const DirectoryEntry &entry) const;
    decision::PermitAnswer issuePermit(const decision::PermitRequest &request);
    /// Carries out what concerns this process; returns what is to be sent, without the lock.
    std::vector<std::function<void()>> execute(decision::RolloutEffects effects);
    void decideAndExecute(const std::function<decision::RolloutEffects()> &decide);
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
    decision::RolloutController steward;
    std::map<std::string, std::string> permitIssuers; ///< By scope.
    std::map<std::string, PermitScope> permitScopes;  ///< By scope.
};

} // namespace azurespindle::serving

#endif
