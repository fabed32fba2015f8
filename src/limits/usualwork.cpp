#include "limits/usualwork.h"

#include <algorithm>
#include <cmath>

namespace persimmonfield {
namespace {

    constexpr Milliseconds blockTime { 200 };
    constexpr size_t minBlockSamples = 4;
    constexpr size_t maxBlockSamples = 512;
    constexpr size_t blockCount = 9;
    // Samples of a block that count half for the level of their route.
    constexpr double levelWeight = 8;
    // Routes that are no longer used are forgotten once there are more than this.
    constexpr size_t maxRoutes = 1'024;

}

double medianOf(std::vector<double> values)
{
    if (values.empty())
        return 0;
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

double UsualWork::add(const std::string& route, Duration latency, double pace, TimePoint now)
{
    const double logLatency
        = std::log(static_cast<double>(std::max<int64_t>(1, latency.count()))) - std::log(pace);
    if (levels_.size() >= maxRoutes && levels_.count(route) == 0)
        levels_.clear();
    const double level = levels_.emplace(route, logLatency - slowness_).first->second;
    if (block_.empty())
        blockBegan_ = now;
    block_.push_back({ route, logLatency });
    const bool isBlockOver = now - blockBegan_ >= blockTime && block_.size() >= minBlockSamples;
    if (isBlockOver || block_.size() >= maxBlockSamples)
        endBlock();
    return logLatency - level;
}

// The levels follow only what distinguishes the routes from each other; what they have in common is the
// slowness of the server.
void UsualWork::endBlock()
{
    std::vector<double> all;
    std::map<std::string, std::vector<double>> byRoute;
    for (const Sample& sample : block_) {
        const auto level = levels_.find(sample.route);
        if (level == levels_.end())
            continue;
        all.push_back(sample.logLatency - level->second);
        byRoute[sample.route].push_back(all.back());
    }
    block_.clear();
    const double common = medianOf(std::move(all));
    for (auto& [route, samples] : byRoute) {
        const auto count = static_cast<double>(samples.size());
        levels_[route] += (medianOf(std::move(samples)) - common) * count / (count + levelWeight);
    }
    blockSlowness_.push_back(common);
    if (blockSlowness_.size() > blockCount)
        blockSlowness_.pop_front();
    slowness_ = medianOf({ blockSlowness_.begin(), blockSlowness_.end() });
}

Duration UsualWork::work(const std::string& route) const
{
    const auto level = levels_.find(route);
    if (level == levels_.end())
        return Duration::zero();
    return Duration(std::llround(std::exp(level->second + slowness_)));
}

void UsualWork::reset()
{
    *this = UsualWork();
}

}
