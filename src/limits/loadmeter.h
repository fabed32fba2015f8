#pragma once

#include "base/time.h"

namespace persimmonfield {

// Exponentially decaying, time-weighted mean of a level over about the last second. One reading describes the
// load better than many samples of the level itself. Does no I/O and reads no clock.
class LoadMeter {
public:
    // Sets the level from now on.
    void set(double level, TimePoint now);

    // Adds at once what a level of one would have added to the mean if it had lasted for `time`.
    void add(Duration time, TimePoint now);

    double mean(TimePoint now) const;

private:
    double level_ = 0;
    double mean_ = 0; // As of `updatedAt_`.
    TimePoint updatedAt_;
};

}
