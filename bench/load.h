#pragma once

#include "base/time.h"
#include "fleet/fleet.h"

#include <functional>
#include <string>
#include <vector>

namespace persimmonfield::bench {

struct LoadSpec {
    std::vector<int> ports; // One is used by each thread in turn.
    std::function<testing::HttpCall(int thread, int number)> request;
    int threads = 16;
    double ratePerSecond = 0; // Over all threads; 0 sends the next request at once.
    Milliseconds duration { 2'000 };
};

struct LoadResult {
    std::vector<double> latenciesMs; // Of the answers with status 200, sorted.
    std::vector<int> statuses; // Of all requests.
    double seconds = 0;

    double percentile(double share) const;
    double perSecond() const { return static_cast<double>(latenciesMs.size()) / seconds; }
    int count(int status) const;
};

// Sends requests over connections that are kept, each measured from the time at which it was due, so that a
// stall counts for all that it delays.
LoadResult generateLoad(const LoadSpec& spec);

}
