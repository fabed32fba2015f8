#include "limits/teamshare.h"

#include <algorithm>
#include <cmath>

namespace persimmonfield {
namespace {

    // A request without an answer after this time is considered lost.
    constexpr Milliseconds answerTimeout { 150 };
    // Tokens are requested in advance for the expected use in this time.
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

// The number of tokens that this instance will need soon, estimated from its recent rate.
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

std::optional<TokenRequest> TeamShare::nextRequest(TimePoint now)
{
    if (requestedAt_ && now - *requestedAt_ < answerTimeout)
        return std::nullopt;
    const int64_t expected = forecast(now);
    const int64_t held = available(now);
    const bool mustWait = refusedUntil_ && now < *refusedUntil_;
    const bool isShort = !mustWait && (waiting_ > 0 || held * 2 < expected);
    const bool hasSurplus = waiting_ == 0 && held > expected * 2 && expected == 0;
    if (!isShort && !hasSurplus)
        return std::nullopt;
    TokenRequest request;
    request.sequence = ++sequence_;
    request.wanted = isShort ? std::max<int64_t>(1, waiting_ + expected - held) : 0;
    request.spent = spent_;
    spent_ = 0;
    if (hasSurplus) {
        request.returned = held;
        batches_.clear();
    }
    requestedAt_ = now;
    return request;
}

void TeamShare::onGrant(int64_t sequence, const TokenGrant& grant, TimePoint now)
{
    if (!requestedAt_ || sequence != sequence_)
        return;
    // The lifetime counts from the request, which is earlier than the home's grant.
    const TimePoint expires = *requestedAt_ + grant.lifetime;
    requestedAt_.reset();
    refusedUntil_.reset();
    if (grant.tokens > 0)
        batches_.push_back({ grant.tokens, expires });
    else if (grant.retryAfter > Duration::zero())
        refusedUntil_ = now + grant.retryAfter;
}

void TeamShare::onHomeChanged()
{
    batches_.clear();
    requestedAt_.reset();
    refusedUntil_.reset();
    spent_ = 0;
}

}
