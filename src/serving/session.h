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

/// A request to a plain service, as it is forwarded.
struct ServiceCall
{
    std::string service;
    std::string method;
    std::string path; ///< Relative to the service, including the query.
    http::Headers headers;
    std::string body;
};

/// The response of a plain service, as it is returned to the caller.
struct ServiceResponse
{
    int status = 0;
    http::Headers headers;
    std::string body;
};

/// Connection state of one caller's request: the caller's exchange, the request to send to
/// upstreams and the transfer in flight.
///
/// Sends the caller the response, streamed or as a whole, and records latencies. Thread-safe, but
/// setCompletion() and setServiceCall() have to be called before the session is submitted.
class Session
{
public:
    /// Size, in bytes, from which the text for a caller that does not stream is truncated.
    static constexpr std::size_t maxCollectedBytes = 8'388'608;

    Session(decision::Request request, http::ExchangePtr exchange, metrics::Registry &registry);

    // Commands

    /// Makes this a session of a generation. \a upstreamBody is the request body for engines.
    void setCompletion(callers::CompletionKind kind, std::string model, std::string upstreamBody);
    /// Makes this a session of a plain service call.
    void setServiceCall(ServiceCall call);
    /// Sets a callback that gets the response or refusal just before it is sent to the caller.
    void setResponseCallback(std::function<void(const ServiceResponse &)> callback);

    /// Begins an attempt, and discards what an earlier one collected.
    /// \param generation name of the generation; empty for a service call.
    void beginAttempt(const std::string &generation);
    /// Sends tokens to the caller, or collects them if the response is not streamed.
    /// \param texts texts of all tokens of the event, of which Deliver::skip are skipped.
    void deliver(const decision::Deliver &deliver, const std::vector<std::string> &texts);
    /// Sends the response that was set by setResponse() to the caller.
    void deliverResponse();
    /// Responds with a problem document, or ends a begun stream with an error event.
    void refuse(const decision::Refusal &refusal);
    /// Sets the response of the plain service.
    void setResponse(ServiceResponse response);
    /// Records the transfer in flight and the index of the HTTP client that runs it.
    void setTransfer(std::size_t client, http::TransferId transfer);

    // Queries

    const decision::Request &request() const { return this->callerRequest; }
    const http::ExchangePtr &exchange() const { return this->callerExchange; }
    const ServiceCall &call() const { return this->serviceCall; }
    const std::string &upstreamBody() const { return this->upstreamRequestBody; }
    /// Returns the index of the HTTP client and the transfer last set.
    std::pair<std::size_t, http::TransferId> transfer() const;
    /// Returns the name of the current attempt's generation; empty for a service call.
    std::string generation() const;
    bool isServiceCall() const { return !this->serviceCall.service.empty(); }

private:
    void deliverStreamed(const decision::Deliver &deliver, const std::vector<std::string> &texts);
    void collectTokens(const decision::Deliver &deliver, const std::vector<std::string> &texts);
    /// Returns the server-sent event of one token. \a received counts the tokens up to it.
    std::string tokenEvent(const decision::Deliver &deliver, decision::Tokens received,
                           const std::string &text) const;
    std::string responseJson(decision::Tokens tokens) const;
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

    mutable std::mutex mutex; ///< Guards the members below.
    std::function<void(const ServiceResponse &)> responseCallback;
    std::string generationName;     ///< Of the current attempt.
    std::size_t transferClient = 0; ///< Index of the HTTP client that runs the transfer.
    http::TransferId transferId = 0;
    ServiceResponse serviceResponse;
    std::string collectedText; ///< For a caller that does not stream.
    bool attemptStarted = false;
    bool streamBegun = false;
    bool ended = false;          ///< The response or refusal was sent in full.
    Instant lastToken;           ///< When the last token arrived; Instant() before the first.
    microseconds totalStall {0}; ///< Sum of the gaps longer than metrics::stallGap.
};

using SessionPtr = std::shared_ptr<Session>;

/// Table of the open sessions by request id, in shards with separate locks. Thread-safe.
class SessionTable
{
public:
    static constexpr std::size_t shardCount = 16;

    void add(const SessionPtr &session);
    void remove(decision::RequestId id);
    /// Returns the session, or nullptr if it is not open.
    SessionPtr find(decision::RequestId id) const;

private:
    struct Shard
    {
        mutable std::mutex mutex; ///< Guards sessions.
        std::unordered_map<decision::RequestId, SessionPtr> sessions;
    };

    std::array<Shard, shardCount> shards;
};

/// Returns the problem document that reports a refusal.
http::Problem toProblem(const decision::Refusal &refusal);

} // namespace azurespindle::serving

#endif
