#ifndef AZURESPINDLE_TESTS_SOAK_STOP_CALLER_H
#define AZURESPINDLE_TESTS_SOAK_STOP_CALLER_H

#include "planned_work.h"
#include "soak_caller.h"

namespace azurespindle::soak {

/// How a caller treats its connections.
enum class CallerStyle {
    Kept,   ///< Sends on one connection until it is gone.
    Fresh,  ///< Opens a connection for each request.
    Slow,   ///< As Fresh, for long answers that are read slowly.
    Holder, ///< Keeps a long draft open, and its process with it.
};

const char *name(CallerStyle style);

/// A caller that prefers processes that are being stopped, whether they say that they are ready or
/// not, as the platform's balancer does when fewer than half of a zone are ready.
class StopCaller
{
public:
    StopCaller(SoakFleet &fleet, Findings &findings, const PlannedWork &work, CallerStyle style,
               std::uint64_t number);
    ~StopCaller();
    StopCaller(const StopCaller &) = delete;
    StopCaller &operator=(const StopCaller &) = delete;

    // Commands

    void stop();

    // Queries

    /// Returns the answers so far; to be called after stop().
    const std::vector<Seen> &answers() const { return this->seen; }

private:
    void run();
    void chooseProcess();
    Request draw();
    void sendOne();

    SoakFleet &fleet;
    Findings &findings;
    const PlannedWork &work;
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
