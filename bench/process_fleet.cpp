#include "process_fleet.h"

#include "http/client.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace azurespindle::bench {
namespace {

constexpr std::size_t platformOffset = 0;
constexpr std::size_t serviceOffset = 1;
constexpr std::size_t engineOffset = 10;
constexpr std::size_t entryOffset = 100;

std::string zone(std::size_t index, std::size_t zones)
{
    return "zone-" + std::to_string(index % zones);
}

} // namespace

std::string fetchText(const std::string &url)
{
    http::ClientRequest request;
    request.url = url;
    request.totalTimeout = milliseconds(2'000);
    std::string body;
    const auto result = http::fetch(request, body);
    return result.end == http::TransferEnd::Complete ? body : std::string();
}

double counterValue(const std::string &exposition, const std::string &name)
{
    const std::size_t at = exposition.find("\n" + name + " ");
    return at == std::string::npos
        ? 0.0
        : std::strtod(exposition.c_str() + at + name.size() + 2, nullptr);
}

ProcessFleet::ProcessFleet(const FleetOptions &given) : options(given), entries(given.entries, 0)
{
    char pattern[] = "/tmp/azurespindle-bench-XXXXXX";
    this->folder = mkdtemp(pattern);
    this->writeDocuments();
    const std::string standin = this->options.binaries + "/azurespindle-standin";
    std::vector<std::string> engine {standin,    "engine",
                                     "--listen", this->address(engineOffset),
                                     "--count",  std::to_string(this->options.engines)};
    if (this->options.warmEngines) {
        engine.emplace_back("--warm");
    }
    this->others.push_back(this->spawn(engine));
    this->others.push_back(
        this->spawn({standin, "service", "--listen", this->address(serviceOffset)}));
    this->others.push_back(this->spawn(
        {standin, "platform", "--listen", this->address(platformOffset), "--configuration",
         this->folder + "/configuration.json", "--vms", this->folder + "/vms.json"}));
    for (std::size_t entry = 0; entry < this->options.entries; ++entry) {
        this->startEntry(entry);
    }
}

ProcessFleet::~ProcessFleet()
{
    for (const pid_t entry : this->entries) {
        if (entry > 0) {
            kill(entry, SIGCONT);
            kill(entry, SIGKILL);
        }
    }
    for (const pid_t other : this->others) {
        kill(other, SIGKILL);
    }
    for (const pid_t entry : this->entries) {
        if (entry > 0) {
            waitpid(entry, nullptr, 0);
        }
    }
    for (const pid_t other : this->others) {
        waitpid(other, nullptr, 0);
    }
    std::filesystem::remove_all(this->folder);
}

std::string ProcessFleet::address(std::size_t offset) const
{
    return "127.0.0.1:" + std::to_string(this->options.firstPort + offset);
}

std::string ProcessFleet::entryUrl(std::size_t entry) const
{
    return "http://" + this->address(entryOffset + entry * 2);
}

std::string ProcessFleet::zoneOfEngine(std::size_t engine) const
{
    return zone(engine, this->options.zones);
}

std::string ProcessFleet::configurationText(const std::string &furtherFields) const
{
    std::string text = R"({"revision":)" + std::to_string(this->currentRevision)
        + R"(,"models":[{"name":"m"}],"services":[{"name":"orders"}],)"
          R"("defaults":{"upstream":{"coldConcurrency":2,"maxConcurrency":48}})";
    return text + (furtherFields.empty() ? "}" : "," + furtherFields + "}");
}

void ProcessFleet::writeDocuments()
{
    std::ostringstream vms;
    vms << R"({"revision":1,"vms":[)";
    for (std::size_t engine = 0; engine < this->options.engines; ++engine) {
        vms << R"({"name":"e)" << engine << R"(","zone":")" << this->zoneOfEngine(engine)
            << R"(","role":"engine","serves":"m","address":")"
            << this->address(engineOffset + engine) << R"("},)";
    }
    vms << R"({"name":"s0","zone":"zone-0","role":"service","serves":"orders","address":")"
        << this->address(serviceOffset) << R"("}]})";
    std::ofstream(this->folder + "/vms.json") << vms.str();
    std::ofstream(this->folder + "/configuration.json") << this->configurationText("");
    for (std::size_t entry = 0; entry < this->options.entries; ++entry) {
        std::ofstream(this->folder + "/entry-" + std::to_string(entry) + ".json")
            << R"({"name":"entry-)" << entry << R"(","zone":")" << zone(entry, this->options.zones)
            << R"(","callerAddress":")" << this->address(entryOffset + entry * 2)
            << R"(","memberAddress":")" << this->address(entryOffset + entry * 2 + 1)
            << R"(","configurationService":"http://)" << this->address(platformOffset)
            << R"(","vmList":"http://)" << this->address(platformOffset) << R"(","seeds":[")"
            << this->address(entryOffset + 1) << R"(",")" << this->address(entryOffset + 3)
            << R"("],"logFile":")" << this->folder << "/entry-" << entry << R"(.log"})";
    }
}

