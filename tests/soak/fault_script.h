#ifndef AZURESPINDLE_TESTS_SOAK_FAULT_SCRIPT_H
#define AZURESPINDLE_TESTS_SOAK_FAULT_SCRIPT_H

#include "script.h"

#include <optional>
#include <set>

namespace azurespindle::soak {

/// Plays faults of processes, links, upstreams and the store.
class FaultScript : public Script
{
public:
    using Script::Script;

protected:
    void beginOne() override;

private:
    void killProcess();
    void pauseProcess();
    void stopProcess();
    void reloadProcess();
    void harmLink();
    void resetLink();
    void harmStore();
    void harmEngine();
    void releaseEngine();
    void harmPlain();
    void evacuateZone();

    /// Picks a process that runs; none when all are being ended.
    std::optional<std::size_t> pickRunning();

    std::set<std::size_t> ended;  ///< Processes that do not run now.
    std::set<std::size_t> paused; ///< Processes that a signal holds.
    std::set<std::size_t> busyEngines;
    bool storeHarmed = false;
    bool evacuated = false;
};

} // namespace azurespindle::soak

#endif
