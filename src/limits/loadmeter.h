#pragma once

#include "base/time.h"

namespace persimmonfield {

// The mean of a level over about the last second, weighted by how long each level lasted and how lately. One
// reading of it says more than many samples of the level itself. Pure.
class LoadMeter {
public:
    // The level is another one from now on.
    void set(double level, TimePoint now);

    // Adds what lasts that long at a level of one, all at once.
    void add(Duration time, TimePoint now);

    double mean(TimePoint now) const;

private:
    double level_ = 0;
    double mean_ = 0; // As of `setAt_`.
    TimePoint setAt_;
};

}
