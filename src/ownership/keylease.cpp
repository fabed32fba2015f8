#include "ownership/keylease.h"

#include "store/storerevision.h"

#include <utility>

namespace persimmonfield {
namespace {

    constexpr int wholePercent = 100;
    constexpr Milliseconds renewalRetryDelay { 300 };

}

Duration leaseExpiryWait(const KeyLeaseTiming& timing)
{
    return timing.term * (wholePercent + timing.driftPercent) / wholePercent + timing.margin;
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
    if (era_ > 0)
        lease.era = era_;
    return Renewal { std::move(lease), revision_ };
}

void KeyLeaseHolder::setEra(int64_t era)
{
    era_ = era;
    isNewEra_ = true;
    revision_ = 0;
}

void KeyLeaseHolder::observe(const stored::KeyLease& found, int64_t revision)
{
    if (isNewEra_ && !isRenewalInFlight_ && found.era.value_or(0) < era_)
        revision_ = revision;
}

void KeyLeaseHolder::renewed(int64_t revision)
{
    isRenewalInFlight_ = false;
    revision_ = revision;
    if (std::exchange(isNewEra_, false) && sentAt_ >= end_)
        lose(true);
    end_ = sentAt_ + timing_.term;
}

void KeyLeaseHolder::lose(bool wasLapsed)
{
    end_ = TimePoint();
    wasLapsed_ = wasLapsed;
    needsConfirmation_ = true;
    ++losses_;
}

bool KeyLeaseHolder::conflicted(const std::optional<stored::KeyLease>& found, int64_t revision)
{
    isRenewalInFlight_ = false;
    nextRenewal_ = sentAt_;
    // What was written in an earlier era is what a copy of the store has, or came late.
    const bool isOfEarlierEra = found ? found->era.value_or(0) < era_ : isNewEra_;
    const bool isHeld = !isOfEarlierEra && found && found->incarnation == incarnation_ && !found->lapsed;
    // The first renewal in an era keeps the lease only if it was sent before the lease's end, whether or not
    // its response has arrived.
    const bool isInTime = sentAt_ < end_;
    const bool isOwn = isOfEarlierEra ? isInTime : isHeld && (isInTime || !isNewEra_);
    isNewEra_ = isNewEra_ && isOfEarlierEra;
    // If the lease is still our own, an earlier renewal took effect although its response was lost. The next
    // renewal expects the revision found.
    revision_ = revision;
    if (isOwn)
        return false;
    lose(!found || found->lapsed || isOfEarlierEra || isHeld);
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

void KeyLeaseMonitor::expect(const std::string& instance, TimePoint now)
{
    stored::KeyLease missing {};
    missing.instance = instance;
    observations_.emplace(instance, Observation { std::move(missing), 0, now });
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
        if (observation.lease.lapsed || now - observation.since < leaseExpiryWait(timing_))
            continue;
        // A restored store may not have the lease that was seen in an earlier era.
        const bool isPresent = eraOf(observation.revision) == era_;
        Expired expired { observation.lease, isPresent ? observation.revision : 0 };
        expired.lease.lapsed = true;
        if (era_ > 0)
            expired.lease.era = era_;
        result.push_back(std::move(expired));
    }
    return result;
}

bool KeyLeaseMonitor::isLapsed(const std::string& instance, TimePoint now) const
{
    const auto found = observations_.find(instance);
    if (found == observations_.end() || !found->second.lease.lapsed)
        return false;
    const bool isOfEarlierEra = found->second.lease.era.value_or(0) < era_;
    return !isOfEarlierEra || now - found->second.since >= leaseExpiryWait(timing_);
}

bool KeyLeaseMonitor::isFresh(const std::string& instance, TimePoint now) const
{
    const auto found = observations_.find(instance);
    return found != observations_.end() && found->second.revision > 0 && !found->second.lease.lapsed
        && now - found->second.since < leaseExpiryWait(timing_);
}

}
