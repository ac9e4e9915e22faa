#ifndef AZURESPINDLE_DECISION_EVENTS_H
#define AZURESPINDLE_DECISION_EVENTS_H

#include "configuration/document.h"
#include "decision/types.h"
#include "journal/event_id.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace azurespindle::decision {

// Events, the inputs of a dispatcher. ------------------------------------------------------------

/// A caller sent a request, or asked to resume a generation (Request::resume).
struct RequestArrived
{
    Request request;
    bool operator==(const RequestArrived &other) const = default;
};

/// An upstream delivered tokens [offset, offset + count) of \a generation.
struct TokensArrived
{
    RequestId request = 0;
    AttemptNumber attempt = 0;
    std::string generation;
    Tokens offset = 0;
    Tokens count = 0;
    bool finished = false; ///< Whether the generation is complete.
    bool operator==(const TokensArrived &other) const = default;
};

/// A plain service returned its complete response.
struct CallAnswered
{
    RequestId request = 0;
    AttemptNumber attempt = 0;
    bool operator==(const CallAnswered &other) const = default;
};

/// An attempt ended before its response was complete.
struct AttemptFailed
{
    RequestId request = 0;
    AttemptNumber attempt = 0;
    FailureKind kind = FailureKind::ConnectionLost;
    std::string detail;
    bool operator==(const AttemptFailed &other) const = default;
};

/// A caller disconnected.
struct CallerLeft
{
    RequestId request = 0;
    bool operator==(const CallerLeft &other) const = default;
};

/// A caller's connection became congested, or is writable again. While it is congested nothing is
/// read from the upstream, so the upstream's timeouts do not apply.
struct CallerStalled
{
    RequestId request = 0;
    bool stalled = false;
    bool operator==(const CallerStalled &other) const = default;
};

/// An upstream as described by the configuration and the VM list.
struct ListedUpstream
{
    std::string name;
    std::string zone;
    Condition condition = Condition::Serving;
    configuration::UpstreamPolicy policy;
    bool operator==(const ListedUpstream &other) const = default;
};

/// The upstreams of this pool changed. The list is complete: an upstream that is not in it is
/// removed.
struct UpstreamsListed
{
    std::vector<ListedUpstream> upstreams;
    bool operator==(const UpstreamsListed &other) const = default;
};

/// The policies of the workspaces changed.
struct PoliciesChanged
{
    configuration::WorkspacePolicy defaults;
    /// Policies of the workspaces that do not use the defaults, by name.
    std::vector<std::pair<std::string, configuration::WorkspacePolicy>> exceptions;
    double retryShare = 0.1; ///< Retries permitted per first attempt.
    bool operator==(const PoliciesChanged &other) const = default;
};

/// A load report of an engine was received.
struct UpstreamReported
{
    std::string upstream;
    EngineReport report;
    bool operator==(const UpstreamReported &other) const = default;
};

/// An engine reported prompt blocks that its prefix cache gained and lost. Such reports are delayed
/// and may be incomplete.
struct CacheChanged
{
    std::string upstream;
    std::vector<std::uint64_t> added;
    std::vector<std::uint64_t> dropped;
    bool operator==(const CacheChanged &other) const = default;
};

/// This process was granted a lease: a part of an upstream's capacity.
struct LeaseGranted
{
    std::string upstream;
    std::uint32_t concurrency = 0; ///< Maximum number of concurrent attempts.
    double memoryShare = 1.0;      ///< Fraction of the engine's KV cache.
    Instant expires;
    std::uint32_t standalone = 0; ///< Concurrency after expiry, if no renewal arrives.
    Instant standaloneExpires;
    /// Whether the holders together want more than the upstream's capacity. The holders then report
    /// the usage of their workspaces with each lease request.
    bool contended = false;
    /// Tokens that other holders served to the workspaces that have queued requests here.
    std::vector<RemoteUsage> remoteUsage;
    bool operator==(const LeaseGranted &other) const = default;
};

/// A peer observed that an upstream crashed while running a request with this fingerprint.
struct CrashReported
{
    std::uint64_t fingerprint = 0;
    std::string upstream;
    std::uint64_t boot = 0; ///< Boot number of the upstream when it crashed.
    bool operator==(const CrashReported &other) const = default;
};

