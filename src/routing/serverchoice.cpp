#include "routing/serverchoice.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>

namespace persimmonfield {
namespace {

    constexpr Duration peakHalfLife = Milliseconds(500);
    constexpr Milliseconds firstLeaveOutFailed { 200 };
    constexpr Milliseconds firstLeaveOutSlow { 1'000 };
    constexpr int mostLeaveOutDoublings = 4;
    constexpr int failuresToLeaveOut = 2;
    // After its time a left-out server is given only probes for so long, then requests again.
    constexpr Milliseconds probesOnly { 5'000 };
    // A server that takes so many times the usual latency is an outlier.
    constexpr int outlierFactor = 3;
    constexpr Duration leastOutlierLatency = Milliseconds(2);
    // How long a server's word on its load is of use.
    constexpr Milliseconds loadFreshFor { 600 };
    // Beside a near one. Where a third of the servers is slow, hardly ever all of them are.
    constexpr int othersCompared = 2;
    // How much more a server with all slots taken costs than an idle one.
    constexpr double fullServerCost = 3;
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
        (isFit(server, now) ? fit : unfit).push_back(server);
    }
    const std::vector<InstanceId>& pool = fit.empty() ? unfit : fit;
    if (pool.empty())
        return std::nullopt;
    const std::vector<InstanceId> near = nearest(pool);
    InstanceId best = near[random_() % near.size()];
    for (int i = 0; i < othersCompared; ++i) {
        const InstanceId& other = pool[random_() % pool.size()];
        if (cost(other, now) < cost(best, now))
            best = other;
    }
    return best;
}

std::vector<InstanceId> ServerChoice::nearest(const std::vector<InstanceId>& pool)
{
    double least = std::numeric_limits<double>::max();
    for (const InstanceId& server : pool)
        least = std::min(least, observed_[server].distance);
    std::vector<InstanceId> result;
    std::copy_if(pool.begin(), pool.end(), std::back_inserter(result),
        [this, least](const InstanceId& server) { return observed_[server].distance <= least; });
    return result;
}

double ServerChoice::cost(const InstanceId& server, TimePoint now)
{
    const Observed& observed = observed_[server];
    const Duration latency = decayed(observed.peakLatency, now - observed.lastSample);
    const auto base = static_cast<double>((latency + observed.load.usualWork).count() + 1);
    return base * (observed.inFlight + 1) * loadFactor(observed, now) * observed.distance;
}

// What the server's own word adds, while it is fresh: work slows down as slots fill up.
double ServerChoice::loadFactor(const Observed& observed, TimePoint now)
{
    if (now - observed.loadAt >= loadFreshFor)
        return 1;
    const double busyness = static_cast<double>(observed.load.busy + observed.begunSinceLoad)
        / static_cast<double>(std::max(1, observed.load.slots));
    return observed.load.pace * (1 + busyness * busyness * fullServerCost);
}

void ServerChoice::noteLoad(const InstanceId& server, const Load& load, TimePoint now)
{
    Observed& observed = observed_[server];
    const Duration knownWork = observed.load.usualWork;
    observed.load = load;
    if (load.usualWork == Duration::zero())
        observed.load.usualWork = knownWork;
    observed.loadAt = now;
    observed.begunSinceLoad = 0;
}

bool ServerChoice::isFit(const InstanceId& server, TimePoint now)
{
    const Observed& observed = observed_[server];
    if (now < observed.leftOutUntil)
        return false;
    return !observed.isSuspect || now >= observed.leftOutUntil + probesOnly;
}

std::optional<InstanceId> ServerChoice::dueProbe(const std::vector<InstanceId>& servers, TimePoint now)
{
    for (const InstanceId& server : servers) {
        Observed& observed = observed_[server];
        if (!observed.isSuspect || now < observed.leftOutUntil)
            continue;
        observed.leftOutUntil = now + firstLeaveOutSlow;
        return server;
    }
    return std::nullopt;
}

Duration ServerChoice::slowBound() const
{
    std::vector<Duration> peaks;
    peaks.reserve(observed_.size());
    for (const auto& [server, observed] : observed_) {
        if (observed.peakLatency > Duration::zero())
            peaks.push_back(observed.peakLatency);
    }
    if (peaks.empty())
        return leastOutlierLatency;
    const auto median = peaks.begin() + static_cast<std::ptrdiff_t>((peaks.size() - 1) / 2);
    std::nth_element(peaks.begin(), median, peaks.end());
    return std::max(leastOutlierLatency, *median * outlierFactor);
}

void ServerChoice::leaveOut(Observed& observed, Duration firstTime, int times, TimePoint now)
{
    observed.isSuspect = true;
    observed.leftOutUntil = now + firstTime * (1 << std::min(times, mostLeaveOutDoublings));
}

void ServerChoice::began(const InstanceId& server)
{
    Observed& observed = observed_[server];
    ++observed.inFlight;
    ++observed.begunSinceLoad;
}

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
    if (latency > slowBound()) {
        leaveOut(observed, firstLeaveOutSlow, observed.slowInRow++, now);
    } else {
        observed.slowInRow = 0;
        observed.isSuspect = false;
    }
    const Duration deviation = latency > usualLatency_ ? latency - usualLatency_ : usualLatency_ - latency;
    usualDeviation_ += (deviation - usualDeviation_) / usualWeight;
    usualLatency_ += (latency - usualLatency_) / usualWeight;
}

void ServerChoice::failed(const InstanceId& server, TimePoint now)
{
    Observed& observed = observed_[server];
    observed.inFlight = std::max(0, observed.inFlight - 1);
    ++observed.failuresInRow;
    if (observed.failuresInRow >= failuresToLeaveOut)
        leaveOut(observed, firstLeaveOutFailed, observed.failuresInRow - failuresToLeaveOut, now);
}

void ServerChoice::abandoned(const InstanceId& server, Duration elapsed, TimePoint now)
{
    Observed& observed = observed_[server];
    sample(observed, elapsed, now);
    if (elapsed > slowBound())
        leaveOut(observed, firstLeaveOutSlow, observed.slowInRow++, now);
}

Duration ServerChoice::hedgeDelay() const
{
    return std::max(leastHedgeDelay, usualLatency_ + usualDeviation_ * hedgeDeviations);
}

}
