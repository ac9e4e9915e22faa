#ifndef AZURESPINDLE_REVIEW_SUPPORT_2_FLEET_H
#define AZURESPINDLE_REVIEW_SUPPORT_2_FLEET_H

#include "platform.h"

#include <sys/types.h>

#include <string>
#include <vector>

namespace review {

enum class Verdict { Held = 0, Broken = 1, CouldNotRun = 2 };

/// How a case is run, from its command line and environment.
struct CaseOptions
{
    std::string recordFile;
    bool trouble = true; ///< False with TROUBLE=0 in the environment.
};

/// Runs a case: prints its verdict and returns its exit code.
int runCase(int count, char **values, const std::function<Verdict(const CaseOptions &)> &play);

/// Prints a line and writes it into the record.
void say(Record &record, const std::string &text);

struct MachineOptions
{
    std::string name;
    std::string zone;
    std::uint16_t storePort = 0;
    std::vector<std::string> zones; ///< Of the whole deployment; all are in one area.
    std::string seed;               ///< Address of the first machine's members; empty: its own.
};

/// A machine of the system: the deploy file's program with rendered settings.
class Machine
{
public:
    explicit Machine(MachineOptions options);
    ~Machine();
    Machine(const Machine &) = delete;
    Machine &operator=(const Machine &) = delete;

    void start();
    void signal(int number) const;
    /// Waits until the process has ended.
    bool waitForEnd(milliseconds patience);
    /// Waits until the machine says that it is ready.
    bool waitUntilReady(milliseconds patience) const;

    bool running();
    double startedAt() const { return this->started; }
    std::uint16_t port() const { return this->callerPort; }
    std::string memberAddress() const;
    const MachineOptions options;

private:
    void writeSettings() const;

    const std::uint16_t callerPort;
    const std::uint16_t readyPort;
    const std::uint16_t memberPort;
    const std::uint16_t metricsPort;
    std::string directory;
    pid_t process = -1;
    double started = 0.0;
};

/// Sends a request of a client, with a key of the tenant, and records what is answered.
HttpMessage ask(Record &record, const Machine &machine, const std::string &method,
                const std::string &target, const std::string &id, int deadlineMs,
                const std::string &body = "",
                const std::vector<std::pair<std::string, std::string>> &further = {});

/// The same on a connection that is kept open.
HttpMessage askOn(KeptConnection &connection, Record &record, const Machine &machine,
                  const std::string &method, const std::string &target, const std::string &id,
                  int deadlineMs, const std::string &body = "");

/// Returns a route of a configuration, of the host shop.example.
nlohmann::json route(const std::string &name, const std::string &kind, const std::string &service,
                     int timeoutMs, int targetLatencyMs, int maxAttempts);
/// Returns a configuration with one tenant, whose key ask() sends.
nlohmann::json configuration(std::uint64_t version, const std::vector<nlohmann::json> &routes,
                             const std::vector<nlohmann::json> &services);

} // namespace review

#endif
