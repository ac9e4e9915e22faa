#ifndef AZURESPINDLE_TESTS_SUPPORT_SERVE_PROCESS_H
#define AZURESPINDLE_TESTS_SUPPORT_SERVE_PROCESS_H

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace azurespindle::tests {

/// An `azurespindle serve` in a process of its own, so that a test can measure its memory, and can
/// end it even if it hangs. It is killed at the end.
class ServeProcess
{
public:
    /// \param firstPort the first of 4 ports: callers, readiness, members, metrics.
    /// \param storePort port of the store on loopback.
    ServeProcess(std::uint16_t firstPort, std::uint16_t storePort);
    ~ServeProcess();
    ServeProcess(const ServeProcess &) = delete;
    ServeProcess &operator=(const ServeProcess &) = delete;

    // Commands

    void signal(int number) const;

    // Queries

    bool running() const;
    std::uint16_t callerPort() const { return this->firstPort; }
    /// Returns the status of the readiness endpoint; 0 if it does not answer within a second.
    int readiness() const;
    /// Returns the text of the metrics endpoint.
    std::string metrics() const;
    /// Returns the most memory that was resident so far, in bytes.
    std::size_t peakMemoryBytes() const;

private:
    const std::uint16_t firstPort;
    std::string settingsFile;
    pid_t process = -1;
};

} // namespace azurespindle::tests

#endif
