#include "routing/latencyscale.h"

#include <algorithm>

namespace persimmonfield {
namespace {

    // Inverse weight of one sample in the moving averages.
    constexpr int averageWeight = 32;

}

Duration LatencyScale::scaled(const std::string& route, Duration sample)
{
    Duration& average = averages_[route];
    average = average == Duration::zero() ? sample : average + (sample - average) / averageWeight;
    const double ratio
        = static_cast<double>(sample.count()) / static_cast<double>(std::max<int64_t>(1, average.count()));
    return Duration(static_cast<int64_t>(ratio * static_cast<double>(reference.count())));
}

}
