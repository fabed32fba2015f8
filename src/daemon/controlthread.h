#pragma once

#include "base/boundedqueue.h"
#include "daemon/controlcontext.h"
#include "daemon/gossipmanager.h"
#include "daemon/leasemanager.h"
#include "daemon/ownershipmanager.h"
#include "transport/peernetwork.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace persimmonfield {

struct ControlThreadOptions {
    settings::SettingsSchema settings;
    Authority* authority = nullptr;
    Counters* counters = nullptr;
    Timeline* timeline = nullptr;
    PeerNetwork* network = nullptr;
    std::function<bool()> isServerUp;
    std::function<bool()> isServerDraining;
    std::function<void(const std::shared_ptr<const FleetView>& view)> onViewChange; // On the control thread.
};

// The thread that makes all decisions about membership, leases, ownership and gossip. Messages and results
// reach it as functions in its event queue; the decisions are made by classes that do no I/O.
class ControlThread {
public:
    explicit ControlThread(ControlThreadOptions options);
    ~ControlThread();

    void start();
    void stop();

    // Hands over everything that this daemon owns and leaves the fleet. Returns false if that takes longer
    // than `timeout`.
    bool depart(Milliseconds timeout);

    // Handles a control message from a peer. Thread-safe.
    void onMessage(LinkId link, peer::PeerMessage message);

    // The current view of the fleet. Thread-safe.
    std::shared_ptr<const FleetView> view() const;

    // This daemon's current incarnation. Thread-safe.
    InstanceId self() const;

private:
    void post(const std::function<void()>& function);
    void run();
    void step(TimePoint now);
    void beginIncarnation();
    void handle(LinkId link, const peer::PeerMessage& message);
    void handleLeaseMessage(LinkId link, const peer::PeerMessage& message, TimePoint now);
    void applyChanges(int64_t after, int64_t revision, const std::vector<peer::StoredObject>& objects);
    void onWritten(const std::string& name, const std::string& value, int64_t version);
    void refreshView();
    void sendTo(const InstanceId& to, const peer::PeerMessage& message) const;
    void sendOnLink(LinkId link, peer::PeerMessage message) const;
    void contactSeeds(TimePoint now);
    void updateSharedState(TimePoint now);

    ControlThreadOptions options_;
    ControlContext context_;
    BoundedQueue<std::function<void()>> events_;
    StoreWorker store_;
    FleetViewBuilder viewBuilder_;
    GossipManager gossip_;
    std::unique_ptr<LeaseManager> lease_;
    std::unique_ptr<OwnershipManager> ownership_;
    bool isViewDirty_ = false;
    TimePoint nextSeedRound_;
    TimePoint nextWatchCheck_;
    int64_t configVersion_ = 0;
    std::atomic<int64_t> knownRevision_ { 0 };
    std::atomic<bool> shouldWatch_ { true };
    std::atomic<bool> hasDeparted_ { false };
    std::atomic<bool> isStopping_ { false };
    mutable std::mutex sharedMutex_;
    std::shared_ptr<const FleetView> sharedView_;
    InstanceId sharedSelf_;
    std::thread thread_;
};

}
