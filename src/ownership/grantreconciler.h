#pragma once

#include "ownership/authority.h"
#include "ownership/fleetview.h"

#include <map>
#include <string>
#include <vector>

namespace persimmonfield {

// A grant is kept at least this long before a planned hand-over. The tokens that a team's home gave out
// have expired by then, so that of all earlier homes only the last one's can still be in use.
inline constexpr Milliseconds shortestTenure { 1'000 };

// A write that hands partitions of one table object over to their targets.
struct ReleaseWrite {
    std::string objectName;
    stored::TableObject table; // With the new owners in place.
    int64_t expectedVersion = 0;
    std::vector<PartitionId> partitions;
};

// Keeps this daemon's grants in step with the table: takes up what was assigned, stops what is to be handed
// over, and signs it off once nothing of it runs. Not thread-safe but for the authority it changes.
class GrantKeeper {
public:
    GrantKeeper(InstanceId self, Authority& authority);

    // Follows a new view. `mayRelease` is false while the store cannot take the sign-off.
    void follow(const FleetView& view, bool mayRelease, TimePoint now, Milliseconds wallNow);

    // The hand-overs whose running requests have all ended, one write a table object.
    std::vector<ReleaseWrite> releasesReady(const FleetView& view);

    // What became of a release write. After Unknown the partitions stay unserved until the table shows more.
    void released(const ReleaseWrite& release, bool tookEffect, bool isCertain);

    // Whether this daemon owns nothing any more, as far as the view shows.
    static bool ownsNothing(const FleetView& view, const InstanceId& self);

private:
    struct PendingRelease {
        int64_t fence = 0;
        int64_t expectedVersion = 0; // Of the table object; 0 while no write is under way.
    };

    bool wasReleased(const PartitionId& partition, int64_t fence) const;
    Grant takeUp(const PartitionId& partition, int64_t fence, TimePoint now, Milliseconds wallNow);
    void followTarget(
        const PartitionId& partition, const stored::PartitionRow& row, int64_t tableVersion, bool mayRelease);

    InstanceId self_;
    Authority& authority_;
    std::map<PartitionId, PendingRelease> releasing_;
    std::map<PartitionId, int64_t> releasedFence_; // Grants up to this fence are never taken up again.
};

}
