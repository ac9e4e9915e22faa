#ifndef AZURESPINDLE_DECISION_STREAM_PACE_H
#define AZURESPINDLE_DECISION_STREAM_PACE_H

#include "base/time_types.h"
#include "decision/load_table.h"
#include "decision/usual_pace.h"

#include <cstdint>
#include <optional>

namespace azurespindle::decision {

/// Mean pace of a stream over several events.
struct PaceStretch
{
    microseconds eventInterval {0}; ///< Mean time between two events.
    WorkLoad load;                  ///< Mean load of the upstream.
    bool operator==(const PaceStretch &other) const = default;
};

/// Measures the pace of a stream over stretches of several events.
///
/// Single intervals tell little, as events arrive in batches.
class StreamPace
{
public:
    static constexpr std::uint32_t minEvents = 12;
    static constexpr milliseconds minDuration {200};

    // Commands

    /// Counts events that arrived. \return true if endStretch() has to be called.
    bool countEvents(std::uint32_t count, Instant now);
    /// Ends a stretch and begins the next one.
    /// \param claimed present claims on the upstream.
    /// \return the stretch that ended, or nothing if none had begun.
    std::optional<PaceStretch> endStretch(const ResourceClaim &claimed, Instant now);
    /// Discards the present stretch, because the stream was interrupted.
    void restart() { this->begunAt.reset(); }

private:
    std::optional<Instant> begunAt;
    ResourceClaim claimedAtBegin;
    std::uint32_t events = 0; ///< Events after \a begunAt.
};

} // namespace azurespindle::decision

#endif
