#ifndef AZURESPINDLE_BASE_TIME_TYPES_H
#define AZURESPINDLE_BASE_TIME_TYPES_H

#include <chrono>
#include <ctime>

namespace azurespindle {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Clock tag for instants that may come from the monotonic clock or from a test's virtual time.
/// It has no now(): pure code is always told the time, so that a recorded session replays exactly.
struct MonotonicTime
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = microseconds;
    using time_point = std::chrono::time_point<MonotonicTime>;
};

/// A moment in microseconds since an origin that means nothing outside this process.
using Instant = MonotonicTime::time_point;

/// Returns the current monotonic time of the machine.
///
/// It is CLOCK_BOOTTIME rather than CLOCK_MONOTONIC because a lease must also age while the
/// machine is suspended.
inline Instant monotonicNow()
{
    constexpr std::int64_t microsecondsPerSecond = 1'000'000;
    constexpr std::int64_t nanosecondsPerMicrosecond = 1'000;
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant(microseconds(time.tv_sec * microsecondsPerSecond
                                + time.tv_nsec / nanosecondsPerMicrosecond));
}

/// Returns \a duration in seconds as a floating-point number.
inline double inSeconds(microseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace azurespindle

#endif
