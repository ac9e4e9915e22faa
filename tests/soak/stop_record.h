#ifndef AZURESPINDLE_TESTS_SOAK_STOP_RECORD_H
#define AZURESPINDLE_TESTS_SOAK_STOP_RECORD_H

#include "base/time_types.h"

#include <cstddef>
#include <mutex>
#include <optional>
#include <vector>

namespace azurespindle::soak {

/// Remembers when each process was stopped and when it had ended. May be used from any thread.
class StopRecord
{
public:
    explicit StopRecord(std::size_t processes) : stops(processes) { }

    // Commands

    /// Notes the first SIGTERM of a life.
    void noteStop(std::size_t process)
    {
        const std::lock_guard lock(this->mutex);
        this->stops[process].push_back({monotonicNow(), Instant::max()});
    }

    void noteEnded(std::size_t process)
    {
        const std::lock_guard lock(this->mutex);
        this->stops[process].back().ended = monotonicNow();
    }

    // Queries

    /// Returns the processes that got SIGTERM and have not ended yet.
    std::vector<std::size_t> stopping() const
    {
        const std::lock_guard lock(this->mutex);
        std::vector<std::size_t> found;
        for (std::size_t process = 0; process < this->stops.size(); ++process) {
            const std::vector<Stop> &all = this->stops[process];
            if (!all.empty() && all.back().ended == Instant::max()) {
                found.push_back(process);
            }
        }
        return found;
    }

    /// Returns the SIGTERM of the last stop of a process that was under way between two times.
    std::optional<Instant> stopDuring(std::size_t process, Instant from, Instant to) const
    {
        const std::lock_guard lock(this->mutex);
        std::optional<Instant> found;
        for (const Stop &stop : this->stops[process]) {
            found = stop.began <= to && from <= stop.ended ? stop.began : found;
        }
        return found;
    }

private:
    struct Stop
    {
        Instant began;
        Instant ended;
    };

    mutable std::mutex mutex; ///< Guards stops.
    std::vector<std::vector<Stop>> stops;
};

} // namespace azurespindle::soak

#endif
