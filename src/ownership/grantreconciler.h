#pragma once

#include "ownership/authority.h"
#include "ownership/fleetview.h"

#include <map>
#include <string>
#include <vector>

namespace persimmonfield {

// The minimum time that a grant is kept before a planned handover. Tokens issued by an owner of a team home
// partition expire within this time, so of all previous owners only the most recent one can still have tokens
// in use.
inline constexpr Milliseconds minGrantAge { 1'000 };

// A write that hands over partitions of one table object to their targets.
struct ReleaseWrite {
    std::string objectName;
    stored::TableObject table; // Already contains the new owners.
    int64_t expectedVersion = 0;
    std::vector<PartitionId> partitions;
};

// Reconciles this daemon's grants with the partition table: acquires assigned partitions, stops new requests
// on partitions that are to be handed over, and releases them once no request is in flight. Not thread-safe,
// except for the `Authority` that it updates.
class GrantReconciler {
public:
    GrantReconciler(InstanceId self, Authority& authority);

    // Applies a new view. `mayRelease` is false while the store cannot accept release writes; no handover
    // starts then.
    void reconcile(const FleetView& view, bool mayRelease, TimePoint now, Milliseconds wallNow);

    // Returns the handovers that have no requests in flight any more, as one write per table object.
    std::vector<ReleaseWrite> readyReleases(const FleetView& view);

    // Records the outcome of a release write. If the outcome is not certain, the partitions stay unserved
    // until the table shows whether the write took effect.
    void releaseWriteEnded(const ReleaseWrite& release, bool tookEffect, bool isCertain);

    // Whether the instance owns no partition in the view.
    static bool ownsNothing(const FleetView& view, const InstanceId& self);

private:
    struct PendingRelease {
        int64_t fence = 0;
        int64_t expectedVersion = 0; // Table object version that the write in flight expects; 0 if none is.
    };

    bool wasReleased(const PartitionId& partition, int64_t fence) const;
    Grant acquire(const PartitionId& partition, int64_t fence, TimePoint now, Milliseconds wallNow);
    void reconcileTarget(
        const PartitionId& partition, const stored::PartitionRow& row, int64_t tableVersion, bool mayRelease);

    InstanceId self_;
    Authority& authority_;
    std::map<PartitionId, PendingRelease> pendingReleases_;
    std::map<PartitionId, int64_t> releasedFences_; // Grants up to this fence are never acquired again.
};

}
