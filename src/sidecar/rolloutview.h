#pragma once

#include "messages/reply.h"
#include "rollout/exposurebudget.h"
#include "rollout/rolloutorder.h"
#include "rollout/rolloutplan.h"
#include "sidecar/fleetdirectory.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace persimmonfield {

// Which requests may be sent to a server, as far as roll-outs are concerned.
enum class VersionUse {
    All,
    Exposed, // Only those that are charged to the exposure of the new version.
    None,
};

struct RolloutViewOptions {
    std::string instance; // Name of this instance.
    double canaryShare = 0; // 0 if there are no roll-outs.
    int canarySlack = 0;
    Milliseconds rollbackTime { 0 };
    const FleetDirectory* directory = nullptr;
    std::function<uint64_t()> random; // Returns uniformly distributed numbers.
};

// What this instance knows of roll-outs, from the operator's orders, their records in the store and what the
// instance that takes the steps has told. Decides which servers this instance's ingress and gate may use.
// Positions only go forward within one order. Performs no I/O other than logging.
class RolloutView {
public:
    // An order as this instance has read it.
    struct Order {
        RolloutOrder order;
        int64_t revision = 0; // Of the operator's object.
        TimePoint seenAt;
    };

    // A roll-out as this instance knows it.
    struct Rollout {
        stored::RolloutRecord record; // Its state and stage are those of `position`.
        RolloutPosition position;
        TimePoint startedAt; // Of the order, by this instance's clock.
        TimePoint positionSince;
        TimePoint knownSince;
        std::optional<TimePoint> noticeAt; // When the instance that takes the steps was last heard of.
        bool isTargetGone = false; // All servers of a version that was taken back are gone.
        // Old servers that get no more requests, by instance and id. Their successors may be used again.
        std::set<std::pair<std::string, std::string>> closedServers;
    };

    explicit RolloutView(RolloutViewOptions options);

    bool isEnabled() const { return options_.canaryShare > 0; }

    // Whether the orders have been listed; always true if there are no roll-outs.
    bool areOrdersKnown() const { return areOrdersKnown_ || !isEnabled(); }

    // Sets, changes or removes the order of a service.
    void setOrder(const RolloutOrder& order, int64_t revision, TimePoint now);
    void removeOrder(const std::string& service);
    // The orders have been listed; those of other services than these are removed.
    void setListed(const std::set<std::string>& services);

    // Applies a record, from the store or from a notice. Returns whether the position has changed.
    bool applyRecord(const stored::RolloutRecord& record, TimePoint now);
    // Records that the instance that takes the steps was heard of.
    void recordNotice(const std::string& service, int64_t generation, TimePoint now);
    // Applies the records of the directory. Returns whether a position has changed.
    bool onDirectoryChange(TimePoint now);

    // Whether the service has had an order that does not exist any more.
    bool isWithdrawn(const std::string& service, TimePoint now) const;

    const std::map<std::string, Order>& orders() const { return orders_; }
    const std::map<std::string, Rollout>& rollouts() const { return rollouts_; }
    const Rollout* rollout(const std::string& service) const;

    // Whether the servers of the service are chosen by their versions.
    bool isInForce(const std::string& service) const;

    // Charges a request to the exposure of the new version. Returns false if it must not get one now.
    bool takeExposure(const std::string& service);
    // The charged request has not reached a server.
    void giveBackExposure(const std::string& service);
    // A request of this instance has reached a server of the service.
    void onServed(const std::string& service);
    // The version that a charged request may run on.
    std::string targetVersion(const std::string& service) const;

    VersionUse useOf(const std::string& service, const std::string& version, const std::string& instance,
        const std::string& server) const;
    VersionUse useOf(const std::string& name, const stored::InstanceEntry& entry) const;

    // The instances whose new servers get the charged requests, of those that accept work.
    std::set<std::string> exposedInstances(
        const std::string& service, const std::set<std::string>& accepting) const;

    // Why the server next to this instance must not run the request; std::nullopt if it may.
    std::optional<Reply> refusal(const peer::ForwardedRequest& request, const std::string& version,
        const std::string& server, TimePoint now) const;

private:
    void moveTo(Rollout& rollout, const RolloutPosition& position, TimePoint now);
    void closeOldServers(Rollout& rollout) const;
    void updateBudget(const Rollout& rollout);
    bool hasOtherVersion(const std::string& service, const std::string& version) const;
    // Whether a server of the version may still come back without being started anew.
    bool isUp(const std::string& service, const std::string& version) const;

    RolloutViewOptions options_;
    bool areOrdersKnown_ = false;
    std::map<std::string, Order> orders_; // By service.
    std::set<std::string> removedOrders_; // Services whose orders have been seen to go.
    std::map<std::string, Rollout> rollouts_; // By service.
    std::map<std::string, ExposureBudget> budgets_; // By service.
    std::map<std::string, int64_t> appliedRevisions_; // Of the directory's records, by service.
};

RolloutState stateOf(const stored::RolloutRecord& record);
stored::RolloutState storedState(RolloutState state);
// The name of the state in logs and counters.
const char* stateName(RolloutState state);

}
