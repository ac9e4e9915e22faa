#include "stop_script.h"

#include <csignal>

namespace azurespindle::soak {
namespace {

constexpr milliseconds endPoll {20};
constexpr int mostStaggerMs = 900;
constexpr int mostRestartDelayMs = 600;
constexpr milliseconds atOnce {0};
/// Plain upstreams stay below the timeout of their routes.
constexpr int leastWorkMs = 150;
constexpr int mostWorkMs = 1'250;

} // namespace

StopScript::StopScript(SoakFleet &fleet, VersionProber &prober, StopRecord &stops)
    : Script(fleet, prober), stops(stops)
{ }

void StopScript::beginOne()
{
    using Begin = void (StopScript::*)();
    constexpr Begin kinds[]
        = {&StopScript::stopOne,       &StopScript::stopOne,    &StopScript::stopMany,
           &StopScript::stopAgain,     &StopScript::slowPlains, &StopScript::slowPlains,
           &StopScript::reloadProcess, &StopScript::hangPlain,  &StopScript::changeConfiguration};
    (this->*kinds[this->pick(std::size(kinds))])();
}

void StopScript::stopOne()
{
    this->stop(this->pick(this->fleet.settings().processes));
}

/// Stops several processes, but for one.
void StopScript::stopMany()
{
    const std::size_t count = 1 + this->pick(this->fleet.settings().processes - 1);
    const std::size_t first = this->pick(this->fleet.settings().processes);
    for (std::size_t each = 0; each < count; ++each) {
        const std::size_t process = (first + each) % this->fleet.settings().processes;
        this->later(this->between(0, mostStaggerMs), [this, process] { this->stop(process); });
    }
}

void StopScript::stop(std::size_t process)
{
    if (!this->ended.insert(process).second) {
        return;
    }
    this->note("stop entry-" + std::to_string(process));
    this->fleet.calm().disturb(process, SoakFleet::stopTime);
    this->stops.noteStop(process);
    const Instant stoppedAt = monotonicNow();
    this->fleet.signalProcess(process, SIGTERM);
    this->later(endPoll, [this, process, stoppedAt] { this->awaitEnd(process, stoppedAt); });
}

void StopScript::awaitEnd(std::size_t process, Instant stoppedAt)
{
    if (!this->fleet.reapStopped(process, stoppedAt)) {
        this->later(endPoll, [this, process, stoppedAt] { this->awaitEnd(process, stoppedAt); });
        return;
    }
    this->stops.noteEnded(process);
    this->later(this->between(0, mostRestartDelayMs), [this, process] {
        this->fleet.calm().disturb(process, atOnce);
        this->fleet.startProcess(process);
        this->ended.erase(process);
    });
}

void StopScript::stopAgain()
{
    const std::vector<std::size_t> stopping = this->stops.stopping();
    if (stopping.empty()) {
        return;
    }
    const std::size_t process = stopping[this->pick(stopping.size())];
    this->note("stop entry-" + std::to_string(process) + " again");
    this->fleet.signalProcess(process, SIGTERM);
}

void StopScript::reloadProcess()
{
    const std::size_t process = this->pick(this->fleet.settings().processes);
    this->note("reload entry-" + std::to_string(process));
    this->fleet.signalProcess(process, SIGHUP);
}

void StopScript::slowPlains()
{
    const milliseconds workTime = this->between(leastWorkMs, mostWorkMs);
    const milliseconds time = this->between(1'000, 6'000);
    this->note("plain upstreams work " + std::to_string(workTime.count()) + " ms on a request for "
               + std::to_string(time.count()));
    for (std::size_t plain = 0; plain < this->fleet.settings().plains; ++plain) {
        this->fleet.plain(plain).setWorkTime(workTime);
    }
    this->later(time, [this] {
        for (std::size_t plain = 0; plain < this->fleet.settings().plains; ++plain) {
            this->fleet.plain(plain).setWorkTime(atOnce);
        }
    });
}

void StopScript::hangPlain()
{
    using Behaviour = tests::FakeService::Behaviour;
    const std::size_t plain = this->pick(this->fleet.settings().plains);
    const milliseconds time = this->between(200, 1'500);
    this->note("plain " + std::to_string(plain) + " hangs for " + std::to_string(time.count()));
    this->fleet.plain(plain).setBehaviour(Behaviour::Hangs);
    this->later(time, [this, plain] { this->fleet.plain(plain).setBehaviour(Behaviour::Answers); });
}

} // namespace azurespindle::soak
