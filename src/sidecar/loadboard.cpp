#include "sidecar/loadboard.h"

#include <algorithm>

namespace persimmonfield {
namespace {

    // What was heard is of use for so long.
    constexpr Milliseconds freshFor { 2'000 };
    constexpr double sampleWeight = 0.15;

}

void LoadBoard::note(const std::string& instance, const peer::ServerLoad& load, TimePoint now)
{
    if (load.slots < 1)
        return;
    const double sample = static_cast<double>(load.running + load.waiting) / static_cast<double>(load.slots);
    Seen& seen = seen_[instance];
    const bool isFresh = now - seen.at < freshFor;
    seen.busyness = isFresh ? seen.busyness + (sample - seen.busyness) * sampleWeight : sample;
    seen.at = now;
}

std::optional<double> LoadBoard::busyness(const std::string& instance, TimePoint now) const
{
    const auto found = seen_.find(instance);
    if (found == seen_.end() || now - found->second.at >= freshFor)
        return std::nullopt;
    return found->second.busyness;
}

}
