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

/// What may be done again with the requests of a route.
enum class RouteKind {
    Idempotent,    ///< May run more than once.
    NonIdempotent, ///< Runs at most once.
    Streaming,     ///< A generation; runs at most once unless the route is resumable.
};

/// A service and its share of a route's requests.
struct ServiceShare
{
    std::string service;
    double weight = 1.0;
    bool operator==(const ServiceShare &other) const = default;
};

/// Where the requests of one host and path prefix go, and how.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    RouteKind kind = RouteKind::Idempotent;
    std::vector<ServiceShare> services;
    milliseconds timeout {0};           ///< Longest time that a request is kept waiting.
    milliseconds latencyObjective {0};  ///< To the answer, or to the first event of a stream.
    milliseconds eventGapObjective {0}; ///< Longest pause between two events of a stream.
    std::uint32_t maxAttempts = 1;      ///< Upstreams that one request may be sent to.
    std::uint32_t priority = 0;         ///< 0 is the most urgent.
    bool keyless = false;               ///< Needs no API key.
    bool resumable = false;             ///< Its streams may go on at another upstream.
    std::vector<std::string> regions;   ///< Only upstreams there may get it; empty: anywhere.
    bool operator==(const Route &other) const = default;
};

/// What is known beforehand of the engines of a service.
struct EngineTraits
{
    std::uint32_t slots = 1;
    Tokens memoryTokens = 0;
    double bytesPerToken = 0.0;
    double linkMegabitsPerSecond = 0.0;
    Tokens tokensPerEvent = 1;
    bool supportsMigration = false; ///< A running generation can be copied to another engine.
    bool supportsBackup
        = false; ///< A generation's memory can be copied to a second engine as it grows.
    milliseconds copyLifetime {0}; ///< How long a copy waits for its use.
    bool operator==(const EngineTraits &other) const = default;
};

struct Service
{
    std::string name;
    std::uint32_t maxConnections = 0; ///< Of all callers, at one upstream.
    double coldRequestsPerSecond = 0; ///< What a cold upstream bears; 0: nothing is said.
    std::optional<EngineTraits> engine;
    bool operator==(const Service &other) const = default;
};

/// What callers may send, and how long they may take.
struct RequestLimits
{
    std::size_t headerBytes = 16'384;
    std::size_t bodyBytes = 4'194'304;
    milliseconds headerTimeout {3'000};
    milliseconds idleTimeout {15'000};
    bool operator==(const RequestLimits &other) const = default;
};

struct Workspace
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< Takes precedence over the route's.
    std::vector<std::string> regions;      ///< As Route::regions; where both say, both bind.
    bool operator==(const Workspace &other) const = default;
};

/// One version of the configuration, whole.
struct RoutingConfiguration
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    RequestLimits limits;
    std::vector<Workspace> workspaces;
    bool operator==(const RoutingConfiguration &other) const = default;
};

/// An upstream as it describes itself.
struct UpstreamRecord
{
    std::string id; ///< New with most starts.
    std::string service;
    std::string address; ///< IP:PORT.
    std::string zone;
    std::uint32_t slots = 1;
    bool draining = false;
    milliseconds coldTimeLeft {0}; ///< Time for which it stays cold, when the record was written.
    std::uint64_t incarnation = 0; ///< Tells one life of an id from the next.
    bool operator==(const UpstreamRecord &other) const = default;
};

/// A part of a prompt that other requests may share.
struct PromptPart
{
    std::uint64_t id = 0;
    Tokens tokens = 0;
    bool operator==(const PromptPart &other) const = default;
};

/// A caller's request as it is to be forwarded: what the decisions need, and what upstreams get.
struct RoutedRequest
{
    std::string callerRequestId; ///< The caller's own id of this attempt.
    std::string host;
    std::string method;
    std::string target;
    std::string path;
    std::string key; ///< API key; never forwarded.
    std::optional<milliseconds> deadline;
    Tokens promptTokens = 0;
    Tokens maxOutputTokens = 0;
    std::optional<Tokens> expectedOutputTokens;
    std::vector<PromptPart> promptParts;
    std::optional<std::uint64_t> lastEventId; ///< The caller resumes a stream after this event.
    http::HeaderFields forwarded; ///< Header fields that go on to the upstream as they are.
    std::string body;
};

/// How a running generation is taken over by another engine.
struct Takeover
{
    std::string source; ///< IP:PORT/HANDLE of the copy.
    bool operator==(const Takeover &other) const = default;
};

/// One sending of a request to one upstream.
struct AttemptPlan
{
    UpstreamRecord upstream;
    milliseconds timeLeft {0};
    std::string workspace;      ///< Empty on a keyless route.
    std::uint32_t priority = 0; ///< 0 to 9, 0 first; only for engines.
    bool toEngine = false;
    std::optional<std::uint64_t> resumeAfterEvent; ///< Go on after this event.
    std::optional<Takeover> takeover;
    std::string backupAddress; ///< Engine that keeps a copy; empty: none.
    bool operator==(const AttemptPlan &other) const = default;
};

/// What the head of an upstream's answer says.
struct ResponseHead
{
    int status = 0;
    bool notRun = false;            ///< The upstream states that it did not run the request.
    bool wrongInstance = false;     ///< Another upstream has the address now.
    bool authentic = false;         ///< Bears the upstream's signature, and the id of this request.
    bool requestIdMismatch = false; ///< Bears the id of another request.
    bool eventStream = false;
    http::HeaderFields fields; ///< For the caller.
};

/// An answer of this process's own.
struct LocalReply
{
    int status = 503;
    milliseconds retryAfter {0}; ///< 0: nothing is said.
    std::string reason;
    bool operator==(const LocalReply &other) const = default;
};

} // namespace azurespindle::routing

#endif
