#include "soak_fleet.h"

#include "platform/many_routes.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace azurespindle::soak {
namespace {

using nlohmann::json;

// Offsets in the block of ports of one process.
constexpr std::size_t callerPortOffset = 0;
constexpr std::size_t readyPortOffset = 1;
constexpr std::size_t memberPortOffset = 2;
constexpr std::size_t metricsPortOffset = 3;
constexpr std::size_t callerLinkOffset = 4;
constexpr std::size_t memberLinkOffset = 5;
constexpr std::size_t storeLinkOffset = 6;
constexpr std::size_t portsEach = 8;

/// Behind the blocks of the processes; the port of the store follows.
constexpr std::size_t upstreamPortPairs = 140;
/// A stop that cut requests ends with this code.
constexpr int exitCut = 1;
/// Until the store shows that a dead engine is gone.
constexpr milliseconds heartbeatLapse {1'000};
/// A leaving engine gets nothing after this time, from processes that are calm.
constexpr milliseconds drainBound {2'000};
constexpr milliseconds endPoll {10};
/// One engine in so many does not notice closed connections.
constexpr std::uint64_t deafEngineShare = 3;
constexpr std::uint64_t mostStartDelayMs = 1'000;
constexpr std::uint64_t mostCopyTimeMs = 600;

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string zoneOf(std::size_t index)
{
    return index % 2 == 0 ? "north" : "south";
}

} // namespace

SoakFleet::SoakFleet(SoakOptions given, Findings &findings)
    : options(std::move(given)), findings(findings), calmness(this->options.processes),
      traitsRandom(this->options.seed)
{
    this->storeStandin = std::make_unique<tests::FakeStore>(this->storePort());
    this->publishConfiguration();
    this->engines.resize(this->options.engines);
    for (std::size_t index = 0; index < this->options.engines; ++index) {
        this->addEngine(index);
    }
    for (std::size_t index = 0; index < this->options.plains; ++index) {
        const std::uint16_t port = this->nextUpstreamPort();
        const auto linkPort = static_cast<std::uint16_t>(port + 1);
        const std::string id = "p" + std::to_string(index);
        Plain plain;
        plain.standin = std::make_unique<tests::FakeService>(id, port);
        plain.standin->setAdvertisedAddress(loopback(linkPort));
        plain.link = std::make_unique<LinkProxy>(this->links, linkPort, port);
        this->storeStandin->put("servers/" + id, plain.standin->registration());
        this->plains.push_back(std::move(plain));
    }
    this->processes.resize(this->options.processes);
    for (std::size_t index = 0; index < this->options.processes; ++index) {
        Process &process = this->processes[index];
        process.callerLink = std::make_unique<LinkProxy>(
            this->links, this->callerPort(index), this->processPort(index, callerPortOffset));
        process.memberLink
            = std::make_unique<LinkProxy>(this->links, this->processPort(index, memberLinkOffset),
                                          this->processPort(index, memberPortOffset));
        process.storeLink = std::make_unique<LinkProxy>(
            this->links, this->processPort(index, storeLinkOffset), this->storePort());
        this->writeSettings(index);
        this->startProcess(index);
    }
}

SoakFleet::~SoakFleet()
{
    for (std::size_t index = 0; index < this->processes.size(); ++index) {
        if (this->processes[index].id > 0) {
            this->signalProcess(index, SIGCONT);
            this->endProcess(index, SIGKILL, seconds(5));
        }
    }
}

std::uint16_t SoakFleet::processPort(std::size_t process, std::size_t offset) const
{
    return static_cast<std::uint16_t>(this->options.firstPort + process * portsEach + offset);
}

std::uint16_t SoakFleet::callerPort(std::size_t process) const
{
    return this->processPort(process, callerLinkOffset);
}

std::uint16_t SoakFleet::directPort(std::size_t process) const
{
    return this->processPort(process, callerPortOffset);
}

std::uint16_t SoakFleet::readyPort(std::size_t process) const
{
    return this->processPort(process, readyPortOffset);
}

std::uint16_t SoakFleet::nextUpstreamPort()
{
    const auto pair = static_cast<std::uint16_t>(this->upstreamPorts % upstreamPortPairs);
    this->upstreamPorts += 1;
    return static_cast<std::uint16_t>(this->processPort(this->options.processes, 0) + 2 * pair);
}

std::uint16_t SoakFleet::storePort() const
{
    return this->processPort(this->options.processes, 2 * upstreamPortPairs);
}

void SoakFleet::writeSettings(std::size_t process) const
{
    const json settings {
        {"name", "entry-" + std::to_string(process)},
        {"zone", zoneOf(process)},
        {"callerAddress", loopback(this->processPort(process, callerPortOffset))},
        {"readyAddress", loopback(this->processPort(process, readyPortOffset))},
        {"memberAddress", loopback(this->processPort(process, memberPortOffset))},
        {"announcedMemberAddress", loopback(this->processPort(process, memberLinkOffset))},
        {"metricsAddress", loopback(this->processPort(process, metricsPortOffset))},
        {"publisherAddress", loopback(this->processPort(process, storeLinkOffset))},
        {"seeds",
         {loopback(this->processPort(0, memberLinkOffset)),
          loopback(this->processPort(1, memberLinkOffset))}},
        {"bounds", {{"retryBurst", 58}, {"stopSeconds", stopTime.count()}}}};
    std::ofstream(this->options.folder + "/entry-" + std::to_string(process) + ".json")
        << settings.dump(2);
}

void SoakFleet::startProcess(std::size_t index)
{
    Process &process = this->processes[index];
    process.lives += 1;
    const std::string base = this->options.folder + "/entry-" + std::to_string(index);
    const std::string log = base + "-" + std::to_string(process.lives) + ".log";
    std::string settings = base + ".json";
    std::string binary = this->options.binary;
    std::string verb = "serve";
    char *const arguments[] = {binary.data(), verb.data(), settings.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT,
                                     0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error
        = posix_spawn(&process.id, binary.c_str(), &actions, nullptr, arguments, environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        process.id = 0;
        throw std::runtime_error(binary + " could not be started");
    }
}

void SoakFleet::signalProcess(std::size_t process, int signal)
{
    if (this->processes[process].id > 0) {
        kill(this->processes[process].id, signal);
    }
}

void SoakFleet::endProcess(std::size_t process, int signal, milliseconds patience)
{
    this->signalProcess(process, signal);
    const Instant deadline = monotonicNow() + patience;
    while (!this->reap(process, deadline, 0)) {
        std::this_thread::sleep_for(endPoll);
    }
}

bool SoakFleet::reapStopped(std::size_t process, Instant stoppedAt)
{
    return this->reap(process, stoppedAt + stopTime, exitCut);
}

bool SoakFleet::reap(std::size_t index, Instant deadline, int highestCode)
{
    Process &process = this->processes[index];
    const std::string life
        = "entry-" + std::to_string(index) + " life " + std::to_string(process.lives);
    int status = 0;
    if (waitpid(process.id, &status, WNOHANG) == 0) {
        if (monotonicNow() < deadline) {
            return false;
        }
        this->findings.add("stop", life + " did not end in time");
        kill(process.id, SIGKILL);
        waitpid(process.id, &status, 0);
    }
    const bool crashed = WIFSIGNALED(status) && WTERMSIG(status) != SIGKILL;
    if (crashed || (WIFEXITED(status) && WEXITSTATUS(status) > highestCode)) {
        this->findings.add("exit", life + " ended with status " + std::to_string(status));
    }
    process.id = 0;
    return true;
}

std::uint64_t SoakFleet::publishConfiguration(std::size_t furtherRoutes)
{
    this->version += 1;
    const std::string name = "v" + std::to_string(this->version);
    this->storeStandin->put("op/config",
                            tests::platformConfiguration(this->version,
                                                         tests::manyRoutes(furtherRoutes)
                                                             + tests::plainRoute(name, name)));
    return this->version;
}

void SoakFleet::checkLimit(std::size_t plain, double requestsPerSecond, Instant named)
{
    constexpr milliseconds window {4'000};
    if (!this->calmness.allCalmSince(named)) {
        return;
    }
    const double allowed = 1.5 * requestsPerSecond * inSeconds(window) + 5.0;
    const std::size_t most
        = this->plains[plain].standin->mostArrivalsWithin(window, named + Calm::contactTime);
    if (static_cast<double>(most) > allowed) {
        this->findings.add("limit",
                           "plain " + std::to_string(plain) + " names "
                               + std::to_string(requestsPerSecond) + " a second and got "
                               + std::to_string(most) + " in 4 s, expected at most "
                               + std::to_string(allowed));
    }
}

void SoakFleet::evacuate(const std::string &zone, bool out)
{
    if (out) {
        this->storeStandin->put("op/evacuate/" + zone, "{}");
    } else {
        this->storeStandin->remove("op/evacuate/" + zone);
    }
}

tests::EngineTraits SoakFleet::drawTraits()
{
    tests::EngineTraits traits;
    traits.ignoresClosedConnections = this->traitsRandom() % deafEngineShare == 0;
    traits.startDelay = milliseconds(this->traitsRandom() % mostStartDelayMs);
    traits.copyTime = milliseconds(this->traitsRandom() % mostCopyTimeMs);
    return traits;
}

void SoakFleet::addEngine(std::size_t index)
{
    const std::uint16_t port = this->nextUpstreamPort();
    const auto linkPort = static_cast<std::uint16_t>(port + 1);
    Engine engine;
    engine.id = "e" + std::to_string(this->engineNumber);
    engine.zone = zoneOf(index);
    this->engineNumber += 1;
    engine.standin = std::make_unique<tests::FakeEngine>(engine.id, port);
    engine.standin->setAdvertisedAddress(loopback(linkPort));
    engine.standin->setZone(engine.zone);
    if (this->options.plan == Plan::Handovers) {
        engine.standin->setTraits(this->drawTraits());
    }
    engine.link = std::make_unique<LinkProxy>(this->links, linkPort, port);
    this->storeStandin->put("servers/" + engine.id, engine.standin->registration());
    this->engines[index] = std::move(engine);
}

void SoakFleet::replaceEngine(std::size_t index)
{
    Engine &engine = this->engines[index];
    this->storeStandin->remove("servers/" + engine.id);
    this->goneEngines.push_back(std::move(engine));
    this->addEngine(index);
}

void SoakFleet::crashEngine(std::size_t index)
{
    this->engines[index].standin->crash();
    std::this_thread::sleep_for(heartbeatLapse);
    this->replaceEngine(index);
}

void SoakFleet::announceLeaving(std::size_t index, milliseconds notice, bool tellsTime)
{
    Engine &engine = this->engines[index];
    engine.leaving = true;
    engine.noticed = monotonicNow();
    engine.standin->setTimeToShutdown(tellsTime ? notice : milliseconds(0));
    this->storeStandin->put("servers/" + engine.id, engine.standin->registration(true));
}

void SoakFleet::finishLeaving(std::size_t index)
{
    this->checkLeaving(this->engines[index]);
    this->engines[index].standin->crash();
    this->replaceEngine(index);
}

void SoakFleet::checkLeaving(const Engine &engine)
{
    const microseconds late = engine.standin->lastArrival() - engine.noticed;
    if (late > drainBound && this->calmness.allCalmSince(engine.noticed)) {
        this->findings.add("drain",
                           engine.id + " got a request " + std::to_string(late.count() / 1'000)
                               + " ms after its notice, expected none after "
                               + std::to_string(drainBound.count()) + " ms");
    }
}

void SoakFleet::checkEvacuated(const std::string &zone, Instant since, milliseconds bound)
{
    for (const Engine &engine : this->engines) {
        const microseconds late = engine.standin->lastArrival() - since;
        if (engine.zone == zone && late > bound && this->calmness.allCalmSince(since)) {
            this->findings.add("evacuation",
                               engine.id + " got a request " + std::to_string(late.count() / 1'000)
                                   + " ms after its zone was evacuated, expected none after "
                                   + std::to_string(bound.count()) + " ms");
        }
    }
}

bool SoakFleet::hungOn(const std::string &callerId) const
{
    return std::any_of(this->plains.begin(), this->plains.end(),
                       [&](const Plain &plain) { return plain.standin->hungOn(callerId); });
}

bool SoakFleet::finishedBy(const std::string &callerId, Instant time) const
{
    const auto has = [&](const auto &standin) { return standin->finishedBy(callerId, time); };
    return std::any_of(this->plains.begin(), this->plains.end(),
                       [&](const Plain &plain) { return has(plain.standin); })
        || std::any_of(this->engines.begin(), this->engines.end(),
                       [&](const Engine &engine) { return has(engine.standin); })
        || std::any_of(this->goneEngines.begin(), this->goneEngines.end(),
                       [&](const Engine &engine) { return has(engine.standin); });
}

std::size_t SoakFleet::runs(const std::string &callerId) const
{
    std::size_t runs = 0;
    for (const Plain &plain : this->plains) {
        runs += plain.standin->runs(callerId);
    }
    for (const Engine &engine : this->engines) {
        runs += engine.standin->runs(callerId);
    }
    for (const Engine &gone : this->goneEngines) {
        runs += gone.standin->runs(callerId);
    }
    return runs;
}

std::map<std::string, std::vector<tests::EngineWork>>
SoakFleet::worksOn(const std::string &callerId) const
{
    std::map<std::string, std::vector<tests::EngineWork>> found;
    const auto collect = [&](const Engine &engine) {
        for (const tests::EngineWork &work : engine.standin->works()) {
            if (work.requestId == callerId) {
                found[engine.id].push_back(work);
            }
        }
    };
    std::for_each(this->engines.begin(), this->engines.end(), collect);
    std::for_each(this->goneEngines.begin(), this->goneEngines.end(), collect);
    return found;
}

} // namespace azurespindle::soak
