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

// Manages the ownership of partitions on this daemon. Keeps its grants in line with the partition tables. If
// this daemon is the coordinator of a service by its rank, also removes lost instances and places partitions.
// Each incarnation has its own object.
class OwnershipManager {
public:
    explicit OwnershipManager(ControlContext& context);
    ~OwnershipManager();

    // Reconciles the grants with the new view immediately.
    void onViewChange();

    // Performs the actions that are due.
    void step(TimePoint now);

    void onSuspicion(const peer::Suspicion& suspicion, TimePoint now);
    void onPromise(const peer::Promise& promise, TimePoint now);

    // Reports lease holders that this witness has not heard from to their coordinators.
    void reportSuspects(const std::vector<InstanceId>& suspects, TimePoint now);

    bool ownsNothing() const;

private:
    // The joined, unsuspected instances with the lowest coordinator ranks for the service, lowest first.
    std::vector<InstanceId> coordinators(const std::string& service, size_t count) const;
    bool isCoordinator(const std::string& service) const;
    std::set<std::string> services() const;
    void writeReleases();
    void writeTables(TimePoint now, bool viewChanged);
    void advanceTakeovers(TimePoint now);
    // Removes the entries of instances that own nothing and lapsed long enough ago.
    void removeLapsedEntries(TimePoint now);

    ControlContext& context_;
    GrantReconciler grants_;
    Takeover takeover_;
    TablePlanner planner_;
    std::map<InstanceId, TimePoint> suspectedUntil_;
    std::map<InstanceId, TimePoint> lapsedSince_; // When this daemon first saw the lapsed entry.
    TimePoint nextRemoval_;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
    TimePoint nextTablePlan_;
    TimePoint nextTakeover_;
    TimePoint nextReport_;
    bool isPlanDue_ = true;
};

}
