#include "rollout/rolloutfigures.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace persimmonfield {
namespace {

    constexpr double bucketsPerOctave = 2;

}

size_t RolloutFigures::bucketOf(Duration time)
{
    const double milliseconds = std::chrono::duration<double, std::milli>(time).count();
    if (milliseconds <= 1)
        return 0;
    const auto bucket = static_cast<size_t>(std::ceil(std::log2(milliseconds) * bucketsPerOctave));
    return std::min(bucket, timeBuckets - 1);
}

RolloutFigures& RolloutFigures::operator+=(const RolloutFigures& other)
{
    answers += other.answers;
    failures += other.failures;
    for (size_t i = 0; i < timeBuckets; ++i)
        times[i] += other.times[i];
    return *this;
}

RolloutFigures& RolloutFigures::operator-=(const RolloutFigures& other)
{
    answers -= other.answers;
    failures -= other.failures;
    for (size_t i = 0; i < timeBuckets; ++i)
        times[i] -= other.times[i];
    return *this;
}

int64_t RolloutFigures::timed() const
{
    return timedFrom(0);
}

int64_t RolloutFigures::timedFrom(size_t bucket) const
{
    return std::accumulate(times.begin() + static_cast<std::ptrdiff_t>(std::min(bucket, timeBuckets)),
        times.end(), int64_t { 0 });
}

}
