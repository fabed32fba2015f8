#include "limits/teambuckets.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace persimmonfield {
namespace {

    constexpr double nanosecondsPerSecond = 1e9;
    constexpr double millisecondsPerSecond = 1e3;
    // Initial level of a bucket. It is low because an earlier run of this instance may have spent all tokens.
    constexpr double initialLevel = 1;
    // Fraction of the slack that deepens the buckets. The other half covers instances that restart with a new
    // bucket after they spent their tokens.
    constexpr double slackFraction = 0.5;
    // How long a new holder waits before its bucket fills. Longer than an instance's view of the other
    // instances can be out of date.
    constexpr Milliseconds holderChangeDelay { 3'000 };
    // Borrowed tokens above the capacity that may be kept for future requests.
    constexpr double maxBorrowedTokens = 3;
    // The tokens that this instance itself uses within this time are not lent.
    constexpr double reserveSeconds = 0.4;
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
            = std::min(bucket->second.level, capacity(bucket->second, rate->second) + maxBorrowedTokens);
        ++bucket;
    }
    for (const auto& [team, rate] : rates_)
        refilled(team, now);
}

void TeamBuckets::setFraction(const std::string& team, double fraction, TimePoint now)
{
    if (!isLimited(team))
        return;
    Bucket& bucket = refilled(team, now);
    if (bucket.isFractionKnown && bucket.fraction == fraction)
        return;
    if (fraction <= 0)
        bucket.level = 0;
    else if (bucket.isFractionKnown && bucket.fraction <= 0)
        bucket.refilledAt = now + holderChangeDelay;
    bucket.fraction = fraction;
    bucket.isFractionKnown = true;
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
    if (bucket.fraction <= 0)
        return 0;
    return std::max(1.0, (static_cast<double>(rate.burst) + slack_ * slackFraction) * bucket.fraction);
}

TeamBuckets::Bucket& TeamBuckets::refilled(const std::string& team, TimePoint now)
{
    const TeamRate& rate = rates_.at(team);
    auto [entry, isNew] = buckets_.try_emplace(team);
    Bucket& bucket = entry->second;
    if (isNew) {
        bucket.level = initialLevel;
        bucket.refilledAt = bucket.usedSince = now;
    }
    const double gained
        = secondsBetween(bucket.refilledAt, now) * static_cast<double>(rate.perSecond) * bucket.fraction;
    // Borrowed tokens above the capacity are kept, but the bucket does not refill above its capacity.
    bucket.level = std::max(bucket.level, std::min(capacity(bucket, rate), bucket.level + gained));
    bucket.refilledAt = std::max(bucket.refilledAt, now);
    if (now - bucket.usedSince >= usageInterval) {
        const double recent
            = static_cast<double>(bucket.usedRecently) / secondsBetween(bucket.usedSince, now);
        bucket.usedPerSecond += (recent - bucket.usedPerSecond) * usageWeight;
        bucket.usedRecently = 0;
        bucket.usedSince = now;
    }
    return bucket;
}

bool TeamBuckets::trySpend(const std::string& team, TimePoint now)
{
    if (!isLimited(team))
        return true;
    Bucket& bucket = refilled(team, now);
    if (bucket.level < 1)
        return false;
    bucket.level -= 1;
    ++bucket.usedRecently;
    return true;
}

int64_t TeamBuckets::lend(const std::string& team, int64_t wanted, TimePoint now)
{
    if (!isLimited(team))
        return 0;
    Bucket& bucket = refilled(team, now);
    // Rounds both terms down, because a bucket may hold only a little more than one token.
    const double spare = std::floor(bucket.level) - std::floor(bucket.usedPerSecond * reserveSeconds);
    const auto lent = std::clamp<int64_t>(static_cast<int64_t>(spare), 0, std::max<int64_t>(0, wanted));
    bucket.level -= static_cast<double>(lent);
    return lent;
}

void TeamBuckets::addBorrowed(const std::string& team, int64_t tokens, TimePoint now)
{
    if (!isLimited(team))
        return;
    Bucket& bucket = refilled(team, now);
    const double maxLevel = capacity(bucket, rates_.at(team)) + maxBorrowedTokens;
    bucket.level = std::max(bucket.level, std::min(maxLevel, bucket.level + static_cast<double>(tokens)));
}

int64_t TeamBuckets::shortage(const std::string& team, TimePoint now)
{
    if (!isLimited(team))
        return 0;
    const Bucket& bucket = refilled(team, now);
    const double wanted = std::min(maxBorrowedTokens, bucket.usedPerSecond * reserveSeconds) - bucket.level;
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
