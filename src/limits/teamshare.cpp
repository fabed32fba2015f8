#include "limits/teamshare.h"

#include <algorithm>
#include <cmath>

namespace persimmonfield {
namespace {

    // An answer that did not come within this time is taken for lost.
    constexpr Milliseconds answerPatience { 150 };
    // Tokens are asked ahead for this long.
    constexpr double forecastSeconds = 0.05;
    constexpr Milliseconds rateInterval { 100 };
    constexpr double rateWeight = 0.5;
    constexpr double nanosecondsPerSecond = 1e9;

}

void TeamShare::dropExpired(TimePoint now)
{
    while (!batches_.empty() && batches_.front().expires <= now)
        batches_.pop_front();
}

int64_t TeamShare::available(TimePoint now)
{
    dropExpired(now);
    int64_t sum = 0;
    for (const Batch& batch : batches_)
        sum += batch.tokens;
    return sum;
}

bool TeamShare::trySpend(TimePoint now)
{
    dropExpired(now);
    if (batches_.empty())
        return false;
    ++spent_;
    ++rateCount_;
    if (--batches_.front().tokens == 0)
        batches_.pop_front();
    return true;
}

// Tokens that this instance will need soon, by its recent rate.
int64_t TeamShare::forecast(TimePoint now)
{
    const Duration elapsed = now - rateSince_;
    if (elapsed >= rateInterval) {
        const double seconds = static_cast<double>(elapsed.count()) / nanosecondsPerSecond;
        const double recent = static_cast<double>(rateCount_) / seconds;
        ratePerSecond_ = ratePerSecond_ * (1 - rateWeight) + recent * rateWeight;
        rateCount_ = 0;
        rateSince_ = now;
    }
    return std::lround(ratePerSecond_ * forecastSeconds);
}

std::optional<ShareDemand> TeamShare::demand(TimePoint now)
{
    if (askedAt_ && now - *askedAt_ < answerPatience)
        return std::nullopt;
    const int64_t expected = forecast(now);
    const int64_t held = available(now);
    const bool mustWait = refusedUntil_ && now < *refusedUntil_;
    const bool isShort = !mustWait && (waiting_ > 0 || held * 2 < expected);
    const bool isSurplus = waiting_ == 0 && held > expected * 2 && expected == 0;
    if (!isShort && !isSurplus)
        return std::nullopt;
    ShareDemand demand;
    demand.sequence = ++sequence_;
    demand.wanted = isShort ? std::max<int64_t>(1, waiting_ + expected - held) : 0;
    demand.spent = spent_;
    spent_ = 0;
    if (isSurplus) {
        demand.returned = held;
        batches_.clear();
    }
    askedAt_ = now;
    return demand;
}

void TeamShare::granted(int64_t sequence, const ShareAnswer& answer, TimePoint now)
{
    if (!askedAt_ || sequence != sequence_)
        return;
    // The lifetime counts from the asking: the home handed the tokens out later than that.
    const TimePoint expires = *askedAt_ + answer.lifetime;
    askedAt_.reset();
    refusedUntil_.reset();
    if (answer.tokens > 0)
        batches_.push_back({ answer.tokens, expires });
    else if (answer.retryAfter > Duration::zero())
        refusedUntil_ = now + answer.retryAfter;
}

void TeamShare::forgetHome()
{
    batches_.clear();
    askedAt_.reset();
    refusedUntil_.reset();
    spent_ = 0;
}

}
