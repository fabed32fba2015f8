#pragma once

#include <algorithm>

namespace persimmonfield {

// Bounds retries and hedges to a share of the normal traffic, so that a struggling fleet is not loaded
// further. Not thread-safe.
class RetryBudget {
public:
    // One request of the normal traffic was sent.
    void noteRequest() { level_ = std::min(mostLevel, level_ + shareOfTraffic); }

    // Whether one more retry or hedge may be sent; takes it from the budget.
    bool tryTake()
    {
        if (level_ < 1)
            return false;
        level_ -= 1;
        return true;
    }

private:
    static constexpr double shareOfTraffic = 0.1;
    static constexpr double mostLevel = 50;

    double level_ = 10;
};

}