/// A peer observed that a crash suspect with this fingerprint ran to completion.
struct CrashSuspectCleared
{
    std::uint64_t fingerprint = 0;
    bool operator==(const CrashSuspectCleared &other) const = default;
};

/// Periodic event, sent every Dispatcher::tickInterval, that drives timeouts and lease renewals.
struct Tick
{
    bool operator==(const Tick &other) const = default;
};

/// The process is shutting down: new requests are refused, running ones continue.
struct StopRequested
{
    bool operator==(const StopRequested &other) const = default;
};

using Event
    = std::variant<RequestArrived, TokensArrived, CallAnswered, AttemptFailed, CallerLeft,
                   CallerStalled, UpstreamsListed, PoliciesChanged, UpstreamReported, CacheChanged,
                   LeaseGranted, CrashReported, CrashSuspectCleared, Tick, StopRequested>;

// Effects, the actions that a dispatcher requests. -----------------------------------------------

/// Send the request to \a upstream. The attempt is not sent if \a leaseExpires has passed
/// immediately before sending.
struct StartAttempt
{
    RequestId request = 0;
    AttemptNumber attempt = 0;
    std::string upstream;
    Instant leaseExpires;
    bool operator==(const StartAttempt &other) const = default;
};

/// After \a delay, request the tokens of \a generation from \a offset on over a new connection to
/// \a upstream.
struct ResumeAttempt
{
    RequestId request = 0;
    AttemptNumber attempt = 0;
    std::string upstream;
    std::string generation;
    Tokens offset = 0;
    milliseconds delay {0};
    bool operator==(const ResumeAttempt &other) const = default;
};

/// Cancel an attempt.
struct CancelAttempt
{
    RequestId request = 0;
    AttemptNumber attempt = 0;
    std::string upstream;
    std::string generation; ///< Empty if no token was received yet.
    bool keep = false;      ///< Close the connection only: the generation will be resumed.
    bool operator==(const CancelAttempt &other) const = default;
};

/// Deliver tokens [offset, offset + count) to the caller. The first \a skip tokens of the event
/// that caused this effect are duplicates and are not delivered.
struct Deliver
{
    RequestId request = 0;
    std::string upstream;
    std::string generation;
    Tokens offset = 0;
    Tokens count = 0;
    Tokens skip = 0;
    bool last = false; ///< Whether the generation is complete.
    bool operator==(const Deliver &other) const = default;
};

/// Deliver the response of a plain service to the caller.
struct DeliverAnswer
{
    RequestId request = 0;
    AttemptNumber attempt = 0;
    bool operator==(const DeliverAnswer &other) const = default;
};

/// End the request with an error.
struct Refuse
{
    RequestId request = 0;
    Refusal refusal;
    bool operator==(const Refuse &other) const = default;
};

/// Request or renew the lease of \a upstream, and report what was observed there.
struct AskLease
{
    std::string upstream;
    std::uint32_t inUse = 0;  ///< Attempts that are outstanding.
    std::uint32_t wanted = 0; ///< Additional attempts that would start if the lease permitted it.
    UpstreamObservations observations;
    /// At most LeaseManager::maxReportedWorkspaces entries; empty if the upstream is not contended.
    std::vector<WorkspaceUsage> workspaces;
    bool operator==(const AskLease &other) const = default;
};

/// Notify the peers that \a upstream crashed while running a request with this fingerprint.
struct ReportCrash
{
    std::uint64_t fingerprint = 0;
    std::string upstream;
    std::uint64_t boot = 0;
    bool operator==(const ReportCrash &other) const = default;
};

/// Notify the peers that a crash suspect with this fingerprint ran to completion.
struct ReportSuspectCleared
{
    RequestId request = 0;
    std::uint64_t fingerprint = 0;
    bool operator==(const ReportSuspectCleared &other) const = default;
};

/// Record a journal entry.
struct Journal
{
    journal::Entry entry;
    bool operator==(const Journal &other) const = default;
};

using Effect = std::variant<StartAttempt, ResumeAttempt, CancelAttempt, Deliver, DeliverAnswer,
                            Refuse, AskLease, ReportCrash, ReportSuspectCleared, Journal>;
using Effects = std::vector<Effect>;

} // namespace azurespindle::decision

#endif
