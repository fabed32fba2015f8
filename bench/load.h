#pragma once

#include "base/time.h"
#include "fleet/fleet.h"

#include <functional>
#include <string>
#include <vector>

namespace persimmonfield::bench {

struct LoadSpec {
    std::vector<int> ports; // Assigned to the threads in turn.
    std::function<testing::HttpCall(int thread, int number)> request;
    int threads = 16;
    double ratePerSecond = 0; // Over all threads; 0 sends without pauses, each after the last answer.
    Milliseconds duration { 2'000 };
};

struct LoadResult {
    std::vector<double> latenciesMs; // Latencies of the responses with status 200, sorted.
    std::vector<int> statuses; // Of all requests; 0 for a request without a response.
    double seconds = 0;

    double percentile(double fraction) const;
    double successesPerSecond() const { return static_cast<double>(latenciesMs.size()) / seconds; }
    int count(int status) const;
};

// Sends requests over persistent connections. Latency is measured from the time at which a request was due,
// so that a stall counts for every request that it delays.
LoadResult generateLoad(const LoadSpec& spec);

}
