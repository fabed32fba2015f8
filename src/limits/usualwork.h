#pragma once

#include "base/time.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace persimmonfield {

// The work that a backend server's requests usually take, by route, learned from its answers. It is split
// into a level for each route and one slowness of the server, which all routes share. So routes can be
// compared with each other, and a single slow route does not make the server appear slow.
//
// The slowness is the median of the last nine blocks of 200 ms. A disturbance of 400 ms does not change it; a
// lasting change is followed after 1 s, if the server answers at least 20 requests a second. Does no I/O and
// reads no clock.
class UsualWork {
public:
    // Records an answer after `latency`. `pace` is the time that work takes on the server's machine relative
    // to the usual one, as far as it is known. Returns the slowness of this sample: the natural logarithm of
    // its latency relative to the level of its route.
    double add(const std::string& route, Duration latency, double pace, TimePoint now);

    // Median latency of the route at the usual pace; zero if the route is unknown.
    Duration work(const std::string& route) const;

    // Natural logarithm of the factor by which the server is slower than when its routes' levels were set.
    double slowness() const { return slowness_; }

    void reset();

private:
    struct Sample {
        std::string route;
        double logLatency;
    };

    void endBlock();

    std::map<std::string, double> levels_; // Logarithms of latencies in nanoseconds.
    std::vector<Sample> block_;
    TimePoint blockBegan_;
    std::deque<double> blockSlowness_;
    double slowness_ = 0;
};

// The median; zero if there are no values.
double medianOf(std::vector<double> values);

}
