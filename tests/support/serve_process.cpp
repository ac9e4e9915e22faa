#include "support/serve_process.h"

#include "http/client.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace azurespindle::tests {
namespace {

constexpr int exitNotStarted = 127;
constexpr std::size_t bytesPerKilobyte = 1'024;
constexpr milliseconds answerTimeout {1'000};

std::string address(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/// Returns the path of the program, which is built beside the tests.
std::string programPath()
{
    return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / "azurespindle")
        .string();
}

} // namespace

ServeProcess::ServeProcess(std::uint16_t firstPort, std::uint16_t storePort)
    : firstPort(firstPort),
      settingsFile((std::filesystem::temp_directory_path()
                    / ("serve-" + std::to_string(::getpid()) + "-" + std::to_string(firstPort)))
                       .string())
{
    const nlohmann::json settings {{"name", "entry-" + std::to_string(firstPort)},
                                   {"zone", "north"},
                                   {"callerAddress", address(firstPort)},
                                   {"readyAddress", address(firstPort + 1)},
                                   {"memberAddress", address(firstPort + 2)},
                                   {"metricsAddress", address(firstPort + 3)},
                                   {"publisherAddress", address(storePort)},
                                   {"seeds", {address(firstPort + 2)}},
                                   {"descriptors", 8'192}};
    std::ofstream(this->settingsFile) << settings.dump();
    std::string program = programPath();
    std::string verb = "serve";
    char *const arguments[] = {program.data(), verb.data(), this->settingsFile.data(), nullptr};
    this->process = ::fork();
    if (this->process < 0) {
        throw std::runtime_error("cannot start a process");
    }
    if (this->process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // It ends with the test, however that ends.
        const int output = ::open("/dev/null", O_WRONLY);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execv(program.c_str(), arguments);
        ::_exit(exitNotStarted);
    }
}

ServeProcess::~ServeProcess()
{
    this->signal(SIGKILL);
    ::waitpid(this->process, nullptr, 0);
    std::filesystem::remove(this->settingsFile);
}

void ServeProcess::signal(int number) const
{
    ::kill(this->process, number);
}

bool ServeProcess::running() const
{
    siginfo_t info {};
    return ::waitid(P_PID, static_cast<id_t>(this->process), &info, WEXITED | WNOHANG | WNOWAIT)
        == 0
        && info.si_pid == 0;
}

int ServeProcess::readiness() const
{
    http::ClientRequest request;
    request.url = "http://" + address(this->firstPort + 1) + "/readyz";
    request.totalTimeout = answerTimeout;
    std::string body;
    return http::fetch(request, body).status;
}

std::string ServeProcess::metrics() const
{
    http::ClientRequest request;
    request.url = "http://" + address(this->firstPort + 3) + "/metrics";
    request.totalTimeout = answerTimeout;
    std::string body;
    http::fetch(request, body);
    return body;
}

std::size_t ServeProcess::peakMemoryBytes() const
{
    std::ifstream status("/proc/" + std::to_string(this->process) + "/status");
    std::string word;
    while (status >> word) {
        if (word == "VmHWM:") {
            std::size_t kilobytes = 0;
            status >> kilobytes;
            return kilobytes * bytesPerKilobyte;
        }
    }
    return 0;
}

} // namespace azurespindle::tests
