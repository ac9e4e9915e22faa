#ifndef AZURESPINDLE_ROUTING_TYPES_H
#define AZURESPINDLE_ROUTING_TYPES_H

#include "base/time_types.h"
#include "decision/types.h"
#include "http/server.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace azurespindle::routing {

using decision::RequestId;
using decision::Tokens;

/// Whether the requests of a route may be executed more than once.
enum class RouteKind {
    Idempotent,    ///< A request may be executed more than once.
    NonIdempotent, ///< A request is executed at most once.
    Streaming,     ///< A generation, executed at most once unless the route is resumable.
};

/// A service that receives a weighted share of a route's requests.
struct ServiceShare
{
    std::string service;
    double weight = 1.0; ///< Relative to the weights of the route's other services.
    bool operator==(const ServiceShare &other) const = default;
};

/// A rule that maps the requests of one host and path prefix to services.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Path prefix that begins and ends with a slash.
    RouteKind kind = RouteKind::Idempotent;
    std::vector<ServiceShare> services;
    milliseconds timeout {0};           ///< Upper bound of the duration of a request.
    milliseconds latencyObjective {0};  ///< Objective for the response or a stream's first event.
    milliseconds eventGapObjective {0}; ///< Objective for the pause between two stream events.
    std::uint32_t maxAttempts = 1;      ///< Number of upstreams that may execute one request.
    std::uint32_t priority = 0;         ///< Priority of the requests; 0 is the most urgent.
    bool keyless = false;               ///< True if requests need no API key.
    bool resumable = false; ///< True if a stream may be resumed by running it on another upstream.
    std::vector<std::string> regions; ///< Regions of permitted upstreams; empty permits all.
    bool operator==(const Route &other) const = default;
};

/// Configured capacity and capabilities of a service's engines.
struct EngineTraits
{
    std::uint32_t slots = 1;            ///< Generations that one engine runs concurrently.
    Tokens memoryTokens = 0;            ///< Capacity of the KV cache.
    double bytesPerToken = 0.0;         ///< Size of one token in the KV cache.
    double linkMegabitsPerSecond = 0.0; ///< Bandwidth for copies of the KV cache.
    Tokens tokensPerEvent = 1;          ///< Output tokens in each stream event.
    bool supportsMigration = false; ///< True if a running generation can be copied to an engine.
    bool supportsBackup = false;    ///< True if a second engine can hold a copy as it grows.
    milliseconds copyLifetime {0};  ///< Time for which an engine keeps an unused copy.
    bool operator==(const EngineTraits &other) const = default;
};

/// A named group of interchangeable upstreams.
struct Service
{
    std::string name;
    std::uint32_t maxConnections = 0;   ///< Connections of all callers to one upstream.
    double coldRequestsPerSecond = 0;   ///< Request rate that a cold upstream sustains; 0: unknown.
    std::optional<EngineTraits> engine; ///< Set if the upstreams are model engines.
    bool operator==(const Service &other) const = default;
};

