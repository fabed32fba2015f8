#include "base/time.h"

#include <ctime>

namespace persimmonfield {

BootClock::time_point BootClock::now()
{
    timespec value {};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec));
}

Milliseconds wallClockNow()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

}
