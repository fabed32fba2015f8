#include "ownership/keylease.h"

#include <utility>

namespace persimmonfield {
namespace {

    constexpr int wholePercent = 100;
    // A renewal that failed is tried again after this time.
    constexpr Milliseconds retryPause { 300 };

}

KeyLeaseHolder::KeyLeaseHolder(std::string instance, std::string incarnation, KeyLeaseTiming timing)
    : instance_(std::move(instance))
    , incarnation_(std::move(incarnation))
    , timing_(timing)
{
}

std::optional<KeyLeaseHolder::Renewal> KeyLeaseHolder::dueRenewal(TimePoint now)
{
    if (isUnderWay_ || now < nextRenewal_)
        return std::nullopt;
    isUnderWay_ = true;
    sentAt_ = now;
    nextRenewal_ = now + timing_.renewal;
    stored::KeyLease lease;
    lease.instance = instance_;
    lease.incarnation = incarnation_;
    lease.lapsed = false;
    lease.sequence = ++sequence_;
    return Renewal { std::move(lease), revision_ };
}

void KeyLeaseHolder::renewed(int64_t revision)
{
    isUnderWay_ = false;
    revision_ = revision;
    end_ = sentAt_ + timing_.term;
}

bool KeyLeaseHolder::conflicted(const std::optional<stored::KeyLease>& found, int64_t revision)
{
    isUnderWay_ = false;
    nextRenewal_ = sentAt_;
    const bool isOwn = found && found->incarnation == incarnation_ && !found->lapsed;
    // An earlier renewal took effect though its answer was lost: the next one builds on it.
    revision_ = revision;
    if (isOwn)
        return false;
    end_ = TimePoint();
    wasLapsed_ = !found || found->lapsed;
    needsConfirmation_ = true;
    return true;
}

void KeyLeaseHolder::failed()
{
    isUnderWay_ = false;
    nextRenewal_ = sentAt_ + retryPause;
}

KeyLeaseWatch::KeyLeaseWatch(KeyLeaseTiming timing)
    : timing_(timing)
{
}

Duration KeyLeaseWatch::wait() const
{
    return timing_.term * (wholePercent + timing_.driftPercent) / wholePercent + timing_.margin;
}

void KeyLeaseWatch::observe(const stored::KeyLease& lease, int64_t revision, TimePoint now)
{
    Seen& seen = seen_[lease.instance];
    // A listing may be older than one that was seen before.
    if (revision <= seen.revision)
        return;
    seen = { lease, revision, now };
}

void KeyLeaseWatch::observeUnreadable(const std::string& instance, int64_t revision, TimePoint now)
{
    const auto found = seen_.find(instance);
    if (found != seen_.end())
        observe(stored::KeyLease(found->second.lease), revision, now);
}

std::vector<KeyLeaseWatch::Expired> KeyLeaseWatch::expired(TimePoint now) const
{
    std::vector<Expired> result;
    for (const auto& [instance, seen] : seen_) {
        if (seen.lease.lapsed || now - seen.since < wait())
            continue;
        Expired expired { seen.lease, seen.revision };
        expired.lease.lapsed = true;
        result.push_back(std::move(expired));
    }
    return result;
}

bool KeyLeaseWatch::isLapsed(const std::string& instance) const
{
    const auto found = seen_.find(instance);
    return found != seen_.end() && found->second.lease.lapsed;
}

bool KeyLeaseWatch::isFresh(const std::string& instance, TimePoint now) const
{
    const auto found = seen_.find(instance);
    return found != seen_.end() && !found->second.lease.lapsed && now - found->second.since < wait();
}

}