/// Size limits and timeouts of callers' requests.
struct RequestLimits
{
    std::size_t headerBytes = 16'384;
    std::size_t bodyBytes = 4'194'304;
    milliseconds headerTimeout {3'000};
    milliseconds idleTimeout {15'000};
    bool operator==(const RequestLimits &other) const = default;
};

/// A workspace: the holder of API keys, with settings for the requests that use them.
struct Workspace
{
    std::string name;
    std::vector<std::string> keys;         ///< API keys of the workspace.
    std::optional<std::uint32_t> priority; ///< Overrides Route::priority if set.
    /// Regions of permitted upstreams; empty permits all. Route::regions applies as well.
    std::vector<std::string> regions;
    bool operator==(const Workspace &other) const = default;
};

/// One complete version of the routing configuration.
struct RoutingConfiguration
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    RequestLimits limits;
    std::vector<Workspace> workspaces;
    bool operator==(const RoutingConfiguration &other) const = default;
};

/// The record that an upstream publishes about itself.
struct UpstreamRecord
{
    std::string id; ///< Identifier, which usually changes when the upstream restarts.
    std::string service;
    std::string address; ///< IP:PORT.
    std::string zone;
    std::uint32_t slots = 1;       ///< Requests that it serves concurrently.
    bool draining = false;         ///< True if it is shutting down and takes no new requests.
    milliseconds coldTimeLeft {0}; ///< Remaining warm-up time when the record was written.
    std::uint64_t incarnation = 0; ///< Distinguishes restarts that keep the same id.
    std::uint64_t sequence = 0;    ///< Ascends with each record that one incarnation writes.
    bool operator==(const UpstreamRecord &other) const = default;
};

/// A part of a prompt that other requests may share.
struct PromptPart
{
    std::uint64_t id = 0;
    Tokens tokens = 0;
    bool operator==(const PromptPart &other) const = default;
};

/// A parsed request of a caller: the input of the routing decisions and the data to forward.
struct RoutedRequest
{
    std::string callerRequestId; ///< Request id that the caller assigned to this attempt.
    std::string host;
    std::string method;
    std::string target;
    std::string path;
    std::string key;                      ///< API key, which is never forwarded.
    std::optional<milliseconds> deadline; ///< Time left for the request, as the caller states it.
    Tokens promptTokens = 0;
    Tokens maxOutputTokens = 0;
    std::optional<Tokens> expectedOutputTokens;
    std::vector<PromptPart> promptParts;
    std::optional<std::uint64_t> lastEventId; ///< Event after which the caller resumes a stream.
    http::HeaderFields forwarded;             ///< Header fields that are forwarded unchanged.
    std::string body;
};

/// Continues a generation on another engine from a copy of its KV cache.
struct Takeover
{
    std::string source; ///< Location of the copy as IP:PORT/HANDLE.
    bool operator==(const Takeover &other) const = default;
};

/// The parameters of one attempt, which sends a request to one upstream.
struct AttemptPlan
{
    UpstreamRecord upstream;
    milliseconds timeLeft {0};  ///< Time until the request's deadline.
    std::string workspace;      ///< Name of the workspace; empty on a keyless route.
    std::uint32_t priority = 0; ///< Priority for an engine, from 0 (most urgent) to 9.
    bool toEngine = false;      ///< True if the upstream is a model engine.
    std::optional<std::uint64_t> resumeAfterEvent; ///< Id of the last event received so far.
    std::optional<Takeover> takeover;
    std::string backupAddress; ///< IP:PORT of the engine that holds a backup copy; empty: none.
    bool operator==(const AttemptPlan &other) const = default;
};

/// Status and header of an upstream's response.
struct ResponseHead
{
    int status = 0;             ///< HTTP status code.
    bool notRun = false;        ///< True if the upstream states that it did not execute it.
    bool wrongInstance = false; ///< True if another upstream now listens at the address.
    bool authentic = false;     ///< True if it has the upstream's signature and this request's id.
    bool requestIdMismatch = false;  ///< True if it carries the id of another request.
    bool requestIdMissing = false;   ///< True if it carries no request's id.
    bool eventStream = false;        ///< True if the body is a stream of server-sent events.
    bool endsWithConnection = false; ///< True if neither a length nor chunks tell its end.
    /// Requests per second that the upstream takes from the whole fleet, if it names a limit.
    std::optional<double> requestsPerSecond {};
    bool leaving = false; ///< True if the upstream states that it is shutting down.
    /// Time for which the upstream, which is unavailable, wants no requests of this process.
    std::optional<milliseconds> retryAfter {};
    std::uint32_t invalidRetryAfters = 0; ///< Stated times that could not be read.
    http::HeaderFields fields;            ///< Header fields for the caller.
};

/// A reply that this process generates itself instead of forwarding one from an upstream.
struct LocalReply
{
    int status = 503;            ///< HTTP status code.
    milliseconds retryAfter {0}; ///< Suggested delay of a retry; 0 suggests none.
    std::string reason;
    bool operator==(const LocalReply &other) const = default;
};

} // namespace azurespindle::routing

#endif
