#ifndef AZURESPINDLE_TESTS_SOAK_STOP_SCRIPT_H
#define AZURESPINDLE_TESTS_SOAK_STOP_SCRIPT_H

#include "script.h"
#include "stop_record.h"

#include <set>

namespace azurespindle::soak {

/// Plays planned work: stops one by one and in waves, reloads and configurations before and during
/// them, and upstreams that take long, so that requests wait when a stop ends.
class StopScript : public Script
{
public:
    StopScript(SoakFleet &fleet, VersionProber &prober, StopRecord &stops);

private:
    void beginOne() override;
    void stopOne();
    void stopMany();
    void stopAgain();
    void reloadProcess();
    void slowPlains();
    void hangPlain();

    void stop(std::size_t process);
    /// Starts a process again once it has ended; one that overran its stop time is killed.
    void awaitEnd(std::size_t process, Instant stoppedAt);

    StopRecord &stops;
    std::set<std::size_t> ended; ///< Processes that were stopped and do not run again yet.
};

} // namespace azurespindle::soak

#endif
