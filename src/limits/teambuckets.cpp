#include "limits/teambuckets.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace persimmonfield {
namespace {

    constexpr double nanosecondsPerSecond = 1e9;
    constexpr double millisecondsPerSecond = 1e3;
    // An earlier run of this instance may have spent all: a bucket begins with next to nothing.
    constexpr double firstLevel = 1;
    // The other half of the slack covers instances that begin anew after they spent theirs.
    constexpr double depthPartOfSlack = 0.5;
    // Longer than an instance may be behind in what it knows of the others.
    constexpr Milliseconds keeperDelay { 3'000 };
    // Tokens beyond the own capacity that may be kept for requests to come.
    constexpr double mostStock = 3;
    // What this instance uses itself within this time is not lent.
    constexpr double keptSeconds = 0.4;
    constexpr Milliseconds usageInterval { 500 };
    constexpr double usageWeight = 0.5;

    double secondsBetween(TimePoint from, TimePoint to)
    {
        return std::max(0.0, static_cast<double>((to - from).count()) / nanosecondsPerSecond);
    }

}

void TeamBuckets::setRates(std::map<std::string, TeamRate> rates, TimePoint now)
{
    rates_ = std::move(rates);
    for (auto bucket = buckets_.begin(); bucket != buckets_.end();) {
        const auto rate = rates_.find(bucket->first);
        if (rate == rates_.end()) {
            bucket = buckets_.erase(bucket);
            continue;
        }
        bucket->second.level
            = std::min(bucket->second.level, capacity(bucket->second, rate->second) + mostStock);
        ++bucket;
    }
    for (const auto& [team, rate] : rates_)
        filled(team, now);
}

void TeamBuckets::setPart(const std::string& team, double part, TimePoint now)
{
    if (!isLimited(team))
        return;
    Bucket& bucket = filled(team, now);
    if (bucket.hasPart && bucket.part == part)
        return;
    if (part <= 0)
        bucket.level = 0;
    else if (bucket.hasPart && bucket.part <= 0)
        bucket.filledAt = now + keeperDelay;
    bucket.part = part;
    bucket.hasPart = true;
}

const TeamRate* TeamBuckets::rate(const std::string& team) const
{
    const auto found = rates_.find(team);
    return found == rates_.end() ? nullptr : &found->second;
}

std::vector<std::string> TeamBuckets::limitedTeams() const
{
    std::vector<std::string> teams;
    for (const auto& [team, rate] : rates_) {
        if (rate.perSecond > 0)
            teams.push_back(team);
    }
    return teams;
}

bool TeamBuckets::isLimited(const std::string& team) const
{
    const TeamRate* known = rate(team);
    return known && known->perSecond > 0;
}

double TeamBuckets::capacity(const Bucket& bucket, const TeamRate& rate) const
{
    if (bucket.part <= 0)
        return 0;
    return std::max(1.0, (static_cast<double>(rate.burst) + slack_ * depthPartOfSlack) * bucket.part);
}

TeamBuckets::Bucket& TeamBuckets::filled(const std::string& team, TimePoint now)
{
    const TeamRate& rate = rates_.at(team);
    auto [entry, isNew] = buckets_.try_emplace(team);
    Bucket& bucket = entry->second;
    if (isNew) {
        bucket.level = firstLevel;
        bucket.filledAt = bucket.usedSince = now;
    }
    const double gained
        = secondsBetween(bucket.filledAt, now) * static_cast<double>(rate.perSecond) * bucket.part;
    // Borrowed stock above the own capacity is kept, but does not grow.
    bucket.level = std::max(bucket.level, std::min(capacity(bucket, rate), bucket.level + gained));
    bucket.filledAt = std::max(bucket.filledAt, now);
    if (now - bucket.usedSince >= usageInterval) {
        const double recent = static_cast<double>(bucket.usedLately) / secondsBetween(bucket.usedSince, now);
        bucket.usedPerSecond += (recent - bucket.usedPerSecond) * usageWeight;
        bucket.usedLately = 0;
        bucket.usedSince = now;
    }
    return bucket;
}

bool TeamBuckets::trySpend(const std::string& team, TimePoint now)
{
    if (!isLimited(team))
        return true;
    Bucket& bucket = filled(team, now);
    if (bucket.level < 1)
        return false;
    bucket.level -= 1;
    ++bucket.usedLately;
    return true;
}

int64_t TeamBuckets::lend(const std::string& team, int64_t wanted, TimePoint now)
{
    if (!isLimited(team))
        return 0;
    Bucket& bucket = filled(team, now);
    // Whole tokens on both sides: a bucket may hold little more than one.
    const double spare = std::floor(bucket.level) - std::floor(bucket.usedPerSecond * keptSeconds);
    const auto lent = std::clamp<int64_t>(static_cast<int64_t>(spare), 0, std::max<int64_t>(0, wanted));
    bucket.level -= static_cast<double>(lent);
    return lent;
}

void TeamBuckets::add(const std::string& team, int64_t tokens, TimePoint now)
{
    if (!isLimited(team))
        return;
    Bucket& bucket = filled(team, now);
    const double most = capacity(bucket, rates_.at(team)) + mostStock;
    bucket.level = std::max(bucket.level, std::min(most, bucket.level + static_cast<double>(tokens)));
}

int64_t TeamBuckets::shortage(const std::string& team, TimePoint now)
{
    if (!isLimited(team))
        return 0;
    const Bucket& bucket = filled(team, now);
    const double wanted = std::min(mostStock, bucket.usedPerSecond * keptSeconds) - bucket.level;
    return std::max<int64_t>(0, static_cast<int64_t>(std::ceil(wanted)));
}

Milliseconds TeamBuckets::refillTime(const std::string& team, int64_t tokens) const
{
    if (!isLimited(team))
        return Milliseconds(0);
    const double seconds = static_cast<double>(tokens) / static_cast<double>(rates_.at(team).perSecond);
    return Milliseconds(static_cast<int64_t>(std::ceil(seconds * millisecondsPerSecond)));
}

}
