#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace persimmonfield {

// Counts of what the servers of one version answered on one route. Times are counted in buckets whose bounds
// grow by half an octave, from 1 ms.
struct RolloutFigures {
    static constexpr size_t timeBuckets = 32;

    int64_t answers = 0; // Including failures.
    int64_t failures = 0; // Answers that report an error of the server, and runs that were lost.
    std::array<int64_t, timeBuckets> times {}; // Of successful answers of warm servers.

    // The bucket that contains the time; the last one contains all longer times.
    static size_t bucketOf(Duration time);

    RolloutFigures& operator+=(const RolloutFigures& other);
    RolloutFigures& operator-=(const RolloutFigures& other);

    // The number of counted times.
    int64_t timed() const;
    // The number of counted times in this bucket and all longer ones.
    int64_t timedFrom(size_t bucket) const;
};

using FiguresByRoute = std::map<std::string, RolloutFigures>;

}
