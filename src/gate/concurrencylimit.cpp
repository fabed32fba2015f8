#include "gate/concurrencylimit.h"

#include <algorithm>

namespace persimmonfield {
namespace {

    constexpr double coldLimit = 1;
    constexpr double shedFactor = 0.5;
    constexpr double slowFactor = 0.95;
    // A server that takes so many times its usual time is given less.
    constexpr int slowdownBound = 4;
    // Below this latency a slowdown is noise.
    constexpr Duration leastSlowLatency = Milliseconds(20);
    constexpr int usualWeight = 64;
    constexpr int smoothedWeight = 8;

    void smooth(Duration& average, Duration sample, int weight)
    {
        average = average == Duration::zero() ? sample : average + (sample - average) / weight;
    }

}

ConcurrencyLimit::ConcurrencyLimit(int slots)
    : slots_(slots)
    , bearable_(slots)
    , limit_(coldLimit)
{
}

int ConcurrencyLimit::limit() const
{
    return std::min({ static_cast<int>(limit_), slots_, bearable_ });
}

void ConcurrencyLimit::begin()
{
    ++inFlight_;
}

void ConcurrencyLimit::succeed(Duration latency)
{
    end();
    smooth(usualLatency_, latency, usualWeight);
    smooth(smoothedLatency_, latency, smoothedWeight);
    const bool isSlow
        = smoothedLatency_ > leastSlowLatency && smoothedLatency_ > usualLatency_ * slowdownBound;
    if (isSlow)
        limit_ = std::max(coldLimit, limit_ * slowFactor);
    else
        limit_ = std::min<double>(slots_, limit_ + 1 / limit_);
}

void ConcurrencyLimit::shed()
{
    end();
    limit_ = std::max(coldLimit, limit_ * shedFactor);
}

void ConcurrencyLimit::fail()
{
    end();
}

void ConcurrencyLimit::turnCold()
{
    limit_ = coldLimit;
    bearable_ = 1;
}

void ConcurrencyLimit::setBearable(int requests)
{
    bearable_ = std::max(1, requests);
}

void ConcurrencyLimit::end()
{
    inFlight_ = std::max(0, inFlight_ - 1);
}

}
