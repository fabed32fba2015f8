#include "routing/serverchoice.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>

namespace persimmonfield {
namespace {

    constexpr Duration peakHalfLife = Milliseconds(500);
    constexpr Milliseconds baseFailureEjection { 200 };
    constexpr Milliseconds baseOutlierEjection { 1'000 };
    constexpr int maxEjectionDoublings = 4;
    constexpr int failuresBeforeEjection = 2;
    // After its ejection ends, a server receives only probes for this time, then requests again.
    constexpr Milliseconds probeOnlyPeriod { 5'000 };
    // A server whose peak latency exceeds the median of all servers by this factor is an outlier.
    constexpr int outlierFactor = 3;
    constexpr Duration minOutlierLatency = Milliseconds(2);
    // How long a server's load report is used.
    constexpr Milliseconds loadReportLifetime { 600 };
    // Random candidates in addition to a near one. If a third of the servers are slow, it is very unlikely
    // that all candidates are slow.
    constexpr int randomCandidates = 2;
    // Additional cost of a server with all slots taken, relative to an idle one.
    constexpr double fullServerPenalty = 3;
    constexpr int averageWeight = 32;
    constexpr int hedgeDeviations = 4;
    constexpr Duration minHedgeDelay = Milliseconds(2);

    Duration decayed(Duration latency, Duration age)
    {
        const double halves = static_cast<double>(age.count()) / static_cast<double>(peakHalfLife.count());
        return Duration(static_cast<int64_t>(static_cast<double>(latency.count()) * std::exp2(-halves)));
    }

    bool contains(const std::vector<InstanceId>& list, const InstanceId& id)
    {
        return std::find(list.begin(), list.end(), id) != list.end();
    }

}

ServerChoice::ServerChoice(std::function<uint64_t()> random)
    : random_(std::move(random))
{
}

std::optional<InstanceId> ServerChoice::choose(
    const std::vector<InstanceId>& servers, const std::vector<InstanceId>& excluded, TimePoint now)
{
    std::vector<InstanceId> eligible;
    std::vector<InstanceId> ineligible;
    for (const InstanceId& server : servers) {
        if (contains(excluded, server))
            continue;
        (isEligible(server, now) ? eligible : ineligible).push_back(server);
    }
    const std::vector<InstanceId>& pool = eligible.empty() ? ineligible : eligible;
    if (pool.empty())
        return std::nullopt;
    const std::vector<InstanceId> near = nearestServers(pool);
    InstanceId best = near[random_() % near.size()];
    for (int i = 0; i < randomCandidates; ++i) {
        const InstanceId& other = pool[random_() % pool.size()];
        if (cost(other, now) < cost(best, now))
            best = other;
    }
    return best;
}

std::vector<InstanceId> ServerChoice::nearestServers(const std::vector<InstanceId>& pool)
{
    double least = std::numeric_limits<double>::max();
    for (const InstanceId& server : pool)
        least = std::min(least, stats_[server].distance);
    std::vector<InstanceId> result;
    std::copy_if(pool.begin(), pool.end(), std::back_inserter(result),
        [this, least](const InstanceId& server) { return stats_[server].distance <= least; });
    return result;
}

double ServerChoice::cost(const InstanceId& server, TimePoint now)
{
    const ServerStats& stats = stats_[server];
    const Duration latency = decayed(stats.peakLatency, now - stats.lastSample);
    const auto base = static_cast<double>((latency + stats.load.usualWork).count() + 1);
    return base * (stats.inFlight + 1) * loadFactor(stats, now) * stats.distance;
}

// Cost factor from the server's load report while it is fresh. Requests slow down as the slots fill up.
double ServerChoice::loadFactor(const ServerStats& stats, TimePoint now)
{
    if (now - stats.loadTime >= loadReportLifetime)
        return 1;
    const double busyness = static_cast<double>(stats.load.pendingRequests + stats.startedSinceLoad)
        / static_cast<double>(std::max(1, stats.load.slots));
    return stats.load.pace * (1 + busyness * busyness * fullServerPenalty);
}

void ServerChoice::recordLoad(const InstanceId& server, const Load& load, TimePoint now)
{
    ServerStats& stats = stats_[server];
    const Duration knownWork = stats.load.usualWork;
    stats.load = load;
    if (load.usualWork == Duration::zero())
        stats.load.usualWork = knownWork;
    stats.loadTime = now;
    stats.startedSinceLoad = 0;
}

bool ServerChoice::isEligible(const InstanceId& server, TimePoint now)
{
    const ServerStats& stats = stats_[server];
    if (now < stats.ejectedUntil)
        return false;
    return !stats.isSuspect || now >= stats.ejectedUntil + probeOnlyPeriod;
}

std::optional<InstanceId> ServerChoice::nextProbe(const std::vector<InstanceId>& servers, TimePoint now)
{
    for (const InstanceId& server : servers) {
        ServerStats& stats = stats_[server];
        if (!stats.isSuspect || now < stats.ejectedUntil)
            continue;
        stats.ejectedUntil = now + baseOutlierEjection;
        return server;
    }
    return std::nullopt;
}

Duration ServerChoice::outlierThreshold() const
{
    std::vector<Duration> peaks;
    peaks.reserve(stats_.size());
    for (const auto& [server, stats] : stats_) {
        if (stats.peakLatency > Duration::zero())
            peaks.push_back(stats.peakLatency);
    }
    if (peaks.empty())
        return minOutlierLatency;
    const auto median = peaks.begin() + static_cast<std::ptrdiff_t>((peaks.size() - 1) / 2);
    std::nth_element(peaks.begin(), median, peaks.end());
    return std::max(minOutlierLatency, *median * outlierFactor);
}

void ServerChoice::eject(ServerStats& stats, Duration baseTime, int doublings, TimePoint now)
{
    stats.isSuspect = true;
    stats.ejectedUntil = now + baseTime * (1 << std::min(doublings, maxEjectionDoublings));
}

void ServerChoice::began(const InstanceId& server)
{
    ServerStats& stats = stats_[server];
    ++stats.inFlight;
    ++stats.startedSinceLoad;
}

void ServerChoice::recordSample(ServerStats& stats, Duration latency, TimePoint now)
{
    stats.inFlight = std::max(0, stats.inFlight - 1);
    stats.peakLatency = std::max(latency, decayed(stats.peakLatency, now - stats.lastSample));
    stats.lastSample = now;
}

void ServerChoice::succeeded(const InstanceId& server, Duration latency, TimePoint now)
{
    ServerStats& stats = stats_[server];
    recordSample(stats, latency, now);
    stats.consecutiveFailures = 0;
    if (latency > outlierThreshold()) {
        eject(stats, baseOutlierEjection, stats.consecutiveOutliers++, now);
    } else {
        stats.consecutiveOutliers = 0;
        stats.isSuspect = false;
    }
    const Duration deviation
        = latency > averageLatency_ ? latency - averageLatency_ : averageLatency_ - latency;
    averageDeviation_ += (deviation - averageDeviation_) / averageWeight;
    averageLatency_ += (latency - averageLatency_) / averageWeight;
}

void ServerChoice::failed(const InstanceId& server, TimePoint now)
{
    ServerStats& stats = stats_[server];
    stats.inFlight = std::max(0, stats.inFlight - 1);
    ++stats.consecutiveFailures;
    if (stats.consecutiveFailures >= failuresBeforeEjection)
        eject(stats, baseFailureEjection, stats.consecutiveFailures - failuresBeforeEjection, now);
}

void ServerChoice::abandoned(const InstanceId& server, Duration elapsed, TimePoint now)
{
    ServerStats& stats = stats_[server];
    recordSample(stats, elapsed, now);
    if (elapsed > outlierThreshold())
        eject(stats, baseOutlierEjection, stats.consecutiveOutliers++, now);
}

Duration ServerChoice::hedgeDelay() const
{
    return std::max(minHedgeDelay, averageLatency_ + averageDeviation_ * hedgeDeviations);
}

}
