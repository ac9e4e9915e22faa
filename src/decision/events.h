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

// Events: what happened outside. ------------------------------------------------------------

/// A caller sent a request, or came back for the rest of one (Request::resume).
struct RequestArrived
{
    Request request;
    bool operator==(const RequestArrived &other) const = default;
};

/// An upstream sent tokens [offset, offset + count) of \a generation.
struct TokensArrived
{
    RequestId request = 0;
    AttemptNumber attempt = 0;
    std::string generation;
    Tokens offset = 0;
    Tokens count = 0;
    bool finished = false; ///< No token follows.
    bool operator==(const TokensArrived &other) const = default;
};

/// A plain service gave its whole answer.
struct CallAnswered
{
    RequestId request = 0;
    AttemptNumber attempt = 0;
    bool operator==(const CallAnswered &other) const = default;
};

/// An attempt ended without its whole answer.
struct AttemptFailed
{
    RequestId request = 0;
    AttemptNumber attempt = 0;
    FailureKind kind = FailureKind::ConnectionLost;
    std::string detail;
    bool operator==(const AttemptFailed &other) const = default;
};

/// A caller hung up.
struct CallerLeft
{
    RequestId request = 0;
    bool operator==(const CallerLeft &other) const = default;
};

/// A caller reads too slowly (stalled), or has caught up: silence is not the upstream's fault then.
struct CallerStalled
{
    RequestId request = 0;
    bool stalled = false;
    bool operator==(const CallerStalled &other) const = default;
};

/// An upstream as the configuration and the VM list describe it.
struct ListedUpstream
{
    std::string name;
    std::string zone;
    Condition condition = Condition::Serving;
    configuration::UpstreamPolicy policy;
    bool operator==(const ListedUpstream &other) const = default;
};

/// The whole list of upstreams of this pool; one that is missing is removed.
struct UpstreamsListed
{
    std::vector<ListedUpstream> upstreams;
    bool operator==(const UpstreamsListed &other) const = default;
};

/// Policies of the workspaces changed.
struct PoliciesChanged
{
    configuration::WorkspacePolicy defaults;
    std::vector<std::pair<std::string, configuration::WorkspacePolicy>> exceptions;
    double retryShare = 0.1;
    bool operator==(const PoliciesChanged &other) const = default;
};

/// A load report of an engine was read.
struct UpstreamReported
{
    std::string upstream;
    EngineReport report;
    bool operator==(const UpstreamReported &other) const = default;
};

/// An engine says which prompt blocks it caches and which it dropped; late and with gaps.
struct CacheChanged
{
    std::string upstream;
    std::vector<std::uint64_t> added;
    std::vector<std::uint64_t> dropped;
    bool operator==(const CacheChanged &other) const = default;
};

/// The steward of an upstream granted this process a share of it.
struct LeaseGranted
{
    std::string upstream;
    std::uint32_t concurrency = 0; ///< Attempts at once.
    double memoryShare = 1.0;      ///< Share of the engine's KV memory to plan with.
    Instant expires;
    std::uint32_t standalone = 0; ///< Attempts at once if the steward cannot be reached.
    Instant standaloneExpires;
    bool contended = false; ///< Holders want more than there is: tell what workspaces were served.
    std::vector<RemoteUsage> remoteUsage; ///< Of workspaces that wait here.
    bool operator==(const LeaseGranted &other) const = default;
};

/// A peer saw an upstream die while it ran a request of this fingerprint.
struct CrashReported
{
    std::uint64_t fingerprint = 0;
    std::string upstream;
    std::uint64_t boot = 0; ///< Boot number of the upstream that died.
    bool operator==(const CrashReported &other) const = default;
};

/// A peer saw a crash suspect of this fingerprint run to its end.
struct CrashSuspectCleared
{
    std::uint64_t fingerprint = 0;
    bool operator==(const CrashSuspectCleared &other) const = default;
};

/// Time went on. Sent every tickInterval.
struct Tick
{
    bool operator==(const Tick &other) const = default;
};

/// The process was asked to stop: nothing new is taken.
struct StopRequested
{
    bool operator==(const StopRequested &other) const = default;
};

using Event
    = std::variant<RequestArrived, TokensArrived, CallAnswered, AttemptFailed, CallerLeft,
                   CallerStalled, UpstreamsListed, PoliciesChanged, UpstreamReported, CacheChanged,
                   LeaseGranted, CrashReported, CrashSuspectCleared, Tick, StopRequested>;

// Effects: what is to be done. --------------------------------------------------------------

/// Send the request to \a upstream, unless \a leaseExpires has passed right before the send.
struct StartAttempt
{
    RequestId request = 0;
    AttemptNumber attempt = 0;
    std::string upstream;
    Instant leaseExpires;
    bool operator==(const StartAttempt &other) const = default;
};

/// Ask \a upstream on a new connection for the tokens of \a generation from \a offset on.
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

/// Give up an attempt.
struct CancelAttempt
{
    RequestId request = 0;
    AttemptNumber attempt = 0;
    std::string upstream;
    std::string generation; ///< Empty: no token came yet.
    bool keep = false;      ///< Only the connection is given up; the generation will be resumed.
    bool operator==(const CancelAttempt &other) const = default;
};

/// Hand the caller tokens [offset, offset + count), of which the first \a skip that came in the
/// event are repeats.
struct Deliver
{
    RequestId request = 0;
    std::string upstream;
    std::string generation;
    Tokens offset = 0;
    Tokens count = 0;
    Tokens skip = 0;
    bool last = false;
    bool operator==(const Deliver &other) const = default;
};

/// Hand the caller the answer of a plain service.
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

/// Ask the steward of \a upstream for room, and tell it what was seen.
struct AskLease
{
    std::string upstream;
    std::uint32_t inUse = 0;
    std::uint32_t wanted = 0; ///< Attempts that would be started now if there were room.
    UpstreamObservations observations;
    std::vector<WorkspaceUsage>
        workspaces; ///< At most maxToldWorkspaces; empty without contention.
    bool operator==(const AskLease &other) const = default;
};

/// Tell the peers that \a upstream died while it ran a request of this fingerprint.
struct ReportCrash
{
    std::uint64_t fingerprint = 0;
    std::string upstream;
    std::uint64_t boot = 0;
    bool operator==(const ReportCrash &other) const = default;
};

/// Tell the peers that a crash suspect of this fingerprint ran to its end.
struct ReportSuspectCleared
{
    RequestId request = 0;
    std::uint64_t fingerprint = 0;
    bool operator==(const ReportSuspectCleared &other) const = default;
};

/// Log an event.
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
