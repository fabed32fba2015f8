#pragma once

#include "base/boundedqueue.h"
#include "daemon/controlcontext.h"
#include "daemon/coordinationduty.h"
#include "daemon/gossipduty.h"
#include "daemon/leaseduty.h"
#include "transport/peernetwork.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace persimmonfield {

struct ControlOptions {
    settings::SettingsSchema settings;
    Authority* authority = nullptr;
    Counters* counters = nullptr;
    Timeline* timeline = nullptr;
    PeerNetwork* network = nullptr;
    std::function<bool()> isServerUp;
    std::function<bool()> isServerDraining;
    std::function<void(const std::shared_ptr<const FleetView>& view)> onView; // On the control thread.
};

// The thread that decides: membership, leases, ownership and gossip. Everything reaches it as a function in
// its ring, and every decision is made by pure classes.
class Control {
public:
    explicit Control(ControlOptions options);
    ~Control();

    void start();
    void stop();

    // Hands everything over, then answers true; false when it took longer than `patience`.
    bool depart(Milliseconds patience);

    // A control message of a peer; thread-safe.
    void onMessage(LinkId link, peer::PeerMessage message);

    // The newest view; thread-safe.
    std::shared_ptr<const FleetView> view() const;

    // This daemon's present incarnation; thread-safe.
    InstanceId self() const;

private:
    void post(const std::function<void()>& function);
    void run();
    void step(TimePoint now);
    void beginIncarnation();
    void handle(LinkId link, const peer::PeerMessage& message);
    void handleLeaseMessage(LinkId link, const peer::PeerMessage& message, TimePoint now);
    void handleNews(int64_t after, int64_t revision, const std::vector<peer::StoredObject>& objects);
    void noteWritten(const std::string& name, const std::string& value, int64_t version);
    void refreshView();
    void sendTo(const InstanceId& to, const peer::PeerMessage& message) const;
    void reply(LinkId link, peer::PeerMessage message) const;
    void askSeeds(TimePoint now);
    void updateSharedState(TimePoint now);

    ControlOptions options_;
    ControlContext context_;
    BoundedQueue<std::function<void()>> ring_;
    StoreWorker store_;
    FleetViewBuilder viewBuilder_;
    GossipDuty gossip_;
    std::unique_ptr<LeaseDuty> lease_;
    std::unique_ptr<CoordinationDuty> coordination_;
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
