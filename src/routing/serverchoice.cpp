#include "routing/serverchoice.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace persimmonfield {
namespace {

    constexpr Duration peakHalfLife = Milliseconds(500);
    constexpr Milliseconds firstLeaveOut { 200 };
    constexpr int mostLeaveOutDoublings = 5;
    constexpr int failuresToLeaveOut = 2;
    // A server so many times slower than the median is an outlier.
    constexpr int outlierFactor = 3;
    constexpr Duration leastOutlierLatency = Milliseconds(2);
    // One request in so many goes to an outlier, to see whether it has recovered.
    constexpr uint64_t probeShare = 200;
    constexpr int usualWeight = 32;
    constexpr int hedgeDeviations = 4;
    constexpr Duration leastHedgeDelay = Milliseconds(2);

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
    std::vector<InstanceId> fit;
    std::vector<InstanceId> unfit;
    for (const InstanceId& server : servers) {
        if (contains(excluded, server))
            continue;
        const bool isLeftOut = now < observed_[server].leftOutUntil || isOutlier(server, servers, now);
        (isLeftOut ? unfit : fit).push_back(server);
    }
    const bool probes = !unfit.empty() && random_() % probeShare == 0;
    const std::vector<InstanceId>& pool = fit.empty() || probes ? unfit : fit;
    if (pool.empty())
        return std::nullopt;
    const InstanceId& first = pool[random_() % pool.size()];
    const InstanceId& second = pool[random_() % pool.size()];
    return cost(first, now) <= cost(second, now) ? first : second;
}

double ServerChoice::cost(const InstanceId& server, TimePoint now)
{
    const Observed& observed = observed_[server];
    const Duration latency = decayed(observed.peakLatency, now - observed.lastSample);
    const auto base = static_cast<double>(latency.count() + 1);
    return base * (observed.inFlight + 1);
}

Duration ServerChoice::medianLatency(const std::vector<InstanceId>& servers, TimePoint now)
{
    std::vector<Duration> latencies;
    latencies.reserve(servers.size());
    for (const InstanceId& server : servers)
        latencies.push_back(decayed(observed_[server].peakLatency, now - observed_[server].lastSample));
    const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
    std::nth_element(latencies.begin(), middle, latencies.end());
    return *middle;
}

bool ServerChoice::isOutlier(const InstanceId& server, const std::vector<InstanceId>& servers, TimePoint now)
{
    const Observed& observed = observed_[server];
    const Duration latency = decayed(observed.peakLatency, now - observed.lastSample);
    return latency > leastOutlierLatency && latency > medianLatency(servers, now) * outlierFactor;
}

void ServerChoice::began(const InstanceId& server) { ++observed_[server].inFlight; }

void ServerChoice::sample(Observed& observed, Duration latency, TimePoint now)
{
    observed.inFlight = std::max(0, observed.inFlight - 1);
    observed.peakLatency = std::max(latency, decayed(observed.peakLatency, now - observed.lastSample));
    observed.lastSample = now;
}

void ServerChoice::succeeded(const InstanceId& server, Duration latency, TimePoint now)
{
    Observed& observed = observed_[server];
    sample(observed, latency, now);
    observed.failuresInRow = 0;
    const Duration deviation = latency > usualLatency_ ? latency - usualLatency_ : usualLatency_ - latency;
    usualDeviation_ += (deviation - usualDeviation_) / usualWeight;
    usualLatency_ += (latency - usualLatency_) / usualWeight;
}

void ServerChoice::failed(const InstanceId& server, TimePoint now)
{
    Observed& observed = observed_[server];
    observed.inFlight = std::max(0, observed.inFlight - 1);
    ++observed.failuresInRow;
    if (observed.failuresInRow < failuresToLeaveOut)
        return;
    const int doublings = std::min(observed.failuresInRow - failuresToLeaveOut, mostLeaveOutDoublings);
    observed.leftOutUntil = now + firstLeaveOut * (1 << doublings);
}

void ServerChoice::abandoned(const InstanceId& server, Duration elapsed, TimePoint now)
{
    sample(observed_[server], elapsed, now);
}

Duration ServerChoice::hedgeDelay() const
{
    return std::max(leastHedgeDelay, usualLatency_ + usualDeviation_ * hedgeDeviations);
}

}
