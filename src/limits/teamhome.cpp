#include "limits/teamhome.h"

#include <algorithm>
#include <cmath>

namespace persimmonfield {
namespace {

    // How long after its lifetime a share may still be in use, because of clock drift and message delay.
    constexpr Milliseconds expiryMargin { 100 };
    constexpr int64_t millisecondsPerSecond = 1'000;
    constexpr double nanosecondsPerSecond = 1e9;
    // One grant is at most the level divided by this, but at least one token if one is left.
    constexpr int64_t levelDivisor = 2;

}

int64_t TeamHome::maxOutstanding(int64_t burst)
{
    return std::max<int64_t>(1, burst / 2);
}

TeamHome::TeamHome(int64_t ratePerSecond, int64_t burst, TimePoint now)
    : rate_(ratePerSecond)
    , burst_(burst)
    , outstanding_(maxOutstanding(burst))
    , inherited_(outstanding_)
    , lastRefill_(now)
{
    shares_.push_back({ {}, outstanding_, now + shareLifetime + expiryMargin });
}

void TeamHome::reconfigure(int64_t ratePerSecond, int64_t burst, TimePoint now)
{
    refill(now);
    rate_ = ratePerSecond;
    burst_ = burst;
    level_ = std::clamp(level_, 0.0, std::max(0.0, static_cast<double>(burst_ - outstanding_)));
}

void TeamHome::refill(TimePoint now)
{
    const auto elapsed = static_cast<double>((now - lastRefill_).count()) / nanosecondsPerSecond;
    lastRefill_ = std::max(lastRefill_, now);
    if (elapsed <= 0)
        return;
    const double room = std::max(0.0, static_cast<double>(burst_ - outstanding_));
    level_ = std::min(room, level_ + elapsed * static_cast<double>(rate_));
}

// Counts expired shares as spent, because it is unknown whether they were. Keeps them for another lifetime so
// that a late report of spent tokens is not charged to a share that is still in use.
void TeamHome::expire(TimePoint now)
{
    for (auto share = shares_.begin(); share != shares_.end();) {
        if (!share->isExpired && share->expires <= now) {
            share->isExpired = true;
            outstanding_ -= share->tokens;
            if (share->instance.empty())
                inherited_ = 0;
        }
        const bool isRemovable = share->expires + shareLifetime <= now;
        share = isRemovable ? shares_.erase(share) : std::next(share);
    }
}

// Removes tokens that the instance reported as spent or returned from its oldest shares. Returns how many of
// them were still outstanding.
int64_t TeamHome::settle(const std::string& instance, int64_t tokens)
{
    int64_t settledTokens = 0;
    for (auto share = shares_.begin(); share != shares_.end() && tokens > 0;) {
        if (share->instance != instance) {
            ++share;
            continue;
        }
        const int64_t count = std::min(share->tokens, tokens);
        share->tokens -= count;
        tokens -= count;
        if (!share->isExpired)
            settledTokens += count;
        share = share->tokens == 0 ? shares_.erase(share) : std::next(share);
    }
    outstanding_ -= settledTokens;
    return settledTokens;
}

int64_t TeamHome::grantSize(int64_t wanted) const
{
    const auto whole = static_cast<int64_t>(level_);
    const int64_t grantable = std::max<int64_t>(0, maxOutstanding(burst_) - (outstanding_ - inherited_));
    const int64_t fairShare = std::max<int64_t>(1, whole / levelDivisor);
    return std::min({ wanted, whole, grantable, fairShare });
}

TokenGrant TeamHome::grantTokens(const std::string& instance, const TokenRequest& request, TimePoint now)
{
    refill(now);
    expire(now);
    TokenGrant grant;
    int64_t& lastSequence = lastSequence_[instance];
    if (request.sequence <= lastSequence)
        return grant;
    lastSequence = request.sequence;
    settle(instance, request.spent);
    const int64_t returned = settle(instance, request.returned);
    const double room = std::max(0.0, static_cast<double>(burst_ - outstanding_));
    level_ = std::min(room, level_ + static_cast<double>(returned));
    grant.tokens = grantSize(request.wanted);
    grant.lifetime = shareLifetime;
    if (grant.tokens > 0) {
        level_ -= static_cast<double>(grant.tokens);
        outstanding_ += grant.tokens;
        shares_.push_back({ instance, grant.tokens, now + shareLifetime + expiryMargin });
        return grant;
    }
    const double missing = std::max(0.0, 1 - level_);
    const double waitMs = missing * millisecondsPerSecond / static_cast<double>(rate_);
    grant.retryAfter = Milliseconds(std::max<int64_t>(1, static_cast<int64_t>(std::ceil(waitMs))));
    return grant;
}

}
