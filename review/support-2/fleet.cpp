#include "fleet.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <stdexcept>

namespace review {
namespace {

using nlohmann::json;

constexpr const char *program = "target/azurespindle";
constexpr int exitNotStarted = 127;
constexpr int statusOk = 200;
constexpr double pollMs = 20.0;
constexpr const char *key = "key-of-gates";
constexpr int answerMarginMs = 1'500;

std::string onLoopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string temporaryDirectory()
{
    std::string path = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(path.data()) == nullptr) {
        throw std::runtime_error("cannot make a temporary folder");
    }
    return path;
}

HttpMessage askWith(KeptConnection &connection, Record &record, const Machine &machine,
                    const std::string &method, const std::string &target, const std::string &id,
                    int deadlineMs, const std::string &body,
                    const std::vector<std::pair<std::string, std::string>> &further)
{
    std::vector<std::pair<std::string, std::string>> headers {
        {"Host", "shop.example"},
        {"Azurespindle-Attempt-Id", id},
        {"Azurespindle-Deadline-Ms", std::to_string(deadlineMs)},
        {"Azurespindle-Key", key}};
    headers.insert(headers.end(), further.begin(), further.end());
    const std::string to = machine.options.name;
    record.line("client sends " + method + " " + target + " id " + id + " to " + to);
    HttpMessage answer
        = connection.call(method, target, headers, body, milliseconds(deadlineMs + answerMarginMs));
    record.line("client of " + id + " got " + std::to_string(answer.status)
                + (answer.complete ? "" : " (incomplete)") + " from " + to);
    return answer;
}

} // namespace

int runCase(int count, char **values, const std::function<Verdict(const CaseOptions &)> &play)
{
    std::signal(SIGPIPE, SIG_IGN);
    CaseOptions options;
    options.recordFile = count > 1 ? values[1] : "record.txt";
    const char *trouble = std::getenv("TROUBLE");
    options.trouble = trouble == nullptr || std::string(trouble) != "0";
    try {
        if (!std::filesystem::exists(program)) {
            throw std::runtime_error(std::string(program) + " is not built");
        }
        const Verdict verdict = play(options);
        const char *text = verdict == Verdict::Held ? "the rule held"
            : verdict == Verdict::Broken            ? "the rule was broken"
                                                    : "the case could not run";
        std::cout << text << std::endl;
        return static_cast<int>(verdict);
    } catch (const std::exception &error) {
        std::cout << "the case could not run: " << error.what() << std::endl;
        return static_cast<int>(Verdict::CouldNotRun);
    }
}

void say(Record &record, const std::string &text)
{
    record.line("== " + text);
    std::cout << text << std::endl;
}

Machine::Machine(MachineOptions given)
    : options(std::move(given)), callerPort(freePort()), readyPort(freePort()),
      memberPort(freePort()), metricsPort(freePort()), directory(temporaryDirectory())
{
    this->writeSettings();
}

Machine::~Machine()
{
    if (this->process > 0) {
        this->signal(SIGKILL);
        ::waitpid(this->process, nullptr, 0);
    }
    std::filesystem::remove_all(this->directory);
}

std::string Machine::memberAddress() const
{
    return onLoopback(this->memberPort);
}

void Machine::writeSettings() const
{
    json regions;
    for (const std::string &zone : this->options.zones) {
        regions[zone] = "tx-central";
    }
    const std::string seed
        = this->options.seed.empty() ? this->memberAddress() : this->options.seed;
    // The fields of deploy/settings.json, with the figures of the small site.
    const json settings {{"name", this->options.name},
                         {"zone", this->options.zone},
                         {"callerAddress", onLoopback(this->callerPort)},
                         {"readyAddress", onLoopback(this->readyPort)},
                         {"readyPath", "/v1/readyz"},
                         {"memberAddress", this->memberAddress()},
                         {"metricsAddress", onLoopback(this->metricsPort)},
                         {"publisherAddress", onLoopback(this->options.storePort)},
                         {"seeds", {seed}},
                         {"regionOfZone", regions},
                         {"logFormat", "json"},
                         {"descriptors", 4100},
                         {"processorShare", 0.25},
                         {"linkMegabits", 1000.0},
                         {"memoryMegabytes", 110},
                         {"bounds",
                          {{"retryShare", 0.2},
                           {"retryBurst", 58},
                           {"retryWindowSeconds", 10},
                           {"stopSeconds", 8}}}};
    std::ofstream(this->directory + "/settings.json") << settings.dump(2);
}

void Machine::start()
{
    const std::string settings = this->directory + "/settings.json";
    const std::string log = this->directory + "/log";
    const pid_t parent = ::getpid();
    this->process = ::fork();
    if (this->process < 0) {
        throw std::runtime_error("cannot start a process");
    }
    if (this->process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::signal(SIGPIPE, SIG_DFL);
        if (::getppid() == parent) {
            ::execl(program, program, "serve", settings.c_str(), nullptr);
        }
        ::_exit(exitNotStarted);
    }
    this->started = nowMs();
}

void Machine::signal(int number) const
{
    ::kill(this->process, number);
}

bool Machine::running()
{
    if (this->process > 0 && ::waitpid(this->process, nullptr, WNOHANG) != 0) {
        this->process = -1;
    }
    return this->process > 0;
}

bool Machine::waitForEnd(milliseconds patience)
{
    const double until = nowMs() + static_cast<double>(patience.count());
    while (this->running() && nowMs() < until) {
        sleepMs(pollMs);
    }
    return !this->running();
}

bool Machine::waitUntilReady(milliseconds patience) const
{
    const double until = nowMs() + static_cast<double>(patience.count());
    while (nowMs() < until) {
        const HttpMessage answer
            = call(this->readyPort, "GET", "/v1/readyz", {}, "", milliseconds(500));
        if (answer.status == statusOk) {
            return true;
        }
        sleepMs(pollMs);
    }
    return false;
}

HttpMessage ask(Record &record, const Machine &machine, const std::string &method,
                const std::string &target, const std::string &id, int deadlineMs,
                const std::string &body,
                const std::vector<std::pair<std::string, std::string>> &further)
{
    KeptConnection connection(machine.port());
    return askWith(connection, record, machine, method, target, id, deadlineMs, body, further);
}

HttpMessage askOn(KeptConnection &connection, Record &record, const Machine &machine,
                  const std::string &method, const std::string &target, const std::string &id,
                  int deadlineMs, const std::string &body)
{
    return askWith(connection, record, machine, method, target, id, deadlineMs, body, {});
}

json route(const std::string &name, const std::string &kind, const std::string &service,
           int timeoutMs, int targetLatencyMs, int maxAttempts)
{
    return {{"name", name},
            {"host", "shop.example"},
            {"path_prefix", "/" + name + "/"},
            {"route_kind", kind},
            {"service", service},
            {"timeout_ms", timeoutMs},
            {"target_latency_ms", targetLatencyMs},
            {"priority", 2},
            {"max_attempts", maxAttempts},
            {"public", false}};
}

json configuration(std::uint64_t version, const std::vector<json> &routes,
                   const std::vector<json> &services)
{
    return {{"version", version},
            {"routes", routes},
            {"services", services},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 4194304},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}},
            {"tenants", json::array({{{"name", "gates"}, {"api_keys", {key}}, {"priority", 1}}})}};
}

} // namespace review
