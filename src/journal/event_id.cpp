#include "journal/event_id.h"

#include <cassert>

namespace azurespindle::journal {

const std::vector<EventDescription> &catalogue()
{
    using S = Severity;
    using E = EventId;
    static const std::vector<EventDescription> events {
        {E::ProcessStarted, "process-started", S::Info, "The process listens and serves."},
        {E::ProcessStopping, "process-stopping", S::Info,
         "A graceful stop began: no new work, open requests run to their end."},
        {E::ProcessStopped, "process-stopped", S::Info,
         "The process ends; `cut` and `unsent` (responses not sent completely) should be 0."},
        {E::InternalFault, "internal-fault", S::Error,
         "Something that should not happen did; the request concerned ended with an error."},
        {E::RequestPlaced, "request-placed", S::Info, "A request was given to an upstream."},
        {E::RequestQueued, "request-queued", S::Debug, "No upstream had room; the request waits."},
        {E::RequestRefused, "request-refused", S::Warning,
         "A request ended without its whole answer; `outcome` says whether it ran."},
        {E::RequestFinished, "request-finished", S::Info, "A request got its whole answer."},
        {E::AttemptFailed, "attempt-failed", S::Warning, "One try of a request broke off."},
        {E::GenerationResumed, "generation-resumed", S::Info,
         "A broken stream goes on at its offset on the same upstream."},
        {E::RequestRetried, "request-retried", S::Info,
         "A request that delivered nothing yet runs again on another upstream."},
        {E::AnswerIgnored, "answer-ignored", S::Info,
         "Tokens of an attempt that is no longer current were dropped."},
        {E::CallerLeft, "caller-left", S::Info, "A caller hung up; its generation is cancelled."},
        {E::CallerTooSlow, "caller-too-slow", S::Warning,
         "A caller read nothing for too long and was disconnected."},
        {E::MoveBegun, "move-begun", S::Info,
         "A running generation is copied to another engine, because its own leaves or is silent."},
        {E::MoveAnswered, "move-answered", S::Info,
         "An engine answered a request to copy a running generation."},
        {E::GenerationLost, "generation-lost", S::Warning,
         "A stream ended before its end; its caller's connection was closed."},
        {E::RequestCut, "request-cut", S::Warning,
         "A stream was still running when the process had to end; its caller's connection was "
         "closed."},
        {E::RunStopUnconfirmed, "run-stop-unconfirmed", S::Warning,
         "An engine was asked to stop a run that continues elsewhere, and has not confirmed that "
         "it "
         "did; it is asked again."},
        {E::RequestLimitReached, "request-limit-reached", S::Warning,
         "A request exceeded the limit on its header, trailers or body and was refused; `reason` "
         "says which."},
        {E::RequestTimedOut, "request-timed-out", S::Warning,
         "The header of a request did not arrive in time, or its body made no progress; it was "
         "refused."},
        {E::InputMemoryShort, "input-memory-short", S::Warning,
         "The input of all callers reached its memory limit, and one request was refused; "
         "`heldBytes` is the memory that its connection held."},
        {E::ConnectionLimitReached, "connection-limit-reached", S::Warning,
         "A connection beyond the largest number was refused."},
        {E::UpstreamAdded, "upstream-added", S::Info, "An upstream is known now."},
        {E::UpstreamRemoved, "upstream-removed", S::Info, "An upstream is no longer listed."},
        {E::UpstreamCondition, "upstream-condition", S::Info,
         "An upstream came into service, is leaving, or was marked out."},
        {E::UpstreamLost, "upstream-lost", S::Warning,
         "An upstream died or lost what it was running."},
        {E::UpstreamRestarted, "upstream-restarted", S::Warning,
         "An upstream reports a new boot number and counts as cold."},
        {E::RampChanged, "ramp-changed", S::Info,
         "The fleet-wide limit of an upstream moved, for the stated reason."},
        {E::LeaseChanged, "lease-changed", S::Debug, "The share of this process changed."},
        {E::CrashSuspected, "crash-suspected", S::Warning,
         "An upstream died while it ran a request of this fingerprint."},
        {E::CrashCleared, "crash-cleared", S::Info, "A suspected request ran to its end."},
        {E::PromptPartsSuspected, "prompt-parts-suspected", S::Warning,
         "An upstream died before its answer to a prompt with these parts began."},
        {E::PromptPartBlocked, "prompt-part-blocked", S::Warning,
         "Upstreams died on prompts with this part, which are refused from now on."},
        {E::PromptPartsCleared, "prompt-parts-cleared", S::Info,
         "An answer to a prompt with these suspected parts began."},
        {E::LimitNamed, "limit-named", S::Info,
         "An upstream names another rate of requests that it takes from the whole fleet; `ownRate` "
         "is the part of this process."},
        {E::LimitEnded, "limit-ended", S::Info, "An upstream names no rate of requests any more."},
        {E::UpstreamLeaving, "upstream-leaving", S::Info,
         "An upstream states in a response that it is shutting down; it receives no new requests."},
        {E::UpstreamPaused, "upstream-paused", S::Info,
         "An upstream turned a request away and wants nothing of this process for `pauseMs`."},
        {E::UpstreamSpeedChanged, "upstream-speed-changed", S::Info,
         "The learned speed of an upstream, relative to its service, changed noticeably."},
        {E::ReportedSpeedRejected, "reported-speed-rejected", S::Warning,
         "A member reported speeds out of range, which are not used."},
        {E::BlockedRequestsLearned, "blocked-requests-learned", S::Info,
         "A member told of requests that crashed upstreams before this process heard of it."},
        {E::ConfigurationAccepted, "configuration-accepted", S::Info,
         "A higher revision is in force in this process."},
        {E::ConfigurationRefused, "configuration-refused", S::Error,
         "A document failed its check as a whole; the last good one stays in force."},
        {E::ConfigurationStale, "configuration-stale", S::Warning,
         "A source offered a lower revision than the one in force; it was not taken."},
        {E::ConfigurationServiceLost, "configuration-service-lost", S::Warning,
         "The configuration service does not answer; peers are asked instead."},
        {E::ConfigurationServiceBack, "configuration-service-back", S::Info,
         "The configuration service answers again."},
        {E::VmListRefused, "vm-list-refused", S::Error,
         "The VM list failed its check; the last good one stays."},
        {E::PublishedItemRefused, "published-item-refused", S::Warning,
         "A published item could not be read; it names nothing to use."},
        {E::PublisherLost, "publisher-lost", S::Warning,
         "The publishing store does not answer; peers are asked instead."},
        {E::PublisherBack, "publisher-back", S::Info, "The publishing store answers again."},
        {E::ReadinessChanged, "readiness-changed", S::Info,
         "The process tells the balancer that it can, or cannot, take callers."},
        {E::SettingsReloaded, "settings-reloaded", S::Info,
         "The settings file was read again; `changed` tells what was taken over."},
        {E::LogLinesDropped, "log-lines-dropped", S::Warning,
         "The log was not read fast enough; `count` lines are missing before this one."},
        {E::ViewUpdateReceived, "view-update-received", S::Info,
         "A large update of the published state arrived from the store or a member; `outcome` is "
         "applied, known (all of it was known) or gap (earlier changes are missing)."},
        {E::ViewUpdateRequested, "view-update-requested", S::Info,
         "This process lags behind a member, which it asked for the missing changes."},
        {E::ViewUpdateSent, "view-update-sent", S::Info,
         "A large update of the published state was sent to one member or to the zone."},
        {E::RequestPathStalled, "request-path-stalled", S::Error,
         "Requests make no progress for `stalledMs`, as the thread or lock of `stage` is held up: "
         "`callers`, `upstreams` or `timers`. The process reports that it is not ready until they "
         "do."},
        {E::StoreEraChanged, "store-era-changed", S::Warning,
         "The store came back from a copy, or is read for the first time in its era: `taken` items "
         "are as it lists them, `kept` were known better, `missing` are kept for a while although "
         "it lacks them, and `deferred` had been removed and are not believed for a while."},
        {E::StoreResponseOutdated, "store-response-outdated", S::Warning,
         "A response of the store belongs to an earlier era than the known one and was dropped."},
        {E::StoreEraUnreadable, "store-era-unreadable", S::Warning,
         "A response of the store states its era twice or not as a number; it counts as one of the "
         "known era."},
        {E::MemberJoined, "member-joined", S::Info, "Another entry process is a member now."},
        {E::MemberSuspected, "member-suspected", S::Warning,
         "A member is silent; it is removed unless it speaks up."},
        {E::MemberRemoved, "member-removed", S::Warning, "A member was silent for too long."},
        {E::MemberRefuted, "member-refuted", S::Info,
         "This process was suspected and answered with a new incarnation."},
        {E::FrameRefused, "frame-refused", S::Warning,
         "A peer frame could not be decoded; only its connection was closed."},
        {E::StewardChanged, "steward-changed", S::Info,
         "Another member hands out the leases of an upstream."},
        {E::KeyMinted, "key-minted", S::Debug, "An idempotency key was issued."},
        {E::KeyRefused, "key-refused", S::Warning, "An idempotency key could not be honoured."},
        {E::CallForwarded, "call-forwarded", S::Debug,
         "A call was passed to the member that issued its key."},
        {E::OrderSent, "order-sent", S::Info, "An engine was ordered to load a version."},
        {E::OrderAccepted, "order-accepted", S::Info, "An engine runs the wanted version."},
        {E::OrderRefused, "order-refused", S::Warning, "An engine refused an order."},
        {E::OrderPostponed, "order-postponed", S::Debug,
         "An order waits for the weight store or for another warm copy."},
        {E::EngineDraining, "engine-draining", S::Info,
         "An engine gets no new work until it has loaded what it is ordered to."},
    };
    return events;
}

const EventDescription &describe(EventId id)
{
    for (const EventDescription &description : catalogue()) {
        if (description.id == id) {
            return description;
        }
    }
    assert(false && "every event stands in the catalogue");
    return catalogue().front();
}

std::string Entry::value(const std::string &name) const
{
    for (const Field &field : this->fields) {
        if (field.name == name) {
            return field.value;
        }
    }
    return {};
}

} // namespace azurespindle::journal
