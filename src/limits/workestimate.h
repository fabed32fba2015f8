#pragma once

#include "base/time.h"

#include <map>
#include <string>

namespace persimmonfield {

// The usual work of a server for the requests of each route, and how far single requests differ from it, from
// the requests that the server has answered. Does no I/O and reads no clock.
class WorkEstimate {
public:
    void record(const std::string& route, Duration work);

    // The average work; zero for a route without samples.
    Duration mean(const std::string& route) const;

    // The work that most requests of the route do not exceed; zero for a route without samples.
    Duration likely(const std::string& route) const;

    // The work that is left of a request that has run for `elapsed`. One that has outlasted the average is
    // expected to go on, since it is a long one.
    Duration remaining(const std::string& route, Duration elapsed) const;

private:
    struct Sample {
        Duration mean { 0 };
        Duration deviation { 0 }; // Mean absolute deviation.
    };

    std::map<std::string, Sample> samples_; // Moving averages, by route.
};

}
