#ifndef AZURESPINDLE_CALLERS_OPERATOR_API_H
#define AZURESPINDLE_CALLERS_OPERATOR_API_H

#include "members/coordinator.h"
#include "serving/lease_service.h"
#include "serving/order_service.h"
#include "serving/pool_manager.h"

#include <atomic>
#include <string>

namespace azurespindle::callers {

/// What operators and the balancer ask of a process: health, metrics, status, explanations.
class OperatorApi
{
public:
    OperatorApi(serving::PoolManager &poolManager, members::Coordinator &coordinator,
                serving::LeaseService &leases, serving::OrderService &orders,
                const std::atomic<bool> &stopping);

    void handleHealth(const http::ExchangePtr &exchange) const;
    /// Answers 200 while new work is welcome, otherwise 503 with the reason.
    void handleReadiness(const http::ExchangePtr &exchange) const;
    void handleMetrics(const http::ExchangePtr &exchange) const;
    void handleStatus(const http::ExchangePtr &exchange) const;
    /// Answers the recent events that name `?id=`.
    void handleExplain(const http::ServerRequest &request, const http::ExchangePtr &exchange) const;
    /// Answers the policy in force for `?workspace=`, `?upstream=` or `?zone=`, and its sources.
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
