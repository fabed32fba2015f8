#include "membership/witness.h"

namespace persimmonfield {

Witness::Witness(const LeaseTiming& timing)
    : timing_(timing)
{
}

bool Witness::confirm(const InstanceId& holder, bool holdsLease, TimePoint now)
{
    const auto known = records_.find(holder);
    const bool isPromised = known != records_.end() && known->second.isPromised;
    if (isPromised || !holdsLease)
        return false;
    Record& record = records_[holder];
    record.lastAsked = now;
    record.lastConfirmed = now;
    return true;
}

std::optional<Duration> Witness::promise(const InstanceId& holder, TimePoint now)
{
    Record& record = records_[holder];
    record.isPromised = true;
    if (!record.lastConfirmed)
        return std::nullopt;
    return now - *record.lastConfirmed;
}

std::vector<InstanceId> Witness::suspects(TimePoint now) const
{
    std::vector<InstanceId> silent;
    for (const auto& [holder, record] : records_) {
        if (!record.isPromised && record.lastConfirmed && now - record.lastAsked > timing_.suspectAfter)
            silent.push_back(holder);
    }
    return silent;
}

void Witness::forget(const InstanceId& holder)
{
    records_.erase(holder);
}

std::vector<InstanceId> Witness::holders() const
{
    std::vector<InstanceId> all;
    for (const auto& [holder, record] : records_)
        all.push_back(holder);
    return all;
}

}
