#ifndef AZURESPINDLE_TESTS_SOAK_SOAK_CALLER_H
#define AZURESPINDLE_TESTS_SOAK_SOAK_CALLER_H

#include "exchange.h"
#include "soak_fleet.h"
#include "stop_record.h"

#include <memory>
#include <random>
#include <thread>
#include <vector>

namespace azurespindle::soak {

/// How a caller chooses a process, treats its connections, and what it asks for. All but Steady
/// prefer processes that stop, ready or not, as the platform's balancer does when fewer than half
/// of a zone are ready.
enum class CallerStyle {
    Steady, ///< Sends one kind of request to ready processes, on a connection while it is open.
    Kept,   ///< Sends on one connection until it is gone.
    Fresh,  ///< Opens a connection for each request.
    Slow,   ///< As Fresh, for long answers that are read slowly.
    Holder, ///< Keeps a long draft open, and its process with it.
};

/// A caller that sends one request after the other, whatever happens to the process behind it.
class SoakCaller
{
public:
    SoakCaller(SoakFleet &fleet, Findings &findings, const StopRecord &stops, CallerStyle style,
               std::uint64_t number);
    ~SoakCaller();
    SoakCaller(const SoakCaller &) = delete;
    SoakCaller &operator=(const SoakCaller &) = delete;

    // Commands

    void stop();

    // Queries

    /// Returns the answers so far; to be called after stop().
    const std::vector<Seen> &answers() const { return this->seen; }

private:
    void run();
    bool connect();
    std::size_t chooseProcess();
    Request draw();
    void sendOne();
    std::uint64_t between(std::uint64_t least, std::uint64_t most);

    SoakFleet &fleet;
    Findings &findings;
    const StopRecord &stops;
    const CallerStyle style;
    const std::uint64_t number;
    std::mt19937_64 random;
    std::unique_ptr<tests::RawConnection> connection;
    std::size_t process = 0;
    std::uint64_t sent = 0;
    std::vector<Seen> seen;
    std::atomic<bool> stopping {false};
    std::thread thread;
};

} // namespace azurespindle::soak

#endif
