#ifndef AZURESPINDLE_TESTS_SOAK_CALM_H
#define AZURESPINDLE_TESTS_SOAK_CALM_H

#include "base/time_types.h"

#include <algorithm>
#include <cstddef>
#include <mutex>
#include <vector>

namespace azurespindle::soak {

/// Knows since when each process has been left alone: promises with a time bound hold for those
/// processes only.
class Calm
{
public:
    /// A process counts as calm so long after its last fault.
    static constexpr milliseconds contactTime {3'000};

    explicit Calm(std::size_t processes) : from(processes, Instant::min()) { }

    // Commands

    /// Notes a fault of one process that lasts for \a duration from now.
    void disturb(std::size_t process, milliseconds duration)
    {
        const std::lock_guard lock(this->mutex);
        Instant &calm = this->from[process];
        calm = std::max(calm, monotonicNow() + duration + contactTime);
    }

    void disturbAll(milliseconds duration)
    {
        for (std::size_t process = 0; process < this->from.size(); ++process) {
            this->disturb(process, duration);
        }
    }

    // Queries

    /// Returns true if the process was calm at \a since and has been ever since.
    bool calmSince(std::size_t process, Instant since) const
    {
        const std::lock_guard lock(this->mutex);
        return this->from[process] <= since;
    }

    bool allCalmSince(Instant since) const
    {
        const std::lock_guard lock(this->mutex);
        return std::all_of(this->from.begin(), this->from.end(),
                           [since](Instant calm) { return calm <= since; });
    }

private:
    mutable std::mutex mutex; ///< Guards from.
    std::vector<Instant> from;
};

} // namespace azurespindle::soak

#endif
