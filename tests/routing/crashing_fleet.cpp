#include "routing/crashing_fleet.h"

#include <algorithm>
#include <utility>

namespace azurespindle::tests {
namespace {

using namespace routing;

constexpr milliseconds restartTime {3'000};
/// Delay from a crash until the store shows the next lifetime.
constexpr milliseconds publicationDelay {3'500};
constexpr milliseconds reportDelay {100};
constexpr milliseconds fullReportInterval {1'000};
constexpr milliseconds writeTime {400};
constexpr Tokens partTokens = 100;

} // namespace

CrashingFleet::CrashingFleet(std::size_t processCount, std::size_t engineCount)
{
    for (std::size_t engine = 1; engine <= engineCount; ++engine) {
        this->engines["e" + std::to_string(engine)] = {};
    }
    for (std::size_t process = 0; process < processCount; ++process) {
        this->addProcess();
    }
}

std::size_t CrashingFleet::addProcess()
{
    auto added = std::make_unique<RouterHarness>();
    added->configure();
    for (const auto &[id, engine] : this->engines) {
        added->addEngine(id);
    }
    if (!this->processes.empty()) {
        added->advanceTime(std::chrono::duration_cast<milliseconds>(this->now() - added->now()));
    }
    added->clearEffects();
    this->processes.push_back(std::move(added));
    return this->processes.size() - 1;
}

void CrashingFleet::send(std::size_t process, const std::vector<std::uint64_t> &sharedParts,
                         const std::string &path)
{
    std::vector<PromptPart> parts;
    parts.reserve(sharedParts.size() + 1);
    for (const std::uint64_t part : sharedParts) {
        parts.push_back({part, partTokens});
    }
    this->lastOwnPart += 1;
    parts.push_back({this->lastOwnPart, partTokens});
    const bool isDeadly
        = std::find(sharedParts.begin(), sharedParts.end(), deadlyPart) != sharedParts.end();
    this->soundCount += isDeadly ? 0 : 1;
    const RequestId request = this->processes.at(process)->sendRequest(path, "k1", "", parts);
    this->deadly[{process, request}] = isDeadly;
    this->perform(process);
}

bool CrashingFleet::isDeadly(const Run &run) const
{
    return this->deadly.at({run.process, run.attempt.request});
}

void CrashingFleet::perform(std::size_t process)
{
    RouterHarness &harness = *this->processes.at(process);
    const std::vector<StartAttempt> starts = harness.allEffects<StartAttempt>();
    const std::vector<CancelAttempt> cancels = harness.allEffects<CancelAttempt>();
    for (const BroadcastCrash &crash : harness.allEffects<BroadcastCrash>()) {
        this->reports.push_back({this->now() + reportDelay, process, {crash}});
    }
    harness.clearEffects();
    for (const CancelAttempt &cancel : cancels) {
        for (auto &[id, engine] : this->engines) {
            std::erase_if(engine.runs, [&](const Run &run) {
                return run.process == process && run.attempt == cancel.attempt;
            });
        }
    }
    for (const StartAttempt &start : starts) {
        Engine &engine = this->engines.at(start.plan.upstream.id);
        if (this->now() < engine.backAt) {
            harness.handle(AttemptEnded {start.attempt, AttemptEnd::ConnectionRefused, "played"});
            this->perform(process);
            continue;
        }
        const Run run {process, start.attempt, this->now() + startTime, false};
        if (this->isDeadly(run)) {
            this->deadlyRuns.push_back(this->now());
        }
        engine.runs.push_back(run);
    }
}

void CrashingFleet::lose(const Run &run)
{
    this->processes.at(run.process)->handle(AttemptEnded {run.attempt, AttemptEnd::Lost, "played"});
    this->perform(run.process);
}

void CrashingFleet::crash(const std::string &id)
{
    Engine &engine = this->engines.at(id);
    this->crashTimes.push_back(this->now());
    engine.backAt = this->now() + restartTime;
    this->restarts.emplace_back(this->now() + publicationDelay, id);
    for (const Run &run : std::exchange(engine.runs, {})) {
        this->lose(run);
    }
}

void CrashingFleet::resetConnections(std::size_t process)
{
    std::vector<Run> lost;
    for (auto &[id, engine] : this->engines) {
        for (const Run &run : engine.runs) {
            if (run.process == process) {
                lost.push_back(run);
            }
        }
        std::erase_if(engine.runs, [&](const Run &run) { return run.process == process; });
    }
    for (const Run &run : lost) {
        this->lose(run);
    }
}

void CrashingFleet::progress()
{
    for (auto &[id, engine] : this->engines) {
        const std::vector<Run> runs = engine.runs;
        for (const Run &run : runs) {
            RouterHarness &harness = *this->processes.at(run.process);
            if (!run.begun && this->now() >= run.begins) {
                if (this->isDeadly(run)) {
                    this->crash(id);
                    break;
                }
                ResponseHead head;
                head.status = 200;
                head.authentic = true;
                head.eventStream = true;
                harness.handle(HeadArrived {run.attempt, head});
                harness.handle(EventsArrived {run.attempt, 1, 1});
                this->begunCount += run.attempt.number == 1 ? 1 : 0;
                for (Run &each : engine.runs) {
                    each.begun = each.begun
                        || (each.process == run.process && each.attempt == run.attempt);
                }
                this->perform(run.process);
            } else if (run.begun && this->now() >= run.begins + writeTime) {
                std::erase_if(engine.runs, [&](const Run &each) {
                    return each.process == run.process && each.attempt == run.attempt;
                });
                harness.handle(AttemptEnded {run.attempt, AttemptEnd::Complete, ""});
                this->perform(run.process);
            }
        }
    }
}

void CrashingFleet::step()
{
    for (std::size_t process = 0; process < this->processes.size(); ++process) {
        this->processes[process]->advanceTime(Router::tickInterval);
        this->perform(process);
    }
    for (const auto &[at, id] : std::exchange(this->restarts, {})) {
        if (this->now() < at) {
            this->restarts.emplace_back(at, id);
            continue;
        }
        for (std::size_t process = 0; process < this->processes.size(); ++process) {
            this->processes[process]->restart(id);
            this->perform(process);
        }
    }
    for (const Report &report : std::exchange(this->reports, {})) {
        if (this->now() < report.arrivesAt) {
            this->reports.push_back(report);
            continue;
        }
        for (std::size_t process = 0; process < this->processes.size(); ++process) {
            if (process != report.from) {
                this->processes[process]->handle(report.report);
                this->perform(process);
            }
        }
    }
    if (this->now() >= this->nextReportAt) {
        this->nextReportAt = this->now() + fullReportInterval;
        this->exchangeReports();
    }
    this->progress();
}

void CrashingFleet::exchangeReports()
{
    for (std::size_t from = 0; from < this->processes.size(); ++from) {
        PeerReportArrived report;
        report.peer = "process" + std::to_string(from);
        report.blockedParts = this->processes[from]->router.blockedParts(this->now());
        for (std::size_t to = 0; to < this->processes.size(); ++to) {
            if (to != from) {
                this->processes[to]->handle(report);
                this->perform(to);
            }
        }
    }
}

bool CrashingFleet::blocksSoundPart() const
{
    return std::any_of(this->processes.begin(), this->processes.end(), [this](const auto &process) {
        const auto blocked = process->router.blockedParts(this->now());
        return std::any_of(blocked.begin(), blocked.end(),
                           [](const auto &each) { return each.part != deadlyPart; });
    });
}

void CrashingFleet::advanceTime(milliseconds time)
{
    const Instant until = this->now() + time;
    while (this->now() < until) {
        this->step();
    }
}

std::size_t CrashingFleet::deadlyRunsAfterFifthCrash(milliseconds delay) const
{
    static constexpr std::size_t boundFrom = 5;
    if (this->crashTimes.size() < boundFrom) {
        return 0;
    }
    const Instant from = this->crashTimes[boundFrom - 1] + delay;
    return static_cast<std::size_t>(std::count_if(this->deadlyRuns.begin(), this->deadlyRuns.end(),
                                                  [from](Instant at) { return at > from; }));
}

} // namespace azurespindle::tests
