#pragma once

#include "base/time.h"
#include "ownership/fleetview.h"
#include "ownership/placement.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace persimmonfield {

// A write of one table object with planned changes.
struct TableWrite {
    std::string objectName;
    stored::TableObject table;
    int64_t expectedVersion = 0; // 0 creates the object.
    int moves = 0;
};

// The coordinator's part in ownership: turns the placement plan of a service into writes of its table. Pure;
// not thread-safe.
class TablePlanner {
public:
    // The writes that bring the service closer to its plan.
    std::vector<TableWrite> step(const FleetView& view, const std::string& service, TimePoint now);

    // Whether the last step found nothing left to do: another is wanted only when the view changes.
    bool isAtRest(const std::string& service) const;

    // A write of this class ended, whatever came of it.
    void writeEnded(const std::string& objectName);

private:
    struct Settling {
        std::vector<InstanceId> takers;
        TimePoint since;
        TimePoint nextBalance;
        bool isAtRest = false;
    };

    bool isSettled(
        const std::string& service, const std::vector<PlacementCandidate>& candidates, TimePoint now);
    int balanceBudget(const std::string& service, const std::vector<PlacementRow>& rows, TimePoint now);

    std::map<std::string, Settling> settling_; // By service.
    std::set<std::string> writing_;
};

}
