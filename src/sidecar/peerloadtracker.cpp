#include "sidecar/peerloadtracker.h"

#include <algorithm>

namespace persimmonfield {
namespace {

    // How long a reported value is used. With many servers, each one replies only every few seconds.
    constexpr Milliseconds maxReportAge { 4'000 };
    constexpr double wholePercent = 100;
    constexpr double workWeight = 8;
    // Routes differ in what is usual, so that greater differences between servers are not trusted.
    constexpr double maxCapacityRatio = 4;

}

void PeerLoadTracker::record(const std::string& instance, const peer::ServerLoad& load, TimePoint now)
{
    if (load.slots < 1)
        return;
    Seen& seen = seen_[instance];
    seen.busyness = static_cast<double>(load.busyPercent) / wholePercent;
    seen.slots = static_cast<double>(load.slots);
    seen.at = now;
}

void PeerLoadTracker::recordWork(const std::string& instance, double work, TimePoint now)
{
    const auto found = seen_.find(instance);
    if (work <= 0 || found == seen_.end() || found->second.at != now)
        return;
    double& mean = found->second.work;
    mean = mean <= 0 ? work : mean + (work - mean) / workWeight;
}

const PeerLoadTracker::Seen* PeerLoadTracker::find(const std::string& instance, TimePoint now) const
{
    const auto found = seen_.find(instance);
    return found == seen_.end() || now - found->second.at >= maxReportAge ? nullptr : &found->second;
}

std::optional<double> PeerLoadTracker::busyness(const std::string& instance, TimePoint now) const
{
    const Seen* seen = find(instance, now);
    return seen ? std::optional(seen->busyness) : std::nullopt;
}

double PeerLoadTracker::capacity(const std::string& instance, const std::string& other, TimePoint now) const
{
    const Seen* left = find(instance, now);
    const Seen* right = find(other, now);
    if (!left || !right || left->work <= 0 || right->work <= 0)
        return 1;
    const double ratio = left->slots / left->work / (right->slots / right->work);
    return std::clamp(ratio, 1 / maxCapacityRatio, maxCapacityRatio);
}

}
