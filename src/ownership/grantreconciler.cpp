#include "ownership/grantreconciler.h"

#include "base/hashing.h"

#include <set>
#include <utility>

namespace persimmonfield {
namespace {

    InstanceId ownerOf(const stored::PartitionRow& row)
    {
        return { row.owner, row.incarnation };
    }

}

GrantReconciler::GrantReconciler(InstanceId self, Authority& authority)
    : self_(std::move(self))
    , authority_(authority)
{
}

void GrantReconciler::reconcile(const FleetView& view, bool mayRelease, TimePoint now, Milliseconds wallNow)
{
    std::set<PartitionId> owned;
    const std::map<PartitionId, Grant> grants = authority_.grants();
    for (const auto& [service, groups] : view.tables) {
        for (const auto& group : groups) {
            const auto first = static_cast<int>(group->table.firstPartition);
            for (size_t i = 0; i < group->table.rows.size(); ++i) {
                const stored::PartitionRow& row = group->table.rows[i];
                if (ownerOf(row) != self_)
                    continue;
                const PartitionId partition { service, first + static_cast<int>(i) };
                owned.insert(partition);
                const auto known = grants.find(partition);
                const bool isNew = known == grants.end() || known->second.fence != row.fence;
                if (wasReleased(partition, row.fence))
                    continue;
                const Grant grant = isNew ? acquire(partition, row.fence, now, wallNow) : known->second;
                const bool isOldEnough = now - grant.acquiredAt >= minGrantAge;
                reconcileTarget(partition, row, group->version, mayRelease && isOldEnough);
            }
        }
    }
    for (const auto& [partition, grant] : grants) {
        if (owned.count(partition) == 0) {
            authority_.drop(partition);
            pendingReleases_.erase(partition);
        }
    }
}

bool GrantReconciler::wasReleased(const PartitionId& partition, int64_t fence) const
{
    const auto released = releasedFences_.find(partition);
    return released != releasedFences_.end() && fence <= released->second;
}

Grant GrantReconciler::acquire(
    const PartitionId& partition, int64_t fence, TimePoint now, Milliseconds wallNow)
{
    // A new fence means that any handover under an earlier fence has ended, even if its end was not observed.
    pendingReleases_.erase(partition);
    Grant grant;
    grant.fence = fence;
    grant.began = fence > 1 ? wallNow : Milliseconds(0);
    grant.acquiredAt = now;
    authority_.grant(partition, grant);
    return grant;
}

void GrantReconciler::reconcileTarget(
    const PartitionId& partition, const stored::PartitionRow& row, int64_t tableVersion, bool mayRelease)
{
    const auto pending = pendingReleases_.find(partition);
    if (row.target.empty()) {
        // A release write that expected an older table version than this one has certainly failed.
        const bool isSettled
            = pending == pendingReleases_.end() || pending->second.expectedVersion < tableVersion;
        if (pending != pendingReleases_.end() && isSettled) {
            pendingReleases_.erase(pending);
            authority_.cancelRelease(partition);
        }
        return;
    }
    if (pending == pendingReleases_.end() && mayRelease) {
        pendingReleases_[partition] = { row.fence, 0 };
        authority_.beginRelease(partition);
    }
}

std::vector<ReleaseWrite> GrantReconciler::readyReleases(const FleetView& view)
{
    std::vector<ReleaseWrite> writes;
    if (pendingReleases_.empty())
        return writes;
    for (const auto& [service, groups] : view.tables) {
        for (const auto& group : groups) {
            ReleaseWrite write { group->objectName, group->table, group->version, {} };
            const auto first = static_cast<int>(group->table.firstPartition);
            bool isWriteInFlight = false;
            for (size_t i = 0; i < group->table.rows.size(); ++i) {
                const PartitionId partition { service, first + static_cast<int>(i) };
                stored::PartitionRow& row = write.table.rows[i];
                const auto pending = pendingReleases_.find(partition);
                if (pending == pendingReleases_.end() || ownerOf(row) != self_)
                    continue;
                if (pending->second.expectedVersion >= group->version)
                    isWriteInFlight = true;
                if (row.target.empty() || authority_.inFlight(partition) > 0)
                    continue;
                row.owner = std::exchange(row.target, {});
                row.incarnation = std::exchange(row.targetIncarnation, {});
                ++row.fence;
                write.partitions.push_back(partition);
            }
            if (isWriteInFlight || write.partitions.empty())
                continue;
            write.table.operationId = randomHex(16);
            for (const PartitionId& partition : write.partitions)
                pendingReleases_[partition].expectedVersion = group->version;
            writes.push_back(std::move(write));
        }
    }
    return writes;
}

void GrantReconciler::releaseWriteEnded(const ReleaseWrite& release, bool tookEffect, bool isCertain)
{
    for (const PartitionId& partition : release.partitions) {
        const auto pending = pendingReleases_.find(partition);
        const bool isOfThisWrite
            = pending != pendingReleases_.end() && pending->second.expectedVersion == release.expectedVersion;
        if (!isOfThisWrite)
            continue;
        if (tookEffect) {
            releasedFences_[partition] = pending->second.fence;
            pendingReleases_.erase(pending);
            authority_.drop(partition);
        } else if (isCertain) {
            pending->second.expectedVersion = 0;
        }
    }
}

bool GrantReconciler::ownsNothing(const FleetView& view, const InstanceId& self)
{
    for (const auto& [service, groups] : view.tables) {
        for (const auto& group : groups) {
            for (const stored::PartitionRow& row : group->table.rows) {
                if (ownerOf(row) == self)
                    return false;
            }
        }
    }
    return true;
}

}
