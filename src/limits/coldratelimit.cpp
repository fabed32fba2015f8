#include "limits/coldratelimit.h"

#include <algorithm>
#include <cmath>

namespace persimmonfield {
namespace {

    constexpr std::chrono::seconds coldWindow { 1 };
    // The server is asked when this part of what it may be sent without a confirmation is used up, so that
    // the answer arrives before the rest is.
    constexpr double askingShare = 0.75;
    // Between a question without an answer and the next one.
    constexpr Milliseconds askingInterval { 100 };

    size_t wholeRequests(double requests)
    {
        return static_cast<size_t>(std::max(1.0, std::floor(requests)));
    }

    size_t askingThreshold(size_t requests)
    {
        return static_cast<size_t>(static_cast<double>(requests) * askingShare);
    }

}

void ColdRateLimit::setRate(double perSecond, double overload)
{
    perSecond_ = perSecond;
    overload_ = std::max(1.0, overload);
}

StartLimit ColdRateLimit::startLimit(TimePoint now)
{
    if (!isLimited() || now >= coldUntil_)
        return {};
    return { coldDelay(now),
        Duration(coldWindow) / static_cast<int64_t>(std::max<size_t>(1, toleratedStarts())),
        coldUntil_ - now };
}

size_t ColdRateLimit::toleratedStarts() const
{
    return wholeRequests(perSecond_);
}

size_t ColdRateLimit::maxUnconfirmedStarts() const
{
    return wholeRequests(perSecond_ * overload_);
}

void ColdRateLimit::onNewServer()
{
    coldUntil_ = TimePoint();
    wasWarm_ = false;
    isAsking_ = false;
    nextAskAt_ = TimePoint();
}

// A report may arrive late: it proves that the server was cold, but not that it is warm.
void ColdRateLimit::onReport(TimePoint coldUntil, TimePoint now)
{
    if (coldUntil <= now)
        return;
    coldUntil_ = std::max(coldUntil_, coldUntil);
    wasWarm_ = false;
}

void ColdRateLimit::onStart(TimePoint now)
{
    recentStarts_.push_back(now);
    ++unconfirmedStarts_;
}

void ColdRateLimit::forgetOldStarts(TimePoint now)
{
    while (!recentStarts_.empty() && now - recentStarts_.front() >= coldWindow)
        recentStarts_.pop_front();
}

bool ColdRateLimit::shouldAsk(TimePoint now)
{
    if (!isLimited() || !canAsk_ || isAsking_ || now < nextAskAt_ || now < coldUntil_)
        return false;
    forgetOldStarts(now);
    const bool isRateLow
        = recentStarts_.size() < askingThreshold(toleratedStarts()) && now - startedAt_ >= coldWindow;
    return !isRateLow && (!wasWarm_ || unconfirmedStarts_ >= askingThreshold(maxUnconfirmedStarts()));
}

void ColdRateLimit::onAsked()
{
    isAsking_ = true;
    startsBeforeAsking_ = unconfirmedStarts_;
}

// The server was in this state at some time since it was asked, so the starts since then are not confirmed.
void ColdRateLimit::onAnswer(Milliseconds coldFor, TimePoint now)
{
    isAsking_ = false;
    wasWarm_ = coldFor <= Milliseconds(0);
    coldUntil_ = now + coldFor;
    unconfirmedStarts_ -= startsBeforeAsking_;
}

void ColdRateLimit::onNoAnswer(TimePoint now)
{
    isAsking_ = false;
    nextAskAt_ = now + askingInterval;
}

bool ColdRateLimit::isConfirmed(TimePoint now) const
{
    if (now < coldUntil_)
        return false;
    return !canAsk_ || (wasWarm_ && unconfirmedStarts_ < maxUnconfirmedStarts());
}

Duration ColdRateLimit::coldDelay(TimePoint now)
{
    forgetOldStarts(now);
    const Duration sinceStart = now - startedAt_;
    if (sinceStart < coldWindow)
        return coldWindow - sinceStart;
    const size_t tolerated = toleratedStarts();
    if (recentStarts_.size() < tolerated)
        return Duration::zero();
    return recentStarts_[recentStarts_.size() - tolerated] + coldWindow - now;
}

Duration ColdRateLimit::delay(TimePoint now)
{
    return !isLimited() || isConfirmed(now) ? Duration::zero() : coldDelay(now);
}

}
