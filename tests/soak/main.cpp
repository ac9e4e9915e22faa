// Runs real routing processes under random faults and checks what callers and upstreams see:
// azurespindle-soak --binary build/azurespindle --seed 7 --seconds 20

#include "answered.h"
#include "era_script.h"
#include "fault_script.h"
#include "handover_script.h"
#include "journal/journal.h"
#include "overlaps.h"
#include "soak_caller.h"
#include "stop_script.h"
#include "version_prober.h"
#include "version_script.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <thread>

namespace azurespindle::soak {
namespace {

constexpr int exitSound = 0;
constexpr int exitFindings = 1;
constexpr int exitUsage = 2;

constexpr std::size_t steadyCallers = 16;
/// Callers of a play of stops come in groups, one group a process, but no more.
constexpr std::size_t mostCallerGroups = 12;
constexpr seconds startTime {15};
/// After the last fault every process serves everything again within this time.
constexpr seconds recoveryTime {12};
/// A request that was refused would have run by then, had the refusal been a lie.
constexpr milliseconds lateRuns {1'500};
constexpr milliseconds pollInterval {100};
/// Of the requests that are unanswered at their route's timeout, half may take so much longer.
constexpr milliseconds timeoutMargin {500};
constexpr milliseconds plainTimeout {1'500};
constexpr std::size_t leastTimeouts = 8;

bool promisesNotRun(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

/// Returns true once the process serves one request of a kind.
bool serves(const SoakFleet &fleet, std::size_t process, RequestKind kind, int number)
{
    constexpr std::uint64_t events = 20;
    const tests::RawConnection connection(fleet.directPort(process));
    if (!connection.connected()) {
        return false;
    }
    const std::string id = "after-" + std::string(name(kind)) + "-" + std::to_string(process) + "-"
        + std::to_string(number);
    const std::string target = "/" + std::string(name(kind)) + "/" + id;
    // The engines of this plan take up to a second to begin.
    const milliseconds deadline(fleet.settings().plan == Plan::Handovers ? 3'000 : 1'000);
    const Seen seen = exchangeOn(connection, {kind, id, target, events, 0, deadline});
    return seen.whole && seen.status == statusOk && faultOf(seen).empty();
}

/// Waits until every process serves every kind of request.
/// \return the first process that does not, and the kind; nothing if all do.
std::optional<std::string> waitForService(const SoakFleet &fleet, seconds patience)
{
    const Instant until = monotonicNow() + patience;
    constexpr RequestKind kinds[]
        = {RequestKind::Draft, RequestKind::Check, RequestKind::Order, RequestKind::Look};
    int number = 0;
    for (std::size_t process = 0; process < fleet.settings().processes; ++process) {
        for (const RequestKind kind : kinds) {
            while (!serves(fleet, process, kind, number++)) {
                if (monotonicNow() >= until) {
                    return "entry-" + std::to_string(process) + " does not serve " + name(kind);
                }
                std::this_thread::sleep_for(pollInterval);
            }
        }
    }
    return std::nullopt;
}

void checkRuns(const SoakFleet &fleet, const Seen &seen, Findings &findings)
{
    const bool once = seen.kind == RequestKind::Order || seen.kind == RequestKind::Draft;
    if (!once) {
        return;
    }
    const std::size_t runs = fleet.runs(seen.callerId);
    if (runs > 1) {
        findings.add("at most once",
                     seen.callerId + " ran " + std::to_string(runs) + " times, expected at most 1");
    }
    if (promisesNotRun(seen.status) && runs > 0) {
        findings.add("not run",
                     seen.callerId + " was answered " + std::to_string(seen.status) + " and ran "
                         + std::to_string(runs) + " times, expected 0");
    }
}

/// Counts the plain calls that were still unanswered at their route's timeout, at calm processes.
void checkTimeouts(SoakFleet &fleet, const std::vector<Seen> &answers, Findings &findings)
{
    std::size_t unanswered = 0;
    std::size_t late = 0;
    for (const Seen &seen : answers) {
        const microseconds took = seen.ended - seen.sent;
        if (isGeneration(seen.kind) || took < plainTimeout
            || !fleet.calm().calmSince(seen.process, seen.sent)) {
            continue;
        }
        unanswered += 1;
        late += took > plainTimeout + timeoutMargin ? 1 : 0;
    }
    if (late >= leastTimeouts && late * 2 > unanswered) {
        findings.add("timeout",
                     std::to_string(late) + " of " + std::to_string(unanswered)
                         + " calls had no answer half a second after their timeout");
    }
}

std::vector<std::unique_ptr<SoakCaller>> startCallers(SoakFleet &fleet, Findings &findings,
                                                      const StopRecord &stops)
{
    const std::size_t groups = std::min(fleet.settings().processes, mostCallerGroups);
    const bool planned = fleet.settings().plan == Plan::Stops;
    const bool handovers = fleet.settings().plan == Plan::Handovers;
    const std::vector<CallerStyle> styles = planned
        ? std::vector {CallerStyle::Holder, CallerStyle::Kept, CallerStyle::Kept,
                       CallerStyle::Fresh,  CallerStyle::Slow, CallerStyle::Fresh}
        : handovers ? std::vector {CallerStyle::Steady, CallerStyle::Steady, CallerStyle::Steady,
                                   CallerStyle::Steady, CallerStyle::Holder, CallerStyle::Holder}
                    : std::vector {CallerStyle::Steady};
    const std::size_t count = planned || handovers ? groups * styles.size() : steadyCallers;
    std::vector<std::unique_ptr<SoakCaller>> callers;
    for (std::size_t each = 0; each < count; ++each) {
        callers.push_back(std::make_unique<SoakCaller>(fleet, findings, stops,
                                                       styles[each % styles.size()], each));
    }
    return callers;
}

/// \throw std::invalid_argument if there is no such plan.
Plan parsePlan(const std::string &name)
{
    static const std::map<std::string, Plan> plans {{"random", Plan::Random},
                                                    {"stops", Plan::Stops},
                                                    {"versions", Plan::Versions},
                                                    {"handovers", Plan::Handovers},
                                                    {"eras", Plan::Eras}};
    const auto found = plans.find(name);
    if (found == plans.end()) {
        throw std::invalid_argument("there is no plan " + name);
    }
    return found->second;
}

std::unique_ptr<Script> makeScript(SoakFleet &fleet, VersionProber &prober, StopRecord &stops)
{
    if (fleet.settings().plan == Plan::Stops) {
        return std::make_unique<StopScript>(fleet, prober, stops);
    }
    if (fleet.settings().plan == Plan::Versions) {
        return std::make_unique<VersionScript>(fleet, prober);
    }
    if (fleet.settings().plan == Plan::Handovers) {
        return std::make_unique<HandoverScript>(fleet, prober);
    }
    if (fleet.settings().plan == Plan::Eras) {
        fleet.store().stateEra();
        return std::make_unique<EraScript>(fleet, prober);
    }
    return std::make_unique<FaultScript>(fleet, prober);
}

void play(SoakFleet &fleet, Findings &findings)
{
    if (const auto missing = waitForService(fleet, startTime)) {
        findings.add("start", *missing);
        return;
    }
    VersionProber prober(fleet, findings);
    StopRecord stops(fleet.settings().processes);
    const bool planned = fleet.settings().plan == Plan::Stops;
    const auto callers = startCallers(fleet, findings, stops);
    const std::unique_ptr<Script> script = makeScript(fleet, prober, stops);
    script->play(fleet.settings().duration);
    if (const auto missing = waitForService(fleet, recoveryTime)) {
        findings.add("recovery",
                     *missing + " " + std::to_string(recoveryTime.count())
                         + " s after the last fault");
    }
    prober.stop();
    std::vector<Seen> answers;
    for (const auto &caller : callers) {
        caller->stop();
        answers.insert(answers.end(), caller->answers().begin(), caller->answers().end());
    }
    std::this_thread::sleep_for(lateRuns);
    std::size_t served = 0;
    for (const Seen &seen : answers) {
        checkRuns(fleet, seen, findings);
        if (fleet.settings().plan == Plan::Handovers) {
            checkOverlaps(fleet, seen, findings);
        }
        if (planned) {
            checkAnswered(fleet, stops, seen, findings);
        }
        served += seen.whole && seen.status == statusOk ? 1 : 0;
    }
    checkTimeouts(fleet, answers, findings);
    std::cout << "seed " << fleet.settings().seed << ": " << answers.size() << " requests, "
              << served << " served whole, " << prober.probes() << " probes, "
              << script->played().size() << " faults, " << findings.all().size() << " findings\n";
    if (!findings.all().empty()) {
        for (const std::string &line : script->played()) {
            std::cout << "  " << line << "\n";
        }
    }
}

int run(const SoakOptions &options)
{
    Findings findings;
    std::filesystem::create_directories(options.folder);
    {
        SoakFleet fleet(options, findings);
        play(fleet, findings);
    }
    for (const Finding &finding : findings.all()) {
        std::cout << "FINDING seed " << options.seed << " " << finding.promise << ": "
                  << finding.detail << "\n";
    }
    if (findings.all().empty()) {
        std::filesystem::remove_all(options.folder);
        return exitSound;
    }
    std::cout << "logs are kept in " << options.folder << "\n";
    return exitFindings;
}

} // namespace
} // namespace azurespindle::soak

int main(int count, char **values)
{
    using namespace azurespindle;
    std::signal(SIGPIPE, SIG_IGN);
    cxxopts::Options description("azurespindle-soak", "Random faults on real processes.");
    description.add_options()("binary", "the azurespindle program", cxxopts::value<std::string>())(
        "seed", "draws the faults", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seconds", "time with faults", cxxopts::value<int>()->default_value("20"))(
        "processes", "routing processes", cxxopts::value<std::size_t>()->default_value("4"))(
        "plan", "random, stops, versions, handovers or eras",
        cxxopts::value<std::string>()->default_value("random"))(
        "port", "first of 8 ports a process and 281 more",
        cxxopts::value<std::uint16_t>()->default_value("23000"))(
        "folder", "for settings and logs", cxxopts::value<std::string>())("help", "prints this");
    try {
        const auto given = description.parse(count, values);
        if (given.count("help") > 0) {
            std::cout << description.help();
            return soak::exitSound;
        }
        soak::SoakOptions options;
        options.seed = given["seed"].as<std::uint64_t>();
        options.plan = soak::parsePlan(given["plan"].as<std::string>());
        options.plains = options.plan == soak::Plan::Stops ? 1 + options.seed % 3 : options.plains;
        options.processes = given["processes"].as<std::size_t>();
        options.engines = std::max(options.engines, options.processes);
        options.engines
            = options.plan == soak::Plan::Handovers ? 2 * options.engines : options.engines;
        options.duration = seconds(given["seconds"].as<int>());
        options.firstPort = given["port"].as<std::uint16_t>();
        options.binary = given["binary"].as<std::string>();
        options.folder = given["folder"].as<std::string>();
        journal::openLog(settings::LogFormat::Text, "/dev/null", "soak", journal::Severity::Error);
        return soak::run(options);
    } catch (const std::exception &error) {
        std::cerr << "azurespindle-soak: " << error.what() << "\n" << description.help();
        return soak::exitUsage;
    }
}
