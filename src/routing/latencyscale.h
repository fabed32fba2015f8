#pragma once

#include "base/time.h"

#include <map>
#include <string>

namespace persimmonfield {

// Scales latencies by the average of their routes, so that servers can be compared whichever routes they
// serve. Does no I/O and reads no clock.
class LatencyScale {
public:
    // The latency that the average of each route is scaled to.
    static constexpr Duration reference = Milliseconds(100);

    // Adds the sample to the average of the route and returns it scaled to the latency that all averages are
    // scaled to.
    Duration scaled(const std::string& route, Duration sample);

private:
    std::map<std::string, Duration> averages_; // Moving averages, by route.
};

}
