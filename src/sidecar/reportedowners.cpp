#include "sidecar/reportedowners.h"

#include <algorithm>
#include <utility>

namespace persimmonfield {
namespace {

    // The owners that are kept per service; the oldest ones are dropped.
    constexpr size_t maxOwners = 64;

}

ReportedOwners::ReportedOwners(KnownRevision knownRevision)
    : knownRevision_(std::move(knownRevision))
{
}

const peer::KeyOwner* ReportedOwners::find(const std::string& service, int64_t key)
{
    const auto known = owners_.find(service);
    if (known == owners_.end())
        return nullptr;
    auto& owners = known->second;
    const auto isOutdated = [this, &service](const peer::KeyOwner& owner) {
        return owner.revision <= knownRevision_(service, owner.first);
    };
    owners.erase(std::remove_if(owners.begin(), owners.end(), isOutdated), owners.end());
    const auto newest = std::find_if(owners.rbegin(), owners.rend(),
        [key](const peer::KeyOwner& owner) { return owner.first <= key && key <= owner.last; });
    return newest == owners.rend() ? nullptr : &*newest;
}

bool ReportedOwners::add(const std::string& service, int64_t key, const peer::KeyOwner& owner)
{
    const peer::KeyOwner* newer = find(service, key);
    const int64_t known = newer ? newer->revision : knownRevision_(service, key);
    if (owner.revision <= known)
        return false;
    auto& owners = owners_[service];
    owners.push_back(owner);
    if (owners.size() > maxOwners)
        owners.erase(owners.begin());
    return true;
}

}
