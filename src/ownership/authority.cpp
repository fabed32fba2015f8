#include "ownership/authority.h"

namespace persimmonfield {

void Authority::setLeaseEnd(TimePoint end)
{
    std::lock_guard lock(mutex_);
    leaseEnd_ = end;
}

TimePoint Authority::leaseEnd() const
{
    std::lock_guard lock(mutex_);
    return leaseEnd_;
}

void Authority::grant(const PartitionId& partition, const Grant& grant)
{
    std::lock_guard lock(mutex_);
    grants_[partition] = grant;
}

void Authority::beginRelease(const PartitionId& partition)
{
    std::lock_guard lock(mutex_);
    const auto found = grants_.find(partition);
    if (found != grants_.end())
        found->second.isReleasing = true;
}

void Authority::cancelRelease(const PartitionId& partition)
{
    std::lock_guard lock(mutex_);
    const auto found = grants_.find(partition);
    if (found != grants_.end())
        found->second.isReleasing = false;
}

void Authority::drop(const PartitionId& partition)
{
    std::lock_guard lock(mutex_);
    grants_.erase(partition);
}

void Authority::dropAll()
{
    std::lock_guard lock(mutex_);
    grants_.clear();
}

Permit Authority::permitLocked(const PartitionId& partition, TimePoint now) const
{
    Permit permit;
    permit.leaseEnd = leaseEnd_;
    const auto found = grants_.find(partition);
    if (now >= leaseEnd_) {
        permit.refusal = AuthorityRefusal::NoLease;
    } else if (found == grants_.end()) {
        permit.refusal = AuthorityRefusal::NotOwner;
    } else if (found->second.isReleasing) {
        permit.refusal = AuthorityRefusal::Moving;
    } else {
        permit.fence = found->second.fence;
        permit.grantBegan = found->second.began;
    }
    return permit;
}

Permit Authority::check(const PartitionId& partition, TimePoint now) const
{
    std::lock_guard lock(mutex_);
    return permitLocked(partition, now);
}

Permit Authority::begin(const PartitionId& partition, TimePoint now)
{
    std::lock_guard lock(mutex_);
    const Permit permit = permitLocked(partition, now);
    if (permit.isGranted())
        ++inFlight_[partition];
    return permit;
}

void Authority::end(const PartitionId& partition)
{
    std::lock_guard lock(mutex_);
    const auto found = inFlight_.find(partition);
    if (found != inFlight_.end() && --found->second == 0)
        inFlight_.erase(found);
}

int Authority::inFlight(const PartitionId& partition) const
{
    std::lock_guard lock(mutex_);
    const auto found = inFlight_.find(partition);
    return found == inFlight_.end() ? 0 : found->second;
}

std::map<PartitionId, Grant> Authority::grants() const
{
    std::lock_guard lock(mutex_);
    return grants_;
}

}
