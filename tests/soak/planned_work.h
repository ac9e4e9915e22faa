#ifndef AZURESPINDLE_TESTS_SOAK_PLANNED_WORK_H
#define AZURESPINDLE_TESTS_SOAK_PLANNED_WORK_H

#include "base/time_types.h"

#include <cstddef>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace azurespindle::soak {

/// Remembers what operators did to which process, and when plain upstreams were harmed.
/// May be used from any thread.
class PlannedWork
{
public:
    explicit PlannedWork(std::size_t processes) : stops(processes), endings(processes) { }

    // Commands

    /// Notes the first SIGTERM of a life.
    void noteStop(std::size_t process);
    void noteEnded(std::size_t process);
    /// Notes a reload or a further SIGTERM of one process, or a configuration for all.
    void note(const std::string &what, std::optional<std::size_t> process = std::nullopt);
    /// Notes that a plain upstream is in trouble for \a duration from now.
    void disturbPlain(milliseconds duration);

    // Queries

    /// Returns the processes that got SIGTERM and have not ended yet.
    std::vector<std::size_t> stopping() const;
    /// Returns the SIGTERM of the last stop of a process that was under way between two times.
    std::optional<Instant> stopDuring(std::size_t process, Instant from, Instant to) const;
    /// Returns true if a plain upstream was in trouble between two times.
    bool plainDisturbed(Instant from, Instant to) const;
    /// Returns what a process met within so long before \a time, with its age.
    std::string notedBefore(std::size_t process, Instant time, milliseconds age) const;

private:
    struct Noted
    {
        Instant at;
        std::string what;
        std::optional<std::size_t> process;
    };
    struct Period
    {
        Instant from;
        Instant to;
    };

    mutable std::mutex mutex; ///< Guards the fields below.
    std::vector<std::vector<Instant>> stops;
    std::vector<std::vector<Instant>> endings;
    std::vector<Noted> noted;
    std::vector<Period> plainTroubles;
};

} // namespace azurespindle::soak

#endif
