#pragma once

#include <chrono>

namespace persimmonfield {

// A monotonic clock that includes the time in which the machine is suspended (CLOCK_BOOTTIME), so that a
// lease also expires while the whole instance is paused.
struct BootClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): named by the standard

    static time_point now();
};

using TimePoint = BootClock::time_point;
using Duration = BootClock::duration;
using Milliseconds = std::chrono::milliseconds;

// Whole milliseconds, rounded towards zero.
inline Milliseconds toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration);
}

// Wall clock time in milliseconds since the epoch. Clocks of different machines differ.
Milliseconds wallClockNow();

}
