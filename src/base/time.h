#pragma once

#include <chrono>

namespace persimmonfield {

// A clock that goes on while the machine is suspended (CLOCK_BOOTTIME), so that a lease cannot outlive a
// pause of the whole instance.
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

// Milliseconds since the epoch of the machine's wall clock; for people and for idempotency keys only.
Milliseconds wallClockNow();

}
