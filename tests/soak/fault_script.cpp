#include "fault_script.h"

#include <algorithm>
#include <csignal>

namespace azurespindle::soak {
namespace {

/// A stop may take what the settings allow, and some time of a busy machine.
constexpr milliseconds stopPatience {9'000};
constexpr milliseconds killPatience {3'000};
/// A fault that is over at once.
constexpr milliseconds atOnce {0};
constexpr int statusUnavailable = 503;
constexpr int statusTooMany = 429;
/// An evacuated zone gets nothing after this time, from processes that are calm.
constexpr milliseconds evacuationBound {5'000};

} // namespace

void FaultScript::beginOne()
{
    using Begin = void (FaultScript::*)();
    constexpr Begin kinds[] = {
        &FaultScript::killProcess,         &FaultScript::pauseProcess,  &FaultScript::stopProcess,
        &FaultScript::reloadProcess,       &FaultScript::harmLink,      &FaultScript::harmLink,
        &FaultScript::resetLink,           &FaultScript::harmStore,     &FaultScript::harmEngine,
        &FaultScript::releaseEngine,       &FaultScript::releaseEngine, &FaultScript::harmPlain,
        &FaultScript::changeConfiguration, &FaultScript::evacuateZone};
    (this->*kinds[this->pick(std::size(kinds))])();
}

std::optional<std::size_t> FaultScript::pickRunning()
{
    const std::size_t process = this->pick(this->fleet.settings().processes);
    const bool free = this->ended.count(process) == 0 && this->paused.count(process) == 0;
    return free ? std::optional(process) : std::nullopt;
}

void FaultScript::killProcess()
{
    const auto process = this->pickRunning();
    if (!process) {
        return;
    }
    const milliseconds down = this->between(50, 2'000);
    this->note("kill entry-" + std::to_string(*process) + " for " + std::to_string(down.count()));
    this->fleet.calm().disturb(*process, down);
    this->fleet.endProcess(*process, SIGKILL, killPatience);
    this->ended.insert(*process);
    this->later(down, [this, process] {
        this->fleet.calm().disturb(*process, atOnce);
        this->fleet.startProcess(*process);
        this->ended.erase(*process);
    });
}

void FaultScript::pauseProcess()
{
    const auto process = this->pickRunning();
    if (!process) {
        return;
    }
    const milliseconds time = this->between(200, 4'000);
    this->note("pause entry-" + std::to_string(*process) + " for " + std::to_string(time.count()));
    this->fleet.calm().disturb(*process, time);
    this->fleet.signalProcess(*process, SIGSTOP);
    this->paused.insert(*process);
    this->later(time, [this, process] {
        this->fleet.calm().disturb(*process, atOnce);
        this->fleet.signalProcess(*process, SIGCONT);
        this->paused.erase(*process);
    });
}

void FaultScript::stopProcess(bool mayCut)
{
    const auto process = this->pickRunning();
    if (!process) {
        return;
    }
    this->note("stop entry-" + std::to_string(*process));
    this->fleet.calm().disturb(*process, stopPatience);
    this->fleet.signalProcess(*process, SIGTERM);
    this->ended.insert(*process);
    // Ended here and started anew once it has had its time, so that other faults go on meanwhile.
    const Instant stoppedAt = monotonicNow();
    this->later(stopPatience, [this, process, stoppedAt, mayCut] {
        this->fleet.calm().disturb(*process, atOnce);
        if (mayCut) {
            this->fleet.reapStopped(*process, stoppedAt);
        } else {
            this->fleet.endProcess(*process, 0, atOnce);
        }
        this->fleet.startProcess(*process);
        this->ended.erase(*process);
    });
}

void FaultScript::reloadProcess()
{
    const auto process = this->pickRunning();
    if (!process) {
        return;
    }
    this->note("reload entry-" + std::to_string(*process));
    this->fleet.signalProcess(*process, SIGHUP);
}

void FaultScript::harmLink()
{
    constexpr LinkFault kinds[] = {LinkFault::Slow, LinkFault::Silent, LinkFault::NoAnswers};
    const LinkFault fault = kinds[this->pick(std::size(kinds))];
    const milliseconds time = this->between(200, 3'500);
    const std::size_t process = this->pick(this->fleet.settings().processes);
    const std::size_t where = this->pick(5);
    LinkProxy *link = nullptr;
    std::string named;
    if (where == 0) {
        const std::size_t engine = this->pick(this->fleet.settings().engines);
        if (!this->busyEngines.insert(engine).second) {
            return;
        }
        link = &this->fleet.engineLink(engine);
        named = "engine " + std::to_string(engine);
        this->later(time, [this, engine] { this->busyEngines.erase(engine); });
    } else if (where == 1) {
        const std::size_t plain = this->pick(this->fleet.settings().plains);
        link = &this->fleet.plainLink(plain);
        named = "plain " + std::to_string(plain);
    } else {
        link = where == 2 ? &this->fleet.callerLink(process)
            : where == 3  ? &this->fleet.memberLink(process)
                          : &this->fleet.storeLink(process);
        named = (where == 2       ? "callers of entry-"
                     : where == 3 ? "members of entry-"
                                  : "store of entry-")
            + std::to_string(process);
        this->fleet.calm().disturb(process, time);
    }
    this->note("link to " + named + " " + name(fault) + " for " + std::to_string(time.count()));
    link->setFault(fault);
    this->later(time, [link] { link->setFault(LinkFault::None); });
}

void FaultScript::resetLink()
{
    const std::size_t process = this->pick(this->fleet.settings().processes);
    this->note("reset the connections of entry-" + std::to_string(process));
    this->fleet.calm().disturb(process, atOnce);
    this->fleet.callerLink(process).resetAll();
    this->fleet.memberLink(process).resetAll();
    this->fleet.storeLink(process).resetAll();
}

void FaultScript::harmStore()
{
    const std::size_t kind = this->pick(3);
    if (kind == 0) {
        this->note("the store forgets its history");
        this->fleet.calm().disturbAll(atOnce);
        this->fleet.store().compactHistory();
        return;
    }
    if (this->storeHarmed) {
        return;
    }
    const milliseconds time = this->between(300, 4'000);
    const int status = kind == 1 ? statusUnavailable : statusTooMany;
    this->note("the store answers " + std::to_string(status) + " for "
               + std::to_string(time.count()));
    this->storeHarmed = true;
    this->fleet.calm().disturbAll(time);
    this->fleet.store().failWith(status);
    this->later(time, [this] {
        this->fleet.store().failWith(0);
        this->storeHarmed = false;
    });
}

void FaultScript::harmEngine()
{
    const std::size_t engine = this->pick(this->fleet.settings().engines);
    if (!this->busyEngines.insert(engine).second) {
        return;
    }
    if (this->pick(2) == 0) {
        this->note("engine " + std::to_string(engine) + " crashes");
        this->fleet.crashEngine(engine);
        this->busyEngines.erase(engine);
        return;
    }
    const milliseconds time = this->between(200, 2'500);
    this->note("engine " + std::to_string(engine) + " is silent for "
               + std::to_string(time.count()));
    this->fleet.engine(engine).setStalled(true);
    this->later(time, [this, engine] {
        this->fleet.engine(engine).setStalled(false);
        this->busyEngines.erase(engine);
    });
}

void FaultScript::releaseEngine()
{
    const std::size_t engine = this->pick(this->fleet.settings().engines);
    if (!this->busyEngines.insert(engine).second) {
        return;
    }
    const milliseconds notice = this->between(1'200, 4'500);
    this->note("engine " + std::to_string(engine) + " leaves in " + std::to_string(notice.count()));
    this->fleet.announceLeaving(engine, notice);
    this->later(notice, [this, engine] {
        this->fleet.finishLeaving(engine);
        this->busyEngines.erase(engine);
    });
}

void FaultScript::harmPlain()
{
    using Behaviour = tests::FakeService::Behaviour;
    constexpr std::pair<Behaviour, const char *> behaviours[]
        = {{Behaviour::Fails, "fails"},
           {Behaviour::DropsAnswer, "loses answers"},
           {Behaviour::RejectsAsFull, "is full"},
           {Behaviour::RejectsAsMisdirected, "is another"},
           {Behaviour::Hangs, "hangs"}};
    const auto &[behaviour, named] = behaviours[this->pick(std::size(behaviours))];
    const std::size_t plain = this->pick(this->fleet.settings().plains);
    const milliseconds time = this->between(200, 2'500);
    this->note("plain " + std::to_string(plain) + " " + named + " for "
               + std::to_string(time.count()));
    this->fleet.plain(plain).setBehaviour(behaviour);
    this->later(time, [this, plain] { this->fleet.plain(plain).setBehaviour(Behaviour::Answers); });
}

void FaultScript::evacuateZone()
{
    if (std::exchange(this->evacuated, true)) {
        return;
    }
    const std::string zone = this->pick(2) == 0 ? "north" : "south";
    const milliseconds time = this->between(1'000, 8'000);
    this->note("evacuate " + zone + " for " + std::to_string(time.count()));
    const Instant since = monotonicNow();
    this->fleet.evacuate(zone, true);
    this->later(time, [this, zone, since] {
        this->fleet.checkEvacuated(zone, since, evacuationBound);
        this->fleet.evacuate(zone, false);
        this->evacuated = false;
    });
}

} // namespace azurespindle::soak
