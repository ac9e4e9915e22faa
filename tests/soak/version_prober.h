#ifndef AZURESPINDLE_TESTS_SOAK_VERSION_PROBER_H
#define AZURESPINDLE_TESTS_SOAK_VERSION_PROBER_H

#include "soak_fleet.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace azurespindle::soak {

/// Asks each process for the route of the newest configuration, and for that of the one before:
/// versions must be in force in time, at processes that are calm.
class VersionProber
{
public:
    VersionProber(SoakFleet &fleet, Findings &findings);
    ~VersionProber();
    VersionProber(const VersionProber &) = delete;
    VersionProber &operator=(const VersionProber &) = delete;

    // Commands

    void notePublished(std::uint64_t version);
    void stop();

    // Queries

    std::size_t probes() const { return this->probeCount; }

private:
    void run();
    void probe(std::size_t process, std::uint64_t version, bool inForce, Instant published);

    SoakFleet &fleet;
    Findings &findings;
    std::mutex mutex; ///< Guards the two below.
    std::uint64_t newest = 1;
    Instant publishedAt;
    std::atomic<std::size_t> probeCount {0};
    std::atomic<bool> stopping {false};
    std::thread thread;
};

} // namespace azurespindle::soak

#endif
