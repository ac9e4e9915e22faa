#ifndef AZURESPINDLE_DECISION_UPSTREAM_PAUSES_H
#define AZURESPINDLE_DECISION_UPSTREAM_PAUSES_H

#include "base/recent_map.h"
#include "base/time_types.h"

#include <cstdint>
#include <functional>
#include <string>

namespace azurespindle::decision {

/// The upstreams that asked this process to send nothing for a while.
///
/// A pause holds for one lifetime of an upstream. Of several, the one that ends last counts,
/// because the upstream was promised that each would be kept. After a pause, requests are sent one
/// at a time for a while, so that those that waited for its end don't arrive together.
class UpstreamPauses
{
public:
    /// Longest pause that is kept; a longer one is shortened to it.
    static constexpr seconds maxPause {600};
    /// Time after a pause in which requests are spaced.
    static constexpr milliseconds recoveryPeriod {1'000};
    /// Least time between two requests in recoveryPeriod.
    static constexpr milliseconds recoverySpacing {50};
    static constexpr std::size_t maxUpstreams = 4'096;

    // Commands

    /// Records that an upstream asked for a pause from now on. A pause of 0 or less has no effect.
    /// \return true if the end of its pause moved.
    bool note(const std::string &upstream, std::uint64_t incarnation, milliseconds pause,
              Instant now);
    /// Records that a request was sent to an upstream.
    void recordSend(const std::string &upstream, Instant now);
    /// Forgets pauses that have no effect any more, and those of lifetimes that are over.
    /// \param isCurrent tells whether a lifetime of an upstream goes on.
    void forgetUnless(const std::function<bool(const std::string &upstream,
                                               std::uint64_t incarnation)> &isCurrent,
                      Instant now);

    // Queries

    bool empty() const { return this->count == 0; }
    /// Returns true if a request may be sent to the upstream now.
    bool allows(const std::string &upstream, std::uint64_t incarnation, Instant now) const;
    /// Returns the time until a request may be sent to the upstream; 0 if it may be sent now.
    microseconds timeUntilAllowed(const std::string &upstream, std::uint64_t incarnation,
                                  Instant now) const;

private:
    struct Pause
    {
        std::uint64_t incarnation = 0;
        Instant endsAt;
        Instant lastSentAt; ///< Time of the last request after the pause.
    };

    /// Returns the earliest time of the next request.
    static Instant allowedFrom(const Pause &pause);

    RecentMap<std::string, Pause> pauses {maxUpstreams};
    std::size_t count = 0; ///< Pauses noted since all were last forgotten; 0 if there is none.
};

} // namespace azurespindle::decision

#endif
