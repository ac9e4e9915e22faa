#ifndef AZURESPINDLE_DECISION_TYPES_H
#define AZURESPINDLE_DECISION_TYPES_H

#include "base/time_types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace azurespindle::decision {

/// Number of a request, unique in this process.
using RequestId = std::uint64_t;

/// First try is 1; each try on another upstream, and each resume, counts up.
using AttemptNumber = std::uint32_t;

/// Number of tokens: of a prompt, of an output, or of KV memory.
using Tokens = std::uint32_t;

enum class Priority { Batch, Standard, Interactive };

/// Where a generation that an earlier connection began is to go on.
struct ResumePoint
{
    std::string upstream;
    std::string generation;
    Tokens offset = 0; ///< Tokens that the caller already has.

    auto operator<=>(const ResumePoint &other) const = default;
};

/// What the decisions need to know of a caller's request; never its text.
struct Request
{
    RequestId id = 0;
    std::string workspace;
    std::string trafficClass; ///< Groups requests whose outputs are alike in length.
    Priority priority = Priority::Standard;
    Tokens promptTokens = 0;
    Tokens maxTokens = 0;                    ///< 0 for a call of a plain service.
    std::vector<std::uint64_t> prefixBlocks; ///< Hash of each leading block of the prompt.
    std::uint64_t fingerprint = 0;           ///< Equal for requests that would run alike.
    bool streamed = true;                    ///< The caller sees tokens as they come.
    bool idempotent = true;                  ///< May run again after an attempt that may have run.
    std::optional<ResumePoint> resume;

    bool operator==(const Request &other) const = default;
};

/// What is known about whether a refused or broken-off request ran.
enum class Outcome { NotRun, Unknown, Ran };

enum class RefusalCode {
    Overloaded = 1001,       ///< No room, or the queue is full.
    QueueTimeout = 1002,     ///< Waited its longest time.
    NoUpstream = 1003,       ///< Nothing serves the model or service.
    CrashSuspect = 1004,     ///< Upstreams died while running this request.
    RetriesExhausted = 1005, ///< Every try failed, or the retry budget is spent.
    GenerationLost = 1006,   ///< The upstream lost it after tokens were delivered.
    OutcomeUnknown = 1007,   ///< An unrepeatable call broke off after it may have run.
    Stopping = 1008,         ///< This process takes no new work.
    UpstreamRefused = 1009,  ///< The upstream answered with an error.
    CallerGone = 1010,       ///< The caller hung up; nobody reads this.
};

/// Why a request ends without its whole answer.
struct Refusal
{
    RefusalCode code = RefusalCode::Overloaded;
    Outcome outcome = Outcome::Unknown;
    milliseconds retryAfter {0}; ///< 0: no use in trying again.
    std::string reason;

    bool operator==(const Refusal &other) const = default;
};

/// How an attempt ended without its whole answer.
enum class FailureKind {
    NotSent,           ///< No byte left this process.
    ConnectionRefused, ///< Nothing listens there; no byte left this process.
    Rejected,          ///< The upstream says that it did not run it.
    ConnectionLost,    ///< The connection ended early.
    TimedOut,          ///< Nothing came for longer than allowed.
    GenerationGone,    ///< The upstream no longer knows the generation.
    UpstreamError,     ///< The upstream answered with a final error.
};

/// Load of an engine as it reports it, already old when it is read.
struct EngineReport
{
    Instant at;              ///< When the report was read.
    std::uint64_t boot = 0;  ///< Changes whenever the engine starts again.
    Tokens memoryTokens = 0; ///< Size of its KV memory.
    Tokens memoryUsed = 0;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t preemptions = 0; ///< Since its start.

    bool operator==(const EngineReport &other) const = default;
};

/// What one holder saw of an upstream since it last told the steward.
struct UpstreamObservations
{
    std::uint32_t firstTokensInTime = 0;
    std::uint32_t firstTokensLate = 0;
    std::uint32_t gapsInTime = 0;
    std::uint32_t gapsLate = 0;
    std::uint32_t failures = 0;        ///< Connections lost, refused or silent.
    std::uint32_t peakOutstanding = 0; ///< Most attempts at once of this holder.

    bool operator==(const UpstreamObservations &other) const = default;
};

/// Names a workspace between processes in few bytes. Two workspaces of one key count as one.
using WorkspaceKey = std::uint32_t;

/// Returns the key of a workspace.
WorkspaceKey workspaceKey(const std::string &workspace);

/// A workspace that waits for an upstream, or was served by it, at one holder of leases.
struct WorkspaceUsage
{
    WorkspaceKey workspace = 0;
    float weight = 1.0F;
    bool queued = false;     ///< The holder has a request of it that waits.
    std::int32_t served = 0; ///< Tokens since this was last told; a forecast is corrected.

    bool operator==(const WorkspaceUsage &other) const = default;
};

/// What other holders served of a workspace.
struct RemoteUsage
{
    WorkspaceKey workspace = 0;
    std::int32_t served = 0; ///< Tokens.

    bool operator==(const RemoteUsage &other) const = default;
};

enum class Condition { Serving, Leaving, Out };

/// Returns the stable text of each value, as it stands in logs and problem documents.
const char *name(Priority priority);
const char *name(Outcome outcome);
const char *name(RefusalCode code);
const char *name(FailureKind kind);
const char *name(Condition condition);

} // namespace azurespindle::decision

#endif