pid_t ProcessFleet::spawn(const std::vector<std::string> &arguments)
{
    std::vector<char *> values;
    values.reserve(arguments.size() + 1);
    for (const std::string &argument : arguments) {
        values.push_back(const_cast<char *>(argument.c_str()));
    }
    values.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, "/dev/null", O_WRONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, "/dev/null", O_WRONLY, 0);
    pid_t id = 0;
    posix_spawn(&id, values.front(), &actions, nullptr, values.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    return id;
}

void ProcessFleet::startEntry(std::size_t entry)
{
    this->entries[entry]
        = this->spawn({this->options.binaries + "/azurespindle", "serve",
                       this->folder + "/entry-" + std::to_string(entry) + ".json"});
}

void ProcessFleet::signalEntry(std::size_t entry, int signal)
{
    kill(this->entries[entry], signal);
}

int ProcessFleet::waitEntry(std::size_t entry)
{
    int status = 0;
    waitpid(this->entries[entry], &status, 0);
    this->entries[entry] = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool ProcessFleet::waitReady()
{
    for (int turn = 0; turn < 150; ++turn) {
        bool ready = true;
        for (std::size_t entry = 0; entry < this->entries.size(); ++entry) {
            const bool running = this->entries[entry] > 0;
            ready
                = ready && (!running || fetchText(this->entryUrl(entry) + "/readyz") == "ready\n");
        }
        if (ready) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(100));
    }
    return false;
}

void ProcessFleet::configure(const std::string &furtherFields)
{
    this->currentRevision += 1;
    http::ClientRequest request;
    request.method = "PUT";
    request.url = "http://" + this->address(platformOffset) + "/configuration";
    request.body = this->configurationText(furtherFields);
    std::string body;
    http::fetch(request, body);
}

void ProcessFleet::platformFault(const std::string &kind)
{
    fetchText("http://" + this->address(platformOffset) + "/faults?kind=" + kind);
}

void ProcessFleet::engineFault(std::size_t engine, const std::string &kind, int ms)
{
    fetchText("http://" + this->address(engineOffset + engine) + "/faults?kind=" + kind
              + "&ms=" + std::to_string(ms));
}

std::string ProcessFleet::engineCounts(std::size_t engine) const
{
    return fetchText("http://" + this->address(engineOffset + engine) + "/counts");
}

std::string ProcessFleet::platformCounts() const
{
    return fetchText("http://" + this->address(platformOffset) + "/counts");
}

std::string ProcessFleet::serviceRuns() const
{
    return fetchText("http://" + this->address(serviceOffset) + "/runs");
}

Usage ProcessFleet::usage(std::size_t entry) const
{
    const std::string base = "/proc/" + std::to_string(this->entries[entry]);
    std::ifstream stat(base + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), std::istreambuf_iterator<char>());
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int field = 3; field < 14; ++field) {
        fields >> skipped;
    }
    double user = 0.0;
    double system = 0.0;
    fields >> user >> system;
    std::ifstream statm(base + "/statm");
    double total = 0.0;
    double resident = 0.0;
    statm >> total >> resident;
    const auto ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
    return {(user + system) / ticks, resident * static_cast<double>(sysconf(_SC_PAGESIZE))};
}

} // namespace azurespindle::bench
