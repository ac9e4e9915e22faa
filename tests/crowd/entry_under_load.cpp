#include "crowd/entry_under_load.h"

#include "support/raw_connection.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace azurespindle::tests {
namespace {

using nlohmann::json;

constexpr std::size_t readyOffset = 1;
constexpr std::size_t memberOffset = 2;
constexpr std::size_t metricsOffset = 3;
constexpr std::size_t storeOffset = 4;
constexpr std::size_t serviceOffset = 5;
constexpr milliseconds startPatience {30'000};
constexpr milliseconds retryInterval {100};
constexpr milliseconds responsePatience {2'000};
constexpr std::size_t bytesPerKilobyte = 1'024;

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string settingsPath(std::uint16_t port)
{
    const std::filesystem::path folder = std::filesystem::temp_directory_path();
    return (folder
            / ("azurespindle-crowd-" + std::to_string(getpid()) + "-" + std::to_string(port)
               + ".json"))
        .string();
}

} // namespace

EntryUnderLoad::EntryUnderLoad(std::uint16_t firstPort)
    : firstPort(firstPort), settingsFile(settingsPath(firstPort)), store(this->port(storeOffset)),
      service("desk-1", this->port(serviceOffset))
{
    this->publish();
    this->writeSettings();
    this->startProcess();
    if (!this->answersOrdinaryRequest(startPatience)) {
        throw std::runtime_error("the entry process does not serve");
    }
}

EntryUnderLoad::~EntryUnderLoad()
{
    if (this->process > 0) {
        kill(this->process, SIGKILL);
        waitpid(this->process, nullptr, 0);
    }
    std::filesystem::remove(this->settingsFile);
}

std::uint16_t EntryUnderLoad::port(std::size_t offset) const
{
    return static_cast<std::uint16_t>(this->firstPort + offset);
}

void EntryUnderLoad::publish()
{
    json configuration = json::parse(platformConfiguration(1));
    // The timeouts are long enough for a slow machine to send everything.
    configuration["limits"] = {{"max_header_bytes", headerBytes},
                               {"max_body_bytes", bodyBytes},
                               {"header_timeout_ms", 60'000},
                               {"idle_timeout_ms", 60'000}};
    this->store.put("op/config", configuration.dump());
    this->store.put("servers/desk-1", this->service.registration());
}

void EntryUnderLoad::writeSettings() const
{
    const json settings {{"name", "entry-1"},
                         {"zone", "north"},
                         {"callerAddress", loopback(this->callerPort())},
                         {"readyAddress", loopback(this->port(readyOffset))},
                         {"memberAddress", loopback(this->port(memberOffset))},
                         {"metricsAddress", loopback(this->port(metricsOffset))},
                         {"publisherAddress", loopback(this->port(storeOffset))},
                         {"seeds", {loopback(this->port(memberOffset))}},
                         {"descriptors", descriptors},
                         {"memoryMegabytes", memoryMegabytes}};
    std::ofstream(this->settingsFile) << settings.dump(2);
}

void EntryUnderLoad::startProcess()
{
    std::string binary = ENTRY_BINARY;
    std::string verb = "serve";
    std::string settings = this->settingsFile;
    char *const arguments[] = {binary.data(), verb.data(), settings.data(), nullptr};
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, "/dev/null", O_WRONLY, 0);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error
        = posix_spawn(&this->process, binary.c_str(), &actions, nullptr, arguments, environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        this->process = 0;
        throw std::runtime_error(binary + " could not be started");
    }
}

bool EntryUnderLoad::alive() const
{
    siginfo_t ended {};
    const int result
        = waitid(P_PID, static_cast<id_t>(this->process), &ended, WEXITED | WNOHANG | WNOWAIT);
    return result == 0 && ended.si_pid == 0;
}

std::size_t EntryUnderLoad::peakResidentBytes() const
{
    std::ifstream status("/proc/" + std::to_string(this->process) + "/status");
    std::string line;
    std::size_t kilobytes = 0;
    while (std::getline(status, line)) {
        if (std::sscanf(line.c_str(), "VmHWM: %zu", &kilobytes) == 1) {
            return kilobytes * bytesPerKilobyte;
        }
    }
    return 0;
}

std::size_t EntryUnderLoad::openDescriptors() const
{
    std::size_t count = 0;
    std::error_code error;
    const std::string folder = "/proc/" + std::to_string(this->process) + "/fd";
    for (std::filesystem::directory_iterator entry(folder, error), end; !error && entry != end;
         entry.increment(error)) {
        count += 1;
    }
    return count;
}

bool EntryUnderLoad::answersOrdinaryRequest(milliseconds patience) const
{
    const std::string request = "POST /look/at HTTP/1.1\r\nHost: shop.example\r\n"
                                "Azurespindle-Attempt-Id: ordinary\r\nAzurespindle-Key: k1\r\n"
                                "Connection: close\r\nContent-Length: 5\r\n\r\nhello";
    const Instant deadline = monotonicNow() + patience;
    while (monotonicNow() < deadline) {
        const RawConnection caller(this->callerPort());
        if (caller.connected()) {
            caller.send(request);
            const std::string response = caller.readAll(responsePatience);
            if (response.rfind("HTTP/1.1 200", 0) == 0) {
                return true;
            }
        }
        std::this_thread::sleep_for(retryInterval);
    }
    return false;
}

} // namespace azurespindle::tests
