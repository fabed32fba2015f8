#include "limits/workestimate.h"

#include <algorithm>

namespace persimmonfield {
namespace {

    // Inverse weight of one sample in the moving averages.
    constexpr int averageWeight = 8;
    // Mean absolute deviations above the average that the likely work lies; covers about nine requests in
    // ten.
    constexpr double likelyDeviations = 1.5;

}

void WorkEstimate::record(const std::string& route, Duration work)
{
    const auto [entry, isFirst] = samples_.try_emplace(route);
    Sample& sample = entry->second;
    if (isFirst) {
        sample.mean = work;
        return;
    }
    const Duration difference = work - sample.mean;
    const Duration distance = std::max(difference, -difference);
    sample.mean += difference / averageWeight;
    sample.deviation += (distance - sample.deviation) / averageWeight;
}

Duration WorkEstimate::mean(const std::string& route) const
{
    const auto found = samples_.find(route);
    return found == samples_.end() ? Duration::zero() : found->second.mean;
}

Duration WorkEstimate::likely(const std::string& route) const
{
    const auto found = samples_.find(route);
    if (found == samples_.end())
        return Duration::zero();
    const auto spread = static_cast<double>(found->second.deviation.count()) * likelyDeviations;
    return found->second.mean + Duration(static_cast<int64_t>(spread));
}

Duration WorkEstimate::remaining(const std::string& route, Duration elapsed) const
{
    const auto found = samples_.find(route);
    if (found == samples_.end())
        return Duration::zero();
    return std::max(found->second.mean - elapsed, found->second.deviation);
}

}
