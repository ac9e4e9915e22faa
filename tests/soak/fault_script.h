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
    void stopProcess() { this->stopProcess(false); }
    /// \param mayCut true if requests may outlast the stop, and are cut at its end.
    void stopProcess(bool mayCut);
    void reloadProcess();
    void harmEngine();

    std::set<std::size_t> busyEngines; ///< Engines that are harmed or leave.

private:
    void killProcess();
    void pauseProcess();
    void harmLink();
    void resetLink();
    void harmStore();
    void releaseEngine();
    void harmPlain();
    void evacuateZone();

    /// Picks a process that runs; none when all are being ended.
    std::optional<std::size_t> pickRunning();

    std::set<std::size_t> ended;  ///< Processes that do not run now.
    std::set<std::size_t> paused; ///< Processes that a signal holds.
    bool storeHarmed = false;
    bool evacuated = false;
};

} // namespace azurespindle::soak

#endif
