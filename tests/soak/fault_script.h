#ifndef AZURESPINDLE_TESTS_SOAK_FAULT_SCRIPT_H
#define AZURESPINDLE_TESTS_SOAK_FAULT_SCRIPT_H

#include "soak_fleet.h"
#include "version_prober.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace azurespindle::soak {

/// Plays faults that a seed draws, in series and overlapping, and heals them all at the end.
class FaultScript
{
public:
    FaultScript(SoakFleet &fleet, VersionProber &prober);

    /// Plays faults for \a duration, then heals what is still harmed.
    void play(seconds duration);
    /// Returns what was played, one line a fault, with the time since the beginning.
    const std::vector<std::string> &played() const { return this->lines; }

private:
    using Heal = std::function<void()>;

    void beginOne();
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
    void changeConfiguration();
    void evacuateZone();

    std::size_t pick(std::size_t count) { return this->random() % count; }
    milliseconds between(int least, int most);
    /// Picks a process that runs; none when all are being ended.
    std::optional<std::size_t> pickRunning();
    void note(const std::string &line);
    /// Calls \a heal once \a delay is over.
    void later(milliseconds delay, Heal heal);
    void healDue(Instant until);

    SoakFleet &fleet;
    VersionProber &prober;
    std::mt19937_64 random;
    Instant began;
    std::vector<std::string> lines;
    std::multimap<Instant, Heal> heals;
    std::set<std::size_t> ended;  ///< Processes that do not run now.
    std::set<std::size_t> paused; ///< Processes that a signal holds.
    std::set<std::size_t> busyEngines;
    bool storeHarmed = false;
    bool evacuated = false;
};

} // namespace azurespindle::soak

#endif
