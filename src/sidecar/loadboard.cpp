#include "sidecar/loadboard.h"

namespace persimmonfield {
namespace {

    // What was heard is of use for so long: among many servers, one is heard of every few seconds.
    constexpr Milliseconds freshFor { 4'000 };
    constexpr double wholePercent = 100;

}

void LoadBoard::note(const std::string& instance, const peer::ServerLoad& load, TimePoint now)
{
    if (load.slots >= 1)
        seen_[instance] = { static_cast<double>(load.busyPercent) / wholePercent, now };
}

std::optional<double> LoadBoard::busyness(const std::string& instance, TimePoint now) const
{
    const auto found = seen_.find(instance);
    if (found == seen_.end() || now - found->second.at >= freshFor)
        return std::nullopt;
    return found->second.busyness;
}

}
