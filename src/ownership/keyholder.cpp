#include "ownership/keyholder.h"

#include <algorithm>
#include <utility>

namespace persimmonfield {
namespace {

    constexpr int wholePercent = 100;
    // A report's answer must stay under 4 KiB, and a grant takes up to 42 bytes.
    constexpr size_t mostGrants = 90;
    // Handovers are remembered until the table shows the next owner; older ones are dropped.
    constexpr size_t mostReleased = 256;

    template <typename Left, typename Right> bool overlaps(const Left& left, const Right& right)
    {
        return left.first <= right.last && right.first <= left.last;
    }

}

KeyHolder::KeyHolder(KeyHolderOptions options)
    : options_(std::move(options))
{
}

Duration KeyHolder::longestHold(Duration holdTime) const
{
    return holdTime * (wholePercent + options_.driftPercent) / wholePercent;
}

void KeyHolder::assumeEarlierGrants(TimePoint now)
{
    earlierGrantedUntil_ = std::max(earlierGrantedUntil_, now + longestHold(options_.holdTime));
}

// Nothing of the range is outstanding any more.
void KeyHolder::settle(const KeyGrant& range)
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

KeyAnswer KeyHolder::report(const KeyReport& report, const stored::KeyTable& table, TimePoint now)
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
        settle(each);
    }
    if (released_.size() > mostReleased)
        released_.erase(released_.begin(), released_.end() - mostReleased);
    KeyAnswer answer;
    // The instance's lease must outlast the hold, however slowly the server's clock runs.
    const Duration byLease = (leaseEnd_ - now) * wholePercent / (wholePercent + options_.driftPercent);
    const auto holdTime
        = std::chrono::duration_cast<Milliseconds>(std::min<Duration>(options_.holdTime, byLease));
    if (holdTime <= Milliseconds(0))
        return answer;
    for (const stored::KeyRange& range : table.ranges) {
        const bool isOwn = range.instance == options_.instance && lifeOf(range) == server_;
        if (!isOwn || !range.target.empty() || answer.grants.size() >= mostGrants)
            continue;
        answer.grants.push_back({ range.first, range.last, range.fence, range.handover });
    }
    answer.holdTime = holdTime;
    granted_ = answer.grants;
    for (const KeyGrant& grant : granted_) {
        settle(grant);
        outstanding_.push_back({ grant.first, grant.last, now + longestHold(holdTime) });
    }
    if (!granted_.empty() || !reported_.empty()) {
        grantedUntil_ = std::max(grantedUntil_, now + longestHold(holdTime));
        mayRunUntil_ = now + holdTime;
    }
    return answer;
}

bool KeyHolder::mayRun(int key, TimePoint now) const
{
    if (now >= mayRunUntil_)
        return false;
    return std::any_of(granted_.begin(), granted_.end(),
        [key](const KeyGrant& grant) { return grant.first <= key && key <= grant.last; });
}

bool KeyHolder::isReleased(const stored::KeyRange& range, TimePoint now) const
{
    if (haveAllGrantsEnded(now))
        return true;
    // Only the server itself knows what an earlier run of this daemon granted.
    if (lifeOf(range) != server_)
        return false;
    const bool mayHold = std::any_of(outstanding_.begin(), outstanding_.end(),
        [&range, now](const Outstanding& each) { return overlaps(each, range) && now < each.until; });
    const bool saysToHold = std::any_of(reported_.begin(), reported_.end(),
        [&range](const KeyGrant& grant) { return overlaps(grant, range); });
    return !mayHold && !saysToHold;
}

std::string KeyHolder::handover(const stored::KeyRange& range) const
{
    const auto found = std::find_if(released_.rbegin(), released_.rend(),
        [&range](const KeyGrant& grant) { return overlaps(grant, range); });
    return found == released_.rend() ? std::string() : found->handover;
}

bool KeyHolder::haveEarlierGrantsEnded(const ServerLife& life, TimePoint now) const
{
    return now >= earlierGrantedUntil_ && (life == server_ || now >= grantedUntil_);
}

bool KeyHolder::haveAllGrantsEnded(TimePoint now) const
{
    return now >= earlierGrantedUntil_ && now >= grantedUntil_;
}

}
