#pragma once

#include <algorithm>

namespace persimmonfield {

// Bounds retries and hedges to a share of the normal traffic, so that a struggling fleet is not loaded
// further. Not thread-safe.
class RetryBudget {
public:
    explicit RetryBudget(double shareOfTraffic = 0.1, double mostLevel = 50)
        : shareOfTraffic_(shareOfTraffic)
        , mostLevel_(mostLevel)
        , level_(std::min(mostLevel, firstLevel))
    {
    }

    // The reserve has become another one; what is saved beyond it is lost.
    void setMostLevel(double mostLevel)
    {
        mostLevel_ = mostLevel;
        level_ = std::min(level_, mostLevel);
    }

    // One request of the normal traffic was sent.
    void noteRequest() { level_ = std::min(mostLevel_, level_ + shareOfTraffic_); }

    // Whether one more retry or hedge may be sent; takes it from the budget.
    bool tryTake()
    {
        if (level_ < 1)
            return false;
        level_ -= 1;
        return true;
    }

private:
    static constexpr double firstLevel = 10;

    double shareOfTraffic_;
    double mostLevel_;
    double level_;
};

}
