#include "decision/types.h"

#include <xxhash.h>

namespace azurespindle::decision {

WorkspaceKey workspaceKey(const std::string &workspace)
{
    return XXH32(workspace.data(), workspace.size(), 0);
}

const char *name(Priority priority)
{
    switch (priority) {
    case Priority::Batch:
        return "batch";
    case Priority::Standard:
        return "standard";
    case Priority::Interactive:
        return "interactive";
    }
    return "standard";
}

const char *name(Outcome outcome)
{
    switch (outcome) {
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    case Outcome::Ran:
        return "ran";
    }
    return "unknown";
}

const char *name(RefusalCode code)
{
    switch (code) {
    case RefusalCode::Overloaded:
        return "overloaded";
    case RefusalCode::QueueTimeout:
        return "queue-timeout";
    case RefusalCode::NoUpstream:
        return "no-upstream";
    case RefusalCode::CrashSuspect:
        return "crash-suspect";
    case RefusalCode::RetriesExhausted:
        return "retries-exhausted";
    case RefusalCode::GenerationLost:
        return "generation-lost";
    case RefusalCode::OutcomeUnknown:
        return "outcome-unknown";
    case RefusalCode::Stopping:
        return "stopping";
    case RefusalCode::UpstreamRefused:
        return "upstream-refused";
    case RefusalCode::CallerGone:
        return "caller-gone";
    }
    return "refused";
}

const char *name(FailureKind kind)
{
    switch (kind) {
    case FailureKind::NotSent:
        return "not-sent";
    case FailureKind::ConnectionRefused:
        return "connection-refused";
    case FailureKind::Rejected:
        return "rejected";
    case FailureKind::ConnectionLost:
        return "lost";
    case FailureKind::TimedOut:
        return "silent";
    case FailureKind::GenerationGone:
        return "generation-gone";
    case FailureKind::UpstreamError:
        return "failed";
    }
    return "failed";
}

const char *name(Condition condition)
{
    switch (condition) {
    case Condition::Serving:
        return "serving";
    case Condition::Leaving:
        return "leaving";
    case Condition::Out:
        return "out";
    }
    return "out";
}

} // namespace azurespindle::decision
