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

/// Calls of plain services, and the idempotency keys that make a resend safe.
///
/// A call that may not be repeated is sent once. With a key that this system issued
/// (`POST /v1/idempotency-keys`), the caller may send it again to any entry process: it is passed
/// to the member that issued the key, which runs it at most once and keeps the answer.
class ServiceApi
{
public:
    ServiceApi(serving::PoolManager &poolManager, members::Coordinator &coordinator,
               http::Client &client, const settings::UpstreamTimeouts &timeouts,
               std::uint64_t life);

    // Commands

    void issueKey(const http::ExchangePtr &exchange);
    /// Handles a request whose path begins with `/services/`.
    void handleCall(const http::ServerRequest &request, const http::ExchangePtr &exchange);
    void tick();

private:
    void submit(const serving::ServiceCall &call, const decision::Request &asked,
                const http::ExchangePtr &exchange, const std::string &key);
    void callWithKey(const std::string &key, const http::ServerRequest &request,
                     const serving::ServiceCall &call, const decision::Request &asked,
                     const http::ExchangePtr &exchange);
    void forward(const members::MemberRecord &home, const http::ServerRequest &request,
                 const http::ExchangePtr &exchange);
    void answerAgain(const std::string &key, const http::ExchangePtr &exchange);
    void refuseKey(const std::string &key, decision::IdempotencyDecision verdict,
                   const http::ExchangePtr &exchange);
    void noteAnswer(const std::string &key, const serving::ServiceResponse &answer);

    serving::PoolManager &poolManager;
    members::Coordinator &coordinator;
    http::Client &client;
    const settings::UpstreamTimeouts timeouts;
    const std::string home;
    std::mutex mutex; ///< Guards the two below.
    decision::IdempotencyStore keys;
    std::mt19937_64 generator;
};

} // namespace azurespindle::callers

#endif
