#include "ownership/keylease.h"

#include <utility>

namespace persimmonfield {
namespace {

    constexpr int wholePercent = 100;
    constexpr Milliseconds renewalRetryDelay { 300 };

}

KeyLeaseHolder::KeyLeaseHolder(std::string instance, std::string incarnation, KeyLeaseTiming timing)
    : instance_(std::move(instance))
    , incarnation_(std::move(incarnation))
    , timing_(timing)
{
}

std::optional<KeyLeaseHolder::Renewal> KeyLeaseHolder::dueRenewal(TimePoint now)
{
    if (isRenewalInFlight_ || now < nextRenewal_)
        return std::nullopt;
    isRenewalInFlight_ = true;
    sentAt_ = now;
    nextRenewal_ = now + timing_.renewalInterval;
    stored::KeyLease lease;
    lease.instance = instance_;
    lease.incarnation = incarnation_;
    lease.lapsed = false;
    lease.sequence = ++sequence_;
    return Renewal { std::move(lease), revision_ };
}

void KeyLeaseHolder::renewed(int64_t revision)
{
    isRenewalInFlight_ = false;
    revision_ = revision;
    end_ = sentAt_ + timing_.term;
}

bool KeyLeaseHolder::conflicted(const std::optional<stored::KeyLease>& found, int64_t revision)
{
    isRenewalInFlight_ = false;
    nextRenewal_ = sentAt_;
    const bool isOwn = found && found->incarnation == incarnation_ && !found->lapsed;
    // If the lease is still our own, an earlier renewal took effect although its response was lost. The next
    // renewal expects the revision found.
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
    isRenewalInFlight_ = false;
    nextRenewal_ = sentAt_ + renewalRetryDelay;
}

KeyLeaseMonitor::KeyLeaseMonitor(KeyLeaseTiming timing)
    : timing_(timing)
{
}

Duration KeyLeaseMonitor::expiryWait() const
{
    return timing_.term * (wholePercent + timing_.driftPercent) / wholePercent + timing_.margin;
}

void KeyLeaseMonitor::observe(const stored::KeyLease& lease, int64_t revision, TimePoint now)
{
    Observation& observation = observations_[lease.instance];
    // A listing may be older than a state already observed.
    if (revision <= observation.revision)
        return;
    observation = { lease, revision, now };
}

void KeyLeaseMonitor::observeUnreadable(const std::string& instance, int64_t revision, TimePoint now)
{
    const auto found = observations_.find(instance);
    if (found != observations_.end())
        observe(stored::KeyLease(found->second.lease), revision, now);
}

std::vector<KeyLeaseMonitor::Expired> KeyLeaseMonitor::expired(TimePoint now) const
{
    std::vector<Expired> result;
    for (const auto& [instance, observation] : observations_) {
        if (observation.lease.lapsed || now - observation.since < expiryWait())
            continue;
        Expired expired { observation.lease, observation.revision };
        expired.lease.lapsed = true;
        result.push_back(std::move(expired));
    }
    return result;
}

bool KeyLeaseMonitor::isLapsed(const std::string& instance) const
{
    const auto found = observations_.find(instance);
    return found != observations_.end() && found->second.lease.lapsed;
}

bool KeyLeaseMonitor::isFresh(const std::string& instance, TimePoint now) const
{
    const auto found = observations_.find(instance);
    return found != observations_.end() && !found->second.lease.lapsed
        && now - found->second.since < expiryWait();
}

}
