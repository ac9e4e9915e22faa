#ifndef AZURESPINDLE_TESTS_CROWD_ENTRY_UNDER_LOAD_H
#define AZURESPINDLE_TESTS_CROWD_ENTRY_UNDER_LOAD_H

#include "platform/fake_platform.h"

#include <cstdint>
#include <string>
#include <sys/types.h>

namespace azurespindle::tests {

/// One entry process as it is deployed, with a store and a plain upstream on loopback. Its limits
/// are lowered, so that a small number of callers reaches them.
class EntryUnderLoad
{
public:
    /// Largest header of a request, in bytes.
    static constexpr std::size_t headerBytes = 4'096;
    /// Largest body of a request, in bytes.
    static constexpr std::size_t bodyBytes = 1'048'576;
    /// Memory of the VM, in MiB.
    static constexpr std::size_t memoryMegabytes = 64;
    /// File descriptors that the process is permitted.
    static constexpr std::size_t descriptors = 512;

    /// Starts the process and waits until it answers a request.
    /// \param firstPort first of six ports in a row.
    explicit EntryUnderLoad(std::uint16_t firstPort);
    ~EntryUnderLoad();
    EntryUnderLoad(const EntryUnderLoad &) = delete;
    EntryUnderLoad &operator=(const EntryUnderLoad &) = delete;

    std::uint16_t callerPort() const { return this->firstPort; }
    /// Returns true if the process has not ended.
    bool alive() const;
    /// Returns the largest resident memory since the start, in bytes; 0 if the process has ended.
    std::size_t peakResidentBytes() const;
    std::size_t openDescriptors() const;
    /// Returns true if a small request gets status 200 within \a patience, over several tries.
    bool answersOrdinaryRequest(milliseconds patience) const;

private:
    void writeSettings() const;
    void publish();
    void startProcess();
    std::uint16_t port(std::size_t offset) const;

    const std::uint16_t firstPort;
    const std::string settingsFile;
    FakeStore store;
    FakeService service;
    pid_t process = 0;
};

} // namespace azurespindle::tests

#endif
