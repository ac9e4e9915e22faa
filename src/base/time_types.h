#ifndef AZURESPINDLE_BASE_TIME_TYPES_H
#define AZURESPINDLE_BASE_TIME_TYPES_H

#include <chrono>
#include <ctime>

namespace azurespindle {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Clock type of time points from the monotonic clock or from the virtual time of a test. It has no
/// now(): decision code receives the time as an argument, so that a recorded session replays
/// exactly.
struct MonotonicTime
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = microseconds;
    using time_point = std::chrono::time_point<MonotonicTime>;
};

/// Time point in microseconds since an arbitrary origin that has no meaning outside this process.
using Instant = MonotonicTime::time_point;

/// Returns the current monotonic time of the machine.
///
/// Reads CLOCK_BOOTTIME rather than CLOCK_MONOTONIC, because leases must also expire while the
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
