#include "limits/teamhome.h"

#include <algorithm>
#include <cmath>

namespace persimmonfield {
namespace {

    // How long after its lifetime a share may still be in use: clocks run apart, messages take time.
    constexpr Milliseconds expiryMargin { 100 };
    constexpr int64_t millisecondsPerSecond = 1'000;
    constexpr double nanosecondsPerSecond = 1e9;
    // No instance is handed more than this part of the level at once, unless little is left.
    constexpr int64_t levelPart = 2;

}

int64_t TeamHome::mostOutstanding(int64_t burst)
{
    return std::max<int64_t>(1, burst / 2);
}

TeamHome::TeamHome(int64_t ratePerSecond, int64_t burst, TimePoint now)
    : rate_(ratePerSecond)
    , burst_(burst)
    , outstanding_(mostOutstanding(burst))
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

// Expired shares count as spent: whether they were is not known. They are kept for another lifetime, so that
// a late report of spending is not counted against a share that is still in use.
void TeamHome::expire(TimePoint now)
{
    for (auto share = shares_.begin(); share != shares_.end();) {
        if (!share->isExpired && share->expires <= now) {
            share->isExpired = true;
            outstanding_ -= share->tokens;
            if (share->instance.empty())
                inherited_ = 0;
        }
        const bool isForgotten = share->expires + shareLifetime <= now;
        share = isForgotten ? shares_.erase(share) : std::next(share);
    }
}

// Takes tokens that the instance accounted for out of its oldest shares; answers how many of them were still
// outstanding.
int64_t TeamHome::settle(const std::string& instance, int64_t tokens)
{
    int64_t settled = 0;
    for (auto share = shares_.begin(); share != shares_.end() && tokens > 0;) {
        if (share->instance != instance) {
            ++share;
            continue;
        }
        const int64_t part = std::min(share->tokens, tokens);
        share->tokens -= part;
        tokens -= part;
        if (!share->isExpired)
            settled += part;
        share = share->tokens == 0 ? shares_.erase(share) : std::next(share);
    }
    outstanding_ -= settled;
    return settled;
}

int64_t TeamHome::shareFor(int64_t wanted) const
{
    const auto whole = static_cast<int64_t>(level_);
    const int64_t mayGoOut = std::max<int64_t>(0, mostOutstanding(burst_) - (outstanding_ - inherited_));
    const int64_t fairPart = std::max<int64_t>(1, whole / levelPart);
    return std::min({ wanted, whole, mayGoOut, fairPart });
}

ShareAnswer TeamHome::request(const std::string& instance, const ShareDemand& demand, TimePoint now)
{
    refill(now);
    expire(now);
    ShareAnswer answer;
    int64_t& lastSequence = lastSequence_[instance];
    if (demand.sequence <= lastSequence)
        return answer;
    lastSequence = demand.sequence;
    settle(instance, demand.spent);
    const int64_t back = settle(instance, demand.returned);
    const double room = std::max(0.0, static_cast<double>(burst_ - outstanding_));
    level_ = std::min(room, level_ + static_cast<double>(back));
    answer.tokens = shareFor(demand.wanted);
    answer.lifetime = shareLifetime;
    if (answer.tokens > 0) {
        level_ -= static_cast<double>(answer.tokens);
        outstanding_ += answer.tokens;
        shares_.push_back({ instance, answer.tokens, now + shareLifetime + expiryMargin });
        return answer;
    }
    const double missing = std::max(0.0, 1 - level_);
    const double waitMs = missing * millisecondsPerSecond / static_cast<double>(rate_);
    answer.retryAfter = Milliseconds(std::max<int64_t>(1, static_cast<int64_t>(std::ceil(waitMs))));
    return answer;
}

}
