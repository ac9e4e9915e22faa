#ifndef AZURESPINDLE_TESTS_ROUTING_CRASHING_FLEET_H
#define AZURESPINDLE_TESTS_ROUTING_CRASHING_FLEET_H

#include "routing/router_harness.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace azurespindle::tests {

/// Several routers in virtual time that share engines, exchange their crash reports, and send
/// requests of which some hold a part that crashes each engine that begins to write on it.
class CrashingFleet
{
public:
    static constexpr std::uint64_t deadlyPart = 0xDEAD;
    /// Delay from the start of a run to its first event, or to the crash.
    static constexpr milliseconds startTime {300};

    CrashingFleet(std::size_t processes, std::size_t engines);

    // Commands

    /// Sends a request, whose last part is its own, at a process.
    void send(std::size_t process, const std::vector<std::uint64_t> &sharedParts,
              const std::string &path = "/long/1");
    void advanceTime(milliseconds time);
    /// Crashes an engine, whatever it runs.
    void crash(const std::string &engine);
    /// Resets all connections of a process to engines.
    void resetConnections(std::size_t process);
    /// Adds a process that knows nothing. \return its number.
    std::size_t addProcess();

    // Queries

    std::size_t crashes() const { return this->crashTimes.size(); }
    /// Returns the number of requests with the deadly part that reached an engine.
    std::size_t deadlyRunCount() const { return this->deadlyRuns.size(); }
    /// Returns the number of requests with the deadly part that reached an engine later than
    /// \a delay after the fifth crash.
    std::size_t deadlyRunsAfterFifthCrash(milliseconds delay) const;
    /// Returns the number of sound requests sent so far.
    std::size_t soundSent() const { return this->soundCount; }
    /// Returns the number of sound requests that began at their first attempt.
    std::size_t soundBegun() const { return this->begunCount; }
    /// Returns true if a process has blocked a part other than the deadly one.
    bool blocksSoundPart() const;
    Instant now() const { return this->processes.front()->now(); }
    RouterHarness &process(std::size_t number) { return *this->processes.at(number); }

private:
    struct Run
    {
        std::size_t process = 0;
        routing::AttemptId attempt;
        Instant begins;
        bool begun = false;
    };
    struct Engine
    {
        Instant backAt;
        std::vector<Run> runs;
    };
    struct Report
    {
        Instant arrivesAt;
        std::size_t from = 0;
        routing::PeerCrashReported report;
    };

    void step();
    void exchangeReports();
    void progress();
    /// Performs the effects of a process until there are none.
    void perform(std::size_t process);
    void lose(const Run &run);
    bool isDeadly(const Run &run) const;

    std::vector<std::unique_ptr<RouterHarness>> processes;
    std::map<std::string, Engine> engines;
    std::vector<Report> reports;
    std::map<std::pair<std::size_t, routing::RequestId>, bool> deadly; ///< By request.
    std::vector<std::pair<Instant, std::string>> restarts;             ///< Not published yet.
    std::vector<Instant> crashTimes;
    std::vector<Instant> deadlyRuns;
    Instant nextReportAt;
    std::uint64_t lastOwnPart = 1'000'000;
    std::size_t soundCount = 0;
    std::size_t begunCount = 0;
};

} // namespace azurespindle::tests

#endif
