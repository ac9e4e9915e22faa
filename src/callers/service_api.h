#ifndef AZURESPINDLE_CALLERS_SERVICE_API_H
#define AZURESPINDLE_CALLERS_SERVICE_API_H

#include "decision/idempotency_store.h"
#include "http/client.h"
#include "members/coordinator.h"
#include "serving/pool_manager.h"

#include <mutex>
#include <random>
#include <string>

namespace azurespindle::callers {

/// Handler of plain service calls and of the idempotency keys that make retries safe.
///
/// A call that is not idempotent is sent once. With a key that this system issued
/// (`POST /v1/idempotency-keys`), the caller may retry it at any entry process: the call is
/// forwarded to the member that issued the key, which runs it at most once and stores the response.
class ServiceApi
{
public:
    ServiceApi(serving::PoolManager &poolManager, members::Coordinator &coordinator,
               http::Client &client, const settings::UpstreamTimeouts &timeouts,
               std::uint64_t incarnation);

    // Commands

    void issueKey(const http::ExchangePtr &exchange);
    /// Handles a request whose path begins with `/services/`.
    void handleCall(const http::ServerRequest &request, const http::ExchangePtr &exchange);
    void tick();

private:
    void submit(const serving::ServiceCall &call, const decision::Request &dispatchRequest,
                const http::ExchangePtr &exchange, const std::string &key);
    void callWithKey(const std::string &key, const http::ServerRequest &request,
                     const serving::ServiceCall &call, const decision::Request &dispatchRequest,
                     const http::ExchangePtr &exchange);
    void forward(const members::MemberRecord &member, const http::ServerRequest &request,
                 const http::ExchangePtr &exchange);
    void replayResponse(const std::string &key, const http::ExchangePtr &exchange);
    void refuseKey(const std::string &key, decision::IdempotencyDecision keyDecision,
                   const http::ExchangePtr &exchange);
    void recordResponse(const std::string &key, const serving::ServiceResponse &response);

    serving::PoolManager &poolManager;
    members::Coordinator &coordinator;
    http::Client &client;
    const settings::UpstreamTimeouts timeouts;
    const std::string selfName;
    std::mutex mutex; ///< Guards keys and generator.
    decision::IdempotencyStore keys;
    std::mt19937_64 generator;
};

} // namespace azurespindle::callers

#endif
