#pragma once

#include <algorithm>

namespace persimmonfield {

// Token bucket that limits retries and hedged requests to a ratio of the normal traffic, so that they do not
// overload a degraded fleet. Not thread-safe.
class RetryBudget {
public:
    explicit RetryBudget(double ratio = 0.1, double maxTokens = 50)
        : ratio_(ratio)
        , maxTokens_(maxTokens)
        , tokens_(std::min(maxTokens, initialTokens))
    {
    }

    // Changes the size of the bucket. Tokens in excess of the new size are lost.
    void setMaxTokens(double maxTokens)
    {
        maxTokens_ = maxTokens;
        tokens_ = std::min(tokens_, maxTokens);
    }

    // Adds tokens for one request of the normal traffic.
    void recordRequest() { tokens_ = std::min(maxTokens_, tokens_ + ratio_); }

    // Takes a token for one retry or hedged request. Returns false if none is left.
    bool tryAcquire()
    {
        if (tokens_ < 1)
            return false;
        tokens_ -= 1;
        return true;
    }

private:
    static constexpr double initialTokens = 10;

    double ratio_;
    double maxTokens_;
    double tokens_;
};

}
