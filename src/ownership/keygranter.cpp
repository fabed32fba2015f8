#include "ownership/keygranter.h"

#include <algorithm>
#include <utility>

namespace persimmonfield {
namespace {

    constexpr int wholePercent = 100;
    // The reply to a report must stay below 4 KiB. A grant takes up to 42 bytes if its fence has up to 8
    // digits.
    constexpr size_t maxGrants = 90;
    constexpr size_t grantBytes = 42;
    constexpr size_t fenceDigits = 8;

    size_t replyBytes(const stored::KeyRange& range)
    {
        const size_t digits = std::to_string(range.fence).size();
        return grantBytes + (digits > fenceDigits ? digits - fenceDigits : 0);
    }
    // Handover data is needed until the table shows the next owner; beyond this number the oldest is dropped.
    constexpr size_t maxReleased = 256;

    template <typename Left, typename Right> bool overlaps(const Left& left, const Right& right)
    {
        return left.first <= right.last && right.first <= left.last;
    }

}

KeyGranter::KeyGranter(KeyGranterOptions options)
    : options_(std::move(options))
{
}

Duration KeyGranter::maxHoldDuration(Duration holdTime) const
{
    return holdTime * (wholePercent + options_.driftPercent) / wholePercent;
}

void KeyGranter::assumeEarlierGrants(TimePoint now)
{
    earlierGrantedUntil_ = std::max(earlierGrantedUntil_, now + maxHoldDuration(options_.holdTime));
}

// Cuts the range out of the outstanding ones.
void KeyGranter::removeOutstanding(const KeyGrant& range)
{
    std::vector<Outstanding> remaining;
    for (const Outstanding& each : outstanding_) {
        if (!overlaps(each, range)) {
            remaining.push_back(each);
            continue;
        }
        if (each.first < range.first)
            remaining.push_back({ each.first, range.first - 1, each.until });
        if (range.last < each.last)
            remaining.push_back({ range.last + 1, each.last, each.until });
    }
    outstanding_ = std::move(remaining);
}

KeyAnswer KeyGranter::report(const KeyReport& report, const stored::KeyTable& table, TimePoint now)
{
    if (report.server != server_) {
        earlierGrantedUntil_ = std::max(earlierGrantedUntil_, grantedUntil_);
        grantedUntil_ = TimePoint();
        server_ = report.server;
        released_.clear();
        outstanding_.clear();
    }
    reported_ = report.holds;
    granted_.clear();
    for (const KeyGrant& each : report.released) {
        released_.push_back(each);
        removeOutstanding(each);
    }
    if (released_.size() > maxReleased)
        released_.erase(released_.begin(), released_.end() - maxReleased);
    KeyAnswer answer;
    // The hold must end before the instance's lease, even if the server's clock runs as slow as allowed.
    const Duration maxByLease = (leaseEnd_ - now) * wholePercent / (wholePercent + options_.driftPercent);
    const auto holdTime
        = std::chrono::duration_cast<Milliseconds>(std::min<Duration>(options_.holdTime, maxByLease));
    if (holdTime <= Milliseconds(0))
        return answer;
    size_t bytes = 0;
    for (const stored::KeyRange& range : table.ranges) {
        const bool isOwn = range.instance == options_.instance && incarnationOf(range) == server_;
        if (!isOwn || !range.target.empty() || bytes + replyBytes(range) > maxGrants * grantBytes)
            continue;
        bytes += replyBytes(range);
        answer.grants.push_back({ range.first, range.last, range.fence, range.handover });
    }
    answer.holdTime = holdTime;
    granted_ = answer.grants;
    for (const KeyGrant& grant : granted_) {
        removeOutstanding(grant);
        outstanding_.push_back({ grant.first, grant.last, now + maxHoldDuration(holdTime) });
    }
    if (!granted_.empty() || !reported_.empty()) {
        grantedUntil_ = std::max(grantedUntil_, now + maxHoldDuration(holdTime));
        mayRunUntil_ = now + holdTime;
    }
    return answer;
}

bool KeyGranter::mayRun(int key, TimePoint now) const
{
    if (now >= mayRunUntil_)
        return false;
    return std::any_of(granted_.begin(), granted_.end(),
        [key](const KeyGrant& grant) { return grant.first <= key && key <= grant.last; });
}

bool KeyGranter::isReleased(const stored::KeyRange& range, TimePoint now) const
{
    if (haveAllGrantsEnded(now))
        return true;
    // Only the server incarnation itself knows what an earlier run of this daemon granted to it.
    if (incarnationOf(range) != server_)
        return false;
    const bool mayHold = std::any_of(outstanding_.begin(), outstanding_.end(),
        [&range, now](const Outstanding& each) { return overlaps(each, range) && now < each.until; });
    const bool reportsHold = std::any_of(reported_.begin(), reported_.end(),
        [&range](const KeyGrant& grant) { return overlaps(grant, range); });
    return !mayHold && !reportsHold;
}

std::string KeyGranter::handover(const stored::KeyRange& range) const
{
    const auto found = std::find_if(released_.rbegin(), released_.rend(),
        [&range](const KeyGrant& grant) { return overlaps(grant, range); });
    return found == released_.rend() ? std::string() : found->handover;
}

bool KeyGranter::haveEarlierGrantsEnded(const ServerIncarnation& incarnation, TimePoint now) const
{
    return now >= earlierGrantedUntil_ && (incarnation == server_ || now >= grantedUntil_);
}

bool KeyGranter::haveAllGrantsEnded(TimePoint now) const
{
    return now >= earlierGrantedUntil_ && now >= grantedUntil_;
}

}
