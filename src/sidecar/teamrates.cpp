#include "sidecar/teamrates.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace persimmonfield {
namespace {

    constexpr double nanosecondsPerSecond = 1e9;
    constexpr double millisecondsPerSecond = 1e3;

}

void TeamRates::setConfiguration(std::shared_ptr<const Configuration> configuration)
{
    configuration_ = std::move(configuration);
}

void TeamRates::setInstances(size_t instances)
{
    instances_ = static_cast<double>(std::max<size_t>(1, instances));
}

std::optional<Reply> TeamRates::charge(const std::string& team, TimePoint now)
{
    if (team.empty() || !configuration_)
        return std::nullopt;
    const auto found = configuration_->teams.find(team);
    if (found == configuration_->teams.end() || found->second.ratePerSecond <= 0)
        return std::nullopt;
    const double rate = static_cast<double>(found->second.ratePerSecond) / instances_;
    const double capacity = std::max(1.0, static_cast<double>(found->second.burst) / instances_);
    auto [entry, isNew] = buckets_.try_emplace(team);
    Bucket& bucket = entry->second;
    // An earlier run of this instance may have spent all: begin with next to nothing.
    if (isNew)
        bucket = { 1, now };
    const double seconds = static_cast<double>((now - bucket.filledAt).count()) / nanosecondsPerSecond;
    bucket.level = std::min(capacity, bucket.level + std::max(0.0, seconds) * rate);
    bucket.filledAt = now;
    if (bucket.level >= 1) {
        bucket.level -= 1;
        return std::nullopt;
    }
    Reply refusal = notRun(RefusalReason::RateExceeded, "the team's rate is used up");
    refusal.retryAfter
        = Milliseconds(static_cast<int64_t>(std::ceil((1 - bucket.level) / rate * millisecondsPerSecond)));
    return refusal;
}

}
