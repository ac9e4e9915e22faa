#ifndef AZURESPINDLE_CALLERS_OPERATOR_API_H
#define AZURESPINDLE_CALLERS_OPERATOR_API_H

#include "members/coordinator.h"
#include "serving/lease_service.h"
#include "serving/order_service.h"
#include "serving/pool_manager.h"

#include <atomic>
#include <string>

namespace azurespindle::callers {

/// Handler of the endpoints for operators and load balancers: health, readiness, metrics, status,
/// recent events and configuration.
class OperatorApi
{
public:
    OperatorApi(serving::PoolManager &poolManager, members::Coordinator &coordinator,
                serving::LeaseService &leases, serving::OrderService &orders,
                const std::atomic<bool> &stopping);

    void handleHealth(const http::ExchangePtr &exchange) const;
    /// Responds with 200 while the process accepts requests, otherwise with 503 and the reason.
    void handleReadiness(const http::ExchangePtr &exchange) const;
    void handleMetrics(const http::ExchangePtr &exchange) const;
    void handleStatus(const http::ExchangePtr &exchange) const;
    /// Responds with the recent journal events that concern `?id=`.
    void handleExplain(const http::ServerRequest &request, const http::ExchangePtr &exchange) const;
    /// Responds with the effective policy of `?workspace=`, `?upstream=` or `?zone=` and its
    /// sources, or with a summary of the configuration if none is given.
    void handleConfiguration(const http::ServerRequest &request,
                             const http::ExchangePtr &exchange) const;

private:
    std::string unreadyReason() const;
    nlohmann::ordered_json membersJson() const;
    nlohmann::ordered_json poolsJson() const;
    nlohmann::ordered_json ordersJson() const;

    serving::PoolManager &poolManager;
    members::Coordinator &coordinator;
    serving::LeaseService &leases;
    serving::OrderService &orders;
    const std::atomic<bool> &stopping;
};

} // namespace azurespindle::callers

#endif
