#ifndef AZURESPINDLE_DECISION_RAMP_H
#define AZURESPINDLE_DECISION_RAMP_H

#include "configuration/document.h"
#include "decision/types.h"

#include <string>

namespace azurespindle::decision {

/// Why a ramp moved.
enum class RampReason { None, InTime, Late, Failure, Restarted, Idle };

/// Returns the text of the reason, as it stands in the journal.
const char *name(RampReason reason);

/// How many attempts at once an upstream is given by the whole fleet, learned from evidence.
///
/// There is no warmth flag. Tokens that come in time while the limit is nearly used raise it by
/// half; late ones lower it; a failure, a new boot number or a long silence takes it back to what
/// a cold engine bears. What an idle engine bore yesterday says nothing about today, because a
/// warm engine may turn cold without telling.
class Ramp
{
public:
    explicit Ramp(const configuration::UpstreamPolicy &policy);

    // Commands

    /// Weighs evidence from one or more holders, who had \a outstanding attempts together.
    /// \return why the limit moved, or None.
    RampReason weigh(const UpstreamObservations &evidence, std::uint32_t outstanding, Instant now);
    /// Notes the boot number of a report. \return Restarted if it is a new one.
    RampReason noteBoot(std::uint64_t boot, Instant now);
    /// Starts as a cold upstream again. \return Restarted.
    RampReason turnCold(Instant now);
    /// Lets an unused limit fall. \return Idle if it did.
    RampReason passTime(Instant now);
    /// Starts at what the upstream demonstrably bears now, when a new steward takes over.
    void adopt(std::uint32_t outstanding, Instant now);
    /// Takes over changed bounds.
    void setPolicy(const configuration::UpstreamPolicy &changed);

    // Queries

    /// Returns the number of attempts at once that the upstream may be given.
    std::uint32_t limit() const;
    /// Returns true once the limit is well above that of a cold upstream.
    bool warm() const;

    /// UpstreamObservations is weighed at most once in so long, so that one burst counts once.
    static constexpr milliseconds window {400};
    /// An upstream without a token for so long loses half of its limit.
    static constexpr seconds idleHalving {20};
    static constexpr double growth = 1.5;
    static constexpr double backoff = 0.7;
    /// Part of the limit that must be in use for evidence to raise it.
    static constexpr double provenUse = 0.7;

private:
    void moveTo(double target, Instant now);
    bool strained() const;

    configuration::UpstreamPolicy policy;
    double current;
    UpstreamObservations gathered;
    std::uint32_t peak = 0;
    Instant windowStart;
    Instant lastEvidence;
    std::uint64_t knownBoot = 0;
};

} // namespace azurespindle::decision

#endif
