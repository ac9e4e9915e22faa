#ifndef REVIEW_SUPPORT_4_MACHINE_H
#define REVIEW_SUPPORT_4_MACHINE_H

// The platform's part in the cases about memory: "A process that exceeds memory_mb is killed", and
// "a process that exits or is killed is restarted after a short delay" (DEPLOY.md).

#include "harness.h"

#include <algorithm>

namespace review {

constexpr std::size_t kilobytesPerMegabyte = 1'024;
constexpr milliseconds restartDelay {500};
/// Fault: so many ends on so many machines make the day count 0.
constexpr std::size_t endsForFault = 3;
constexpr std::size_t machinesForFault = 2;

/// A machine with its process and what became of it.
struct Machine
{
    std::string name;
    std::unique_ptr<EntryProcess> process;
    std::size_t memoryKilobytes = 0;
    std::size_t ends = 0;
    std::size_t peakKilobytes = 0;
    std::optional<Clock::time_point> restartAt;

    /// Kills the process if it exceeds the machine's memory, and starts it again after a while.
    /// \param state is added to the record of an end.
    void watch(Record &record, const std::string &state)
    {
        if (this->restartAt) {
            if (Clock::now() >= *this->restartAt) {
                this->restartAt.reset();
                this->process->start();
                record.line(this->name + ": started again");
            }
            return;
        }
        const std::size_t resident = this->process->kilobytes("VmRSS");
        this->peakKilobytes = std::max(this->peakKilobytes, resident);
        const bool lives = this->process->alive();
        if (lives && resident <= this->memoryKilobytes) {
            return;
        }
        if (lives) {
            this->process->kill();
        }
        this->ends += 1;
        this->restartAt = Clock::now() + restartDelay;
        record.line(this->name + ": resident " + std::to_string(resident) + " kB of "
                    + std::to_string(this->memoryKilobytes) + " kB: "
                    + (lives ? "killed by the platform" : "the process had ended") + ", end "
                    + std::to_string(this->ends) + "; " + state);
    }
};

/// Starts a process on each of \a count machines, which know each other, and waits until all are
/// ready. \return no machines if one does not get ready.
inline std::vector<Machine> startMachines(std::size_t count, const std::string &folder,
                                          std::uint16_t storePort, unsigned memoryMb)
{
    std::vector<std::uint16_t> memberPorts;
    std::vector<std::string> seeds;
    for (std::size_t index = 0; index < count; ++index) {
        memberPorts.push_back(freePort());
        seeds.push_back(loopback(memberPorts.back()));
    }
    std::vector<Machine> machines(count);
    for (std::size_t index = 0; index < count; ++index) {
        Machine &machine = machines[index];
        machine.name = "entry-" + std::to_string(index + 1);
        machine.memoryKilobytes = memoryMb * kilobytesPerMegabyte;
        machine.process = std::make_unique<EntryProcess>(folder, machine.name, "north", storePort,
                                                         seeds, memoryMb, memberPorts[index]);
    }
    for (const Machine &machine : machines) {
        if (!machine.process->waitReady(milliseconds(20'000))) {
            return {};
        }
    }
    return machines;
}

/// Returns how many machines have had as many ends as the rule counts.
inline std::size_t faultyMachines(const std::vector<Machine> &machines)
{
    std::size_t count = 0;
    for (const Machine &machine : machines) {
        count += machine.ends >= endsForFault ? 1 : 0;
    }
    return count;
}

} // namespace review

#endif
