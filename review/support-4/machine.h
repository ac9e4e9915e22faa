#ifndef REVIEW_SUPPORT_4_MACHINE_H
#define REVIEW_SUPPORT_4_MACHINE_H

// What the cases about memory share: the platform, which kills a process that exceeds the memory of
// its machine, and ordinary callers with orders under way.

#include "harness.h"

#include <algorithm>

namespace review {

constexpr std::size_t kilobytesPerMegabyte = 1'024;
/// LOST: so many requests that were passed on may end without an answer.
constexpr std::size_t lostAllowed = 3;
constexpr std::size_t orderCallers = 12;
constexpr milliseconds orderWork {1'000};
constexpr milliseconds orderPause {50};
/// Time between the starts of two callers, so that their orders are under way at different times.
constexpr milliseconds orderStagger {85};
constexpr int orderTimeoutMs = 3'000;

/// A machine with its process. "A process that exceeds memory_mb is killed" (DEPLOY.md).
struct Machine
{
    std::unique_ptr<EntryProcess> process;
    std::size_t memoryKilobytes = 0;
    std::size_t peakKilobytes = 0;

    /// Kills the process if its memory exceeds that of the machine. \return true if it has ended.
    bool exceedsMemory(Record &record)
    {
        const std::size_t resident = this->process->kilobytes("VmRSS");
        this->peakKilobytes = std::max(this->peakKilobytes, resident);
        const bool lives = this->process->alive();
        if (lives && resident <= this->memoryKilobytes) {
            return false;
        }
        if (lives) {
            this->process->kill();
        }
        record.line("resident " + std::to_string(resident) + " kB of "
                    + std::to_string(this->memoryKilobytes)
                    + " kB: " + (lives ? "killed by the platform" : "the process had ended"));
        return true;
    }
};

/// Starts a process on a machine. \return no process if it does not get ready.
inline Machine startMachine(const std::string &folder, std::uint16_t storePort, unsigned memoryMb)
{
    Machine machine;
    const std::uint16_t memberPort = freePort();
    machine.memoryKilobytes = memoryMb * kilobytesPerMegabyte;
    machine.process
        = std::make_unique<EntryProcess>(folder, "entry-1", "north", storePort,
                                         std::vector {loopback(memberPort)}, memoryMb, memberPort);
    if (!machine.process->waitReady(milliseconds(20'000))) {
        machine.process.reset();
    }
    return machine;
}

/// Ordinary callers, each of which places one order after the other on a kept connection.
class OrderCallers
{
public:
    OrderCallers(std::uint16_t port, const PlainServer &desk) : port(port), desk(desk)
    {
        for (std::size_t index = 0; index < orderCallers; ++index) {
            this->threads.emplace_back([this, index] { this->call(index); });
        }
    }

    void stop()
    {
        this->stopping = true;
        for (std::thread &thread : this->threads) {
            thread.join();
        }
        this->threads.clear();
    }

    std::size_t answeredCount() const { return this->answered; }
    /// Returns how many orders the server began to run whose kept connection ended without an
    /// answer.
    std::size_t lostCount() const { return this->lost; }

    std::string text() const
    {
        return "orders answered: " + std::to_string(this->answered)
            + ", passed on and ended without an answer: " + std::to_string(this->lost);
    }

private:
    static std::string request(const std::string &id)
    {
        return "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nAzurespindle-Attempt-Id: " + id
            + "\r\nAzurespindle-Deadline-Ms: " + std::to_string(orderTimeoutMs)
            + "\r\nAzurespindle-Key: key-of-gates\r\nContent-Length: 5\r\n\r\norder";
    }

    void call(std::size_t caller)
    {
        Connection connection;
        sleepFor(orderStagger * static_cast<int>(caller));
        if (!connection.connect(this->port)) {
            return;
        }
        for (std::size_t number = 0; !this->stopping; ++number) {
            const std::string id = "order-" + std::to_string(caller) + "-" + std::to_string(number);
            Message answer;
            const bool sent = connection.send(request(id));
            const ReadEnd end = sent ? connection.read(answer, milliseconds(orderTimeoutMs + 500))
                                     : ReadEnd::Closed;
            if (end == ReadEnd::Complete) {
                this->answered += 1;
                sleepFor(orderPause);
                continue;
            }
            const bool kept = number > 0;
            this->lost += end == ReadEnd::Closed && kept && this->desk.hasRun(id) ? 1 : 0;
            return;
        }
    }

    const std::uint16_t port;
    const PlainServer &desk;
    std::atomic<bool> stopping {false};
    std::atomic<std::size_t> answered {0};
    std::atomic<std::size_t> lost {0};
    std::vector<std::thread> threads;
};

} // namespace review

#endif
