#pragma once

#include "base/time.h"
#include "ownership/fleetview.h"
#include "ownership/placement.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace persimmonfield {

// A write of one table object that contains planned changes.
struct TableWrite {
    std::string objectName;
    stored::TableObject table;
    int64_t expectedVersion = 0; // 0 creates the object.
    int moves = 0;
};

// Used by the coordinator of a service: turns the placement plan into writes of the service's partition
// table. Does no I/O and reads no clock; not thread-safe.
class TablePlanner {
public:
    // Returns the writes that bring the service closer to its plan.
    std::vector<TableWrite> step(const FleetView& view, const std::string& service, TimePoint now);

    // Whether the last step found nothing left to do, so that the next one is needed only after a view
    // change.
    bool isConverged(const std::string& service) const;

    // A write returned by this class has ended, with any outcome.
    void writeEnded(const std::string& objectName);

private:
    struct ServiceState {
        std::vector<InstanceId> eligibleInstances; // Those that accept work.
        TimePoint since;
        TimePoint nextBalance;
        bool isConverged = false;
    };

    bool isStable(
        const std::string& service, const std::vector<PlacementCandidate>& candidates, TimePoint now);
    int balanceBudget(const std::string& service, const std::vector<PlacementRow>& rows, TimePoint now);

    std::map<std::string, ServiceState> states_; // Keyed by service.
    std::set<std::string> writesInFlight_; // Object names.
};

}
