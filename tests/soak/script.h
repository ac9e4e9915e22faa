#ifndef AZURESPINDLE_TESTS_SOAK_SCRIPT_H
#define AZURESPINDLE_TESTS_SOAK_SCRIPT_H

#include "soak_fleet.h"
#include "version_prober.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace azurespindle::soak {

/// Plays events that a seed draws, in series and overlapping, and heals them all at the end.
class Script
{
public:
    Script(SoakFleet &fleet, VersionProber &prober);
    virtual ~Script() = default;
    Script(const Script &) = delete;
    Script &operator=(const Script &) = delete;

    /// Plays events for \a duration, then heals what is still harmed.
    void play(seconds duration);
    /// Returns what was played, one line an event, with the time since the beginning.
    const std::vector<std::string> &played() const { return this->lines; }

protected:
    using Heal = std::function<void()>;

    /// Begins one event.
    virtual void beginOne() = 0;

    std::size_t pick(std::size_t count) { return this->random() % count; }
    milliseconds between(int least, int most);
    void note(const std::string &line);
    /// Calls \a heal once \a delay is over.
    void later(milliseconds delay, Heal heal);

    /// Publishes a configuration and tells the prober.
    void changeConfiguration() { this->publishVersion(0); }
    /// \param furtherRoutes see SoakFleet::publishConfiguration().
    void publishVersion(std::size_t furtherRoutes);

    SoakFleet &fleet;

private:
    VersionProber &prober;
    void healDue(Instant until);

    std::mt19937_64 random;
    Instant began;
    std::vector<std::string> lines;
    std::multimap<Instant, Heal> heals;
};

} // namespace azurespindle::soak

#endif
