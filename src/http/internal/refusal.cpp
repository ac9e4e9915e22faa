#include "http/internal/refusal.h"

#include "http/internal/connection_exchange.h"
#include "http/problem.h"

#include <utility>

namespace azurespindle::http::internal {
namespace {

using Pistache::Tcp::Peer;

constexpr int statusUnavailable = 503;
/// Retry-After when memory is short, which ends as soon as refused callers are disconnected.
constexpr milliseconds memoryRetry {1'000};

bool mayBeRetried(RefusalReason reason)
{
    return reason == RefusalReason::MemoryShort || reason == RefusalReason::TooManyConnections;
}

} // namespace

void refuseConnection(const std::shared_ptr<ServerState> &state,
                      const std::shared_ptr<PostingTransport> &transport,
                      const std::shared_ptr<Peer> &peer, const RejectedRequest &rejection)
{
    const std::shared_ptr<Connection> connection = connectionOf(peer);
    if (connection == nullptr || connection->disconnected) {
        return;
    }
    const std::size_t heldBytes = connection->reader.heldBytes();
    const ResponseForm form {true,
                             rejection.isHead.value_or(connection->reader.readsHeadRequest())};
    connection->reader.clear();
    state->inputBudget.update(connection->budgetNumber, 0, monotonicNow());
    if (std::exchange(connection->closing, true)) {
        return;
    }
    const bool answers = connection->exchange == nullptr;
    if (!answers) {
        connection->exchange->closeAfterwards();
    } else {
        auto exchange = std::make_shared<ConnectionExchange>(state, transport, peer, form);
        connection->exchange = exchange;
        const Problem problem {
            rejection.status,    0,
            "malformed-request", rejection.detail,
            "not-run",           mayBeRetried(rejection.reason) ? memoryRetry : milliseconds(0)};
        exchange->respond(problem.status, problem.headers(), problem.body());
    }
    if (state->onRefusal) {
        state->onRefusal({rejection.reason, answers ? rejection.status : 0, heldBytes});
    }
}

RejectedRequest memoryShortRejection()
{
    return {statusUnavailable, "the memory for requests is short", RefusalReason::MemoryShort};
}

} // namespace azurespindle::http::internal
