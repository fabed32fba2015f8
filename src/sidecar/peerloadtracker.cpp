#include "sidecar/peerloadtracker.h"

namespace persimmonfield {
namespace {

    // How long a reported value is used. With many servers, each one replies only every few seconds.
    constexpr Milliseconds maxReportAge { 4'000 };
    constexpr double wholePercent = 100;

}

void PeerLoadTracker::record(const std::string& instance, const peer::ServerLoad& load, TimePoint now)
{
    if (load.slots >= 1)
        seen_[instance] = { static_cast<double>(load.busyPercent) / wholePercent, now };
}

std::optional<double> PeerLoadTracker::busyness(const std::string& instance, TimePoint now) const
{
    const auto found = seen_.find(instance);
    if (found == seen_.end() || now - found->second.at >= maxReportAge)
        return std::nullopt;
    return found->second.busyness;
}

}
