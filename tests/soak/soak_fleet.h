#ifndef AZURESPINDLE_TESTS_SOAK_SOAK_FLEET_H
#define AZURESPINDLE_TESTS_SOAK_SOAK_FLEET_H

#include "calm.h"
#include "findings.h"
#include "link_proxy.h"
#include "platform/fake_platform.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <sys/types.h>
#include <vector>

namespace azurespindle::soak {

/// What a soak plays.
enum class Plan {
    Random,    ///< Faults of all kinds.
    Stops,     ///< Planned work, and callers that meet it.
    Versions,  ///< Large configurations in series and named limits, among faults of all kinds.
    Handovers, ///< Engines that leave in series, some slow to begin or deaf to closed connections.
    Eras,      ///< A store that comes back from copies, among random faults.
};

struct SoakOptions
{
    Plan plan = Plan::Random;
    std::uint64_t seed = 1;
    seconds duration {20};
    std::size_t processes = 4;
    std::size_t engines = 5;
    std::size_t plains = 3;
    std::uint16_t firstPort = 23'000;
    std::string binary; ///< Path of the azurespindle program.
    std::string folder; ///< For settings and logs.
};

/// Real routing processes, and stand-ins of the platform behind links that can be harmed.
///
/// Commands that change upstreams or processes are for one thread, the one that plays the faults;
/// callers use the queries only. Ends only the processes that it started, by their ids.
class SoakFleet
{
public:
    /// Longest duration of a graceful stop.
    static constexpr seconds stopTime {6};

    SoakFleet(SoakOptions options, Findings &findings);
    ~SoakFleet();
    SoakFleet(const SoakFleet &) = delete;
    SoakFleet &operator=(const SoakFleet &) = delete;

    // Commands

    void startProcess(std::size_t process);
    /// Sends a signal; the process stays in the fleet.
    void signalProcess(std::size_t process, int signal);
    /// Sends a signal that ends the process, and waits for its end at most \a patience.
    void endProcess(std::size_t process, int signal, milliseconds patience);
    /// Takes note if a process that got SIGTERM at \a stoppedAt has ended, and ends it once its
    /// stop time is over. \return true if it runs no more.
    bool reapStopped(std::size_t process, Instant stoppedAt);
    /// Publishes the next version of the configuration. \return its number.
    /// \param furtherRoutes number of routes that nobody asks for.
    std::uint64_t publishConfiguration(std::size_t furtherRoutes = 0);
    /// Checks that a plain upstream got no more than the limit that it has named since \a named.
    void checkLimit(std::size_t plain, double requestsPerSecond, Instant named);
    void evacuate(const std::string &zone, bool out);
    /// Cuts all runs of an engine; another one takes its place.
    void crashEngine(std::size_t engine);
    /// Says that an engine leaves and is gone after \a notice.
    /// \param tellsTime false if it does not report when it is gone.
    void announceLeaving(std::size_t engine, milliseconds notice, bool tellsTime = true);
    /// Ends an engine whose notice is over; another one takes its place.
    void finishLeaving(std::size_t engine);
    /// Checks that the engines of a zone got nothing later than \a bound after its evacuation.
    void checkEvacuated(const std::string &zone, Instant since, milliseconds bound);

    // Queries

    const SoakOptions &settings() const { return this->options; }
    Calm &calm() { return this->calmness; }
    tests::FakeStore &store() { return *this->storeStandin; }
    tests::FakeEngine &engine(std::size_t index) { return *this->engines[index].standin; }
    tests::FakeService &plain(std::size_t index) { return *this->plains[index].standin; }
    LinkProxy &engineLink(std::size_t index) { return *this->engines[index].link; }
    LinkProxy &plainLink(std::size_t index) { return *this->plains[index].link; }
    LinkProxy &callerLink(std::size_t process) { return *this->processes[process].callerLink; }
    LinkProxy &memberLink(std::size_t process) { return *this->processes[process].memberLink; }
    LinkProxy &storeLink(std::size_t process) { return *this->processes[process].storeLink; }
    /// Returns the port at which callers reach a process, through its link.
    std::uint16_t callerPort(std::size_t process) const;
    /// Returns the port at which a process listens to callers.
    std::uint16_t directPort(std::size_t process) const;
    std::uint16_t readyPort(std::size_t process) const;
    /// Returns how often a call ran, or a generation was begun from its first event, on all
    /// upstreams ever.
    std::size_t runs(const std::string &callerId) const;
    /// Returns the work of all engines ever on a request, by engine.
    std::map<std::string, std::vector<tests::EngineWork>>
    worksOn(const std::string &callerId) const;
    /// Returns true if a plain upstream hung on a request.
    bool hungOn(const std::string &callerId) const;
    /// Returns true if an upstream had run a request to its end at \a time.
    bool finishedBy(const std::string &callerId, Instant time) const;

private:
    struct Process
    {
        pid_t id = 0;
        int lives = 0;
        std::unique_ptr<LinkProxy> callerLink;
        std::unique_ptr<LinkProxy> memberLink;
        std::unique_ptr<LinkProxy> storeLink;
    };
    struct Engine
    {
        std::string id;
        std::string zone;
        std::unique_ptr<tests::FakeEngine> standin;
        std::unique_ptr<LinkProxy> link;
        bool leaving = false;
        Instant noticed;
    };
    struct Plain
    {
        std::unique_ptr<tests::FakeService> standin;
        std::unique_ptr<LinkProxy> link;
    };

    /// \param highestCode exit codes above it are a finding, as are signals but SIGKILL.
    bool reap(std::size_t process, Instant deadline, int highestCode);
    void writeSettings(std::size_t process) const;
    std::uint16_t processPort(std::size_t process, std::size_t offset) const;
    std::uint16_t nextUpstreamPort();
    std::uint16_t storePort() const;
    void addEngine(std::size_t index);
    tests::EngineTraits drawTraits();
    void replaceEngine(std::size_t index);
    void checkLeaving(const Engine &engine);

    const SoakOptions options;
    Findings &findings;
    Calm calmness;
    LinkThread links;
    std::unique_ptr<tests::FakeStore> storeStandin;
    std::vector<Process> processes;
    std::vector<Engine> engines;
    std::vector<Plain> plains;
    std::vector<Engine> goneEngines; ///< They know what ran there.
    std::uint64_t version = 0;
    std::uint16_t upstreamPorts = 0; ///< Used so far.
    std::size_t engineNumber = 0;
    std::mt19937_64 traitsRandom; ///< Draws how engines behave.
};

} // namespace azurespindle::soak

#endif
