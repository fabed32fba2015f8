#include "gate/concurrencylimit.h"

#include <algorithm>

namespace persimmonfield {
namespace {

    constexpr double minLimit = 1;
    constexpr double shedFactor = 0.5;
    constexpr double slowFactor = 0.95;
    // The limit is reduced when the recent latency exceeds the baseline by this factor.
    constexpr int slowdownThreshold = 4;
    // Slowdowns below this latency are noise.
    constexpr Duration minSlowLatency = Milliseconds(20);
    constexpr int baselineWeight = 64;
    constexpr int recentWeight = 8;

    void smooth(Duration& average, Duration sample, int weight)
    {
        average = average == Duration::zero() ? sample : average + (sample - average) / weight;
    }

}

ConcurrencyLimit::ConcurrencyLimit(int slots)
    : slots_(slots)
    , serverCapacity_(slots)
    , limit_(minLimit)
{
}

int ConcurrencyLimit::limit() const
{
    return std::min({ static_cast<int>(limit_), slots_, serverCapacity_ });
}

void ConcurrencyLimit::begin()
{
    ++inFlight_;
}

void ConcurrencyLimit::succeed(Duration latency)
{
    end();
    smooth(baselineLatency_, latency, baselineWeight);
    smooth(recentLatency_, latency, recentWeight);
    const bool isSlow
        = recentLatency_ > minSlowLatency && recentLatency_ > baselineLatency_ * slowdownThreshold;
    if (isSlow)
        limit_ = std::max(minLimit, limit_ * slowFactor);
    else
        limit_ = std::min<double>(slots_, limit_ + 1 / limit_);
}

void ConcurrencyLimit::shed()
{
    end();
    limit_ = std::max(minLimit, limit_ * shedFactor);
}

void ConcurrencyLimit::fail()
{
    end();
}

void ConcurrencyLimit::reset()
{
    limit_ = minLimit;
    serverCapacity_ = 1;
}

void ConcurrencyLimit::setServerCapacity(int requests)
{
    serverCapacity_ = std::max(1, requests);
}

void ConcurrencyLimit::end()
{
    inFlight_ = std::max(0, inFlight_ - 1);
}

}
