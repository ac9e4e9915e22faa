#ifndef AZURESPINDLE_SERVING_SESSION_H
#define AZURESPINDLE_SERVING_SESSION_H

#include "callers/completion_request.h"
#include "decision/events.h"
#include "http/client.h"
#include "http/problem.h"
#include "http/server.h"
#include "metrics/registry.h"
#include "upstreams/sse_reader.h"

#include <array>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace azurespindle::serving {

/// A call of a plain service, as it is sent on.
struct ServiceCall
{
    std::string service;
    std::string method;
    std::string path; ///< Below the service, with its query.
    http::Headers headers;
    std::string body;
};

/// The answer of a plain service, as it is handed back.
struct ServiceResponse
{
    int status = 0;
    http::Headers headers;
    std::string body;
};

/// Everything outside the decisions that belongs to one caller's request: where its answer goes,
/// what is sent to upstreams, and the transfer that is under way.
class Session
{
public:
    /// Largest whole answer that is collected for a caller who does not stream, in bytes.
    static constexpr std::size_t maxCollectedBytes = 8'388'608;

    Session(decision::Request request, http::ExchangePtr exchange, metrics::Registry &registry);

    // Commands

    /// Makes this a generation.
    void setCompletion(callers::CompletionKind kind, std::string model, std::string upstreamBody);
    /// Makes this a call of a plain service.
    void setServiceCall(ServiceCall call);
    /// Sets what is called with the answer or refusal, just before the caller gets it.
    void setResponseCallback(std::function<void(const ServiceResponse &)> callback);

    /// Begins an attempt: forgets what an earlier one collected. \a generation is empty for a call.
    void beginAttempt(const std::string &generation);
    /// Hands the caller tokens, the first of which has the number \a offset.
    void deliver(const decision::Deliver &deliver, const std::vector<std::string> &texts);
    /// Hands the caller the answer of a plain service.
    void deliverResponse();
    /// Ends the answer with an error.
    void refuse(const decision::Refusal &refusal);
    void setResponse(ServiceResponse response);
    void setTransfer(std::size_t client, http::TransferId transfer);

    // Queries

    const decision::Request &request() const { return this->callerRequest; }
    const http::ExchangePtr &exchange() const { return this->callerExchange; }
    const ServiceCall &call() const { return this->serviceCall; }
    const std::string &upstreamBody() const { return this->upstreamRequestBody; }
    std::pair<std::size_t, http::TransferId> transfer() const;
    std::string generation() const;
    bool isServiceCall() const { return !this->serviceCall.service.empty(); }

private:
    void deliverStreamed(const decision::Deliver &deliver, const std::vector<std::string> &texts);
    void collectTokens(const decision::Deliver &deliver, const std::vector<std::string> &texts);
    std::string tokenEvent(const decision::Deliver &deliver, decision::Tokens received,
                           const std::string &text) const;
    std::string completeResponse(decision::Tokens tokens) const;
    void observeTokens(decision::Tokens count);
    void observeCompletion(decision::Tokens tokens);
    void beginStream();

    const decision::Request callerRequest;
    const http::ExchangePtr callerExchange;
    metrics::Registry &registry;
    const Instant arrivalTime;
    callers::CompletionKind kind = callers::CompletionKind::Text;
    std::string model;
    std::string upstreamRequestBody;
    ServiceCall serviceCall;

    mutable std::mutex mutex; ///< Guards everything below.
    std::function<void(const ServiceResponse &)> responseCallback;
    std::string generationName;
    std::size_t transferClient = 0;
    http::TransferId transferId = 0;
    ServiceResponse serviceResponse;
    std::string collectedText;
    bool attemptStarted = false;
    bool streamBegun = false;
    bool ended = false;
    Instant lastToken;
    microseconds totalStall {0};
};

using SessionPtr = std::shared_ptr<Session>;

/// The open sessions, by request, in shards that lock separately.
class SessionTable
{
public:
    static constexpr std::size_t shardCount = 16;

    void add(const SessionPtr &session);
    void remove(decision::RequestId id);
    SessionPtr find(decision::RequestId id) const;

private:
    struct Shard
    {
        mutable std::mutex mutex; ///< Guards sessions.
        std::unordered_map<decision::RequestId, SessionPtr> sessions;
    };

    std::array<Shard, shardCount> shards;
};

/// Returns the problem document of a refusal.
http::Problem toProblem(const decision::Refusal &refusal);

} // namespace azurespindle::serving

#endif
