#ifndef AZURESPINDLE_DECISION_TYPES_H
#define AZURESPINDLE_DECISION_TYPES_H

#include "base/time_types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace azurespindle::decision {

/// Identifies a request within this process.
using RequestId = std::uint64_t;

/// Attempt of a request: 1 for the first, incremented by each retry and each resume.
using AttemptNumber = std::uint32_t;

/// Number of tokens, of a prompt, an output, or KV cache memory.
using Tokens = std::uint32_t;

/// Order of the requests within a workspace.
enum class Priority { Batch, Standard, Interactive };

/// Position at which a caller resumes a generation that it started on an earlier connection.
struct ResumePoint
{
    std::string upstream;
    std::string generation;
    Tokens offset = 0; ///< Number of tokens that the caller has already received.

    auto operator<=>(const ResumePoint &other) const = default;
};

/// Metadata of a caller's request on which scheduling decisions are based; it holds no text.
struct Request
{
    RequestId id = 0;
    std::string workspace;
    std::string trafficClass; ///< Label for requests with similar output lengths.
    Priority priority = Priority::Standard;
    Tokens promptTokens = 0;
    Tokens maxTokens = 0;                    ///< Limit on the output; 0 for a plain service call.
    std::vector<std::uint64_t> prefixBlocks; ///< Hashes of the prompt's blocks, in order.
    std::uint64_t fingerprint = 0;           ///< Hash of what is run; equal for a resent request.
    bool streamed = true;                    ///< Whether tokens are delivered as they arrive.
    bool idempotent = true; ///< Whether it may run again after an attempt that may have run.
    std::optional<ResumePoint> resume;

    bool operator==(const Request &other) const = default;
};

/// Whether a refused or interrupted request was executed, as far as known.
enum class Outcome { NotRun, Unknown, Ran };

/// Reason for which a request is refused.
enum class RefusalCode {
    Overloaded = 1001,       ///< The workspace's queue or the process's whole queue is full.
    QueueTimeout = 1002,     ///< The request reached its queue timeout.
    NoUpstream = 1003,       ///< No upstream is listed for the model or service.
    CrashSuspect = 1004,     ///< Two upstreams crashed while running this request.
    RetriesExhausted = 1005, ///< All attempts failed, or the retry budget is exhausted.
    GenerationLost = 1006,   ///< The upstream lost the generation after delivering tokens.
    OutcomeUnknown = 1007,   ///< A non-idempotent call was interrupted and may have run.
    Stopping = 1008,         ///< The process is shutting down.
    UpstreamRefused = 1009,  ///< The upstream returned an error response.
    CallerGone = 1010,       ///< The caller disconnected; the refusal is not delivered.
};

/// Error with which a request ends before its response is complete.
struct Refusal
{
    RefusalCode code = RefusalCode::Overloaded;
    Outcome outcome = Outcome::Unknown;
    milliseconds retryAfter {0}; ///< Suggested delay before a retry; 0 if a retry is useless.
    std::string reason;

    bool operator==(const Refusal &other) const = default;
};

/// How an attempt ended before its response was complete.
enum class FailureKind {
    NotSent,           ///< No byte was sent.
    ConnectionRefused, ///< Connecting failed; no byte was sent.
    Rejected,          ///< The upstream states that it did not run the request.
    ConnectionLost,    ///< The connection closed before the response was complete.
    TimedOut,          ///< No data arrived within the timeout.
    GenerationGone,    ///< The upstream does not know the generation to resume.
    UpstreamError,     ///< The upstream returned an error that a retry would not change.
};

/// Load of an engine as reported by it; already out of date when read.
struct EngineReport
{
    Instant at;                    ///< Time at which the report was read.
    std::uint64_t boot = 0;        ///< Boot number, which changes with each restart of the engine.
    Tokens memoryTokens = 0;       ///< Capacity of its KV cache.
    Tokens memoryUsed = 0;         ///< Part of the KV cache in use.
    std::uint32_t running = 0;     ///< Requests in its current batch.
    std::uint32_t waiting = 0;     ///< Requests in its queue.
    std::uint64_t preemptions = 0; ///< Preemptions since it started.

    bool operator==(const EngineReport &other) const = default;
};

/// Latencies and failures that a lease holder observed at an upstream since its last lease
/// request. They let the lease manager adjust the upstream's concurrency.
struct UpstreamObservations
{
    std::uint32_t firstTokensInTime = 0;
    std::uint32_t firstTokensLate = 0; ///< First tokens after the policy's limit.
    std::uint32_t gapsInTime = 0;
    std::uint32_t gapsLate = 0;        ///< Tokens after a longer interval than the policy's limit.
    std::uint32_t failures = 0;        ///< Failed attempts, except UpstreamError, and restarts.
    std::uint32_t peakOutstanding = 0; ///< Maximum number of concurrent attempts.

    bool operator==(const UpstreamObservations &other) const = default;
};

/// Hash that identifies a workspace in messages between processes. Workspaces whose hashes
/// collide are accounted as one.
using WorkspaceKey = std::uint32_t;

/// Returns the 32-bit hash of a workspace's name.
WorkspaceKey workspaceKey(const std::string &workspace);

/// Demand and consumption of a workspace at one lease holder, for one upstream.
struct WorkspaceUsage
{
    WorkspaceKey workspace = 0;
    float weight = 1.0F;     ///< Relative share in fair queueing.
    bool queued = false;     ///< Whether the holder has a queued request of the workspace.
    std::int32_t served = 0; ///< Tokens since the last lease request; negative if an earlier
                             ///< forecast was too high and is corrected.

    bool operator==(const WorkspaceUsage &other) const = default;
};

/// Tokens that other lease holders served to a workspace.
struct RemoteUsage
{
    WorkspaceKey workspace = 0;
    std::int32_t served = 0; ///< Tokens since the last grant.

    bool operator==(const RemoteUsage &other) const = default;
};

/// Serving upstreams take new attempts, Leaving ones are being drained, and Out ones are out of
/// service.
enum class Condition { Serving, Leaving, Out };

/// Returns the stable identifier of a value that is written to logs and problem documents.
const char *name(Priority priority);
const char *name(Outcome outcome);
const char *name(RefusalCode code);
const char *name(FailureKind kind);
const char *name(Condition condition);

} // namespace azurespindle::decision

#endif
