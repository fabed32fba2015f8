#pragma once

#include "daemon/controlcontext.h"
#include "ownership/grantreconciler.h"
#include "ownership/tableplanner.h"
#include "ownership/takeover.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace persimmonfield {

// This daemon's part in ownership: follows the table with its own grants, and, where its rank makes it the
// coordinator of a service, takes lost instances out and places partitions. One object lives as long as one
// incarnation.
class CoordinationDuty {
public:
    explicit CoordinationDuty(ControlContext& context);
    ~CoordinationDuty();

    // Follows a changed view at once.
    void followView();

    // Decides what is due now.
    void step(TimePoint now);

    void onSuspicion(const peer::Suspicion& suspicion, TimePoint now);
    void onPromise(const peer::Promise& promise, TimePoint now);

    // Tells the coordinators about holders that are silent towards this witness.
    void reportSuspects(const std::vector<InstanceId>& suspects, TimePoint now);

    bool ownsNothing() const;

private:
    // The instances fittest to coordinate the service, best first.
    std::vector<InstanceId> coordinators(const std::string& service, size_t count) const;
    bool isCoordinator(const std::string& service) const;
    std::set<std::string> services() const;
    void writeReleases();
    void writeTables(TimePoint now, bool viewChanged);
    void takeOver(TimePoint now);
    // Removes the entries of instances that lapsed long ago and own nothing.
    void removeLapsed(TimePoint now);

    ControlContext& context_;
    GrantReconciler grants_;
    Takeover takeover_;
    TablePlanner planner_;
    std::map<InstanceId, TimePoint> suspectedUntil_;
    std::map<InstanceId, TimePoint> lapsedSince_; // As this daemon first saw it.
    TimePoint nextRemoval_;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
    TimePoint nextTablePlan_;
    TimePoint nextTakeover_;
    TimePoint nextReport_;
    bool isPlanDue_ = true;
};

}
