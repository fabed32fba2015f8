// Stateful fuzzing of the partition table against an oracle that sees all daemons at once. It covers
// conditional writes whose responses are lost or that take effect late, stale views, two planners, lapses,
// departures and requests in flight. It checks that no two daemons serve a partition at the same time and
// that no fence has two owners. The simulated store keeps acknowledged writes until a later write replaces
// them.

#include "ownership/grantreconciler.h"
#include "ownership/tableplanner.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <set>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;

namespace {

constexpr int daemons = 4;
constexpr int partitions = 6;
constexpr const char* service = "cards";

struct PendingWrite {
    int daemon = 0;
    int64_t epoch = 0;
    std::string name;
    std::string value;
    int64_t expected = 0;
    TimePoint takesEffect;
    TimePoint answered;
    bool isAnswerLost = false;
    bool isDone = false;
    bool isApplied = false;
    std::optional<ReleaseWrite> release; // Not set for a write of a planner.
};

struct Daemon {
    int64_t epoch = 1;
    StoreMirror mirror;
    FleetViewBuilder builder;
    std::shared_ptr<const FleetView> view = std::make_shared<FleetView>();
    std::unique_ptr<Authority> authority;
    std::unique_ptr<GrantReconciler> reconciler;
    std::unique_ptr<TablePlanner> planner;
    std::vector<PartitionId> running;
};

class World {
public:
    explicit World(uint64_t seed)
        : random_(seed)
        , daemons_(daemons)
    {
        for (int i = 0; i < daemons; ++i)
            begin(i);
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            now_ += Milliseconds(20 + random_() % 200);
            injectFault();
            processWrites();
            for (int daemon = 0; daemon < daemons; ++daemon)
                act(daemon);
            check();
        }
    }

    int handedOver() const { return handedOver_; }
    int served() const { return served_; }

private:
    bool chance(int percent) { return static_cast<int>(random_() % 100) < percent; }
    Milliseconds upTo(int milliseconds)
    {
        return Milliseconds(random_() % static_cast<uint64_t>(milliseconds));
    }
    InstanceId idOf(int daemon) const
    {
        return { "d" + std::to_string(daemon), std::to_string(daemons_[daemon].epoch) };
    }

    void put(const std::string& name, const std::string& value)
    {
        peer::StoredObject& object = store_[name];
        object.name = name;
        object.value = value;
        object.version = ++revision_;
        object.deleted = false;
    }

    void putNode(int daemon, stored::State state, bool departing)
    {
        stored::NodeEntry entry {};
        entry.name = idOf(daemon).name;
        entry.incarnation = idOf(daemon).incarnation;
        entry.service = service;
        entry.state = state;
        entry.departing = departing;
        entry.serverUp = true;
        put(nodeObject(idOf(daemon)), nlohmann::json(entry).dump());
    }

    void begin(int daemon)
    {
        Daemon& each = daemons_[daemon];
        each.running.clear();
        each.authority = std::make_unique<Authority>();
        each.authority->setLeaseEnd(TimePoint::max());
        each.reconciler = std::make_unique<GrantReconciler>(idOf(daemon), *each.authority);
        each.planner = std::make_unique<TablePlanner>();
        putNode(daemon, stored::State::Joined, false);
    }

    void injectFault()
    {
        const int daemon = static_cast<int>(random_() % daemons);
        if (chance(3)) {
            // The lease has actually expired before the lapse is written.
            putNode(daemon, stored::State::Lapsed, false);
            ++daemons_[daemon].epoch;
            begin(daemon);
        }
        if (chance(5))
            putNode(daemon, stored::State::Joined, chance(50));
    }

    void submit(PendingWrite write)
    {
        write.takesEffect = now_ + upTo(chance(20) ? 2'000 : 20);
        write.answered = write.takesEffect + upTo(chance(20) ? 2'000 : 20);
        write.isAnswerLost = chance(15);
        writes_.push_back(std::move(write));
    }

    void processWrites()
    {
        for (PendingWrite& write : writes_) {
            if (!write.isDone && now_ >= write.takesEffect) {
                write.isDone = true;
                const auto known = store_.find(write.name);
                const int64_t present = known == store_.end() ? 0 : known->second.version;
                write.isApplied = present == write.expected;
                if (write.isApplied)
                    put(write.name, write.value);
            }
        }
        for (auto write = writes_.begin(); write != writes_.end();) {
            const bool isOver = write->isDone && now_ >= write->answered;
            if (isOver && daemons_[write->daemon].epoch == write->epoch)
                answer(*write);
            write = isOver ? writes_.erase(write) : std::next(write);
        }
    }

    void answer(const PendingWrite& write)
    {
        Daemon& daemon = daemons_[write.daemon];
        if (!write.release)
            return daemon.planner->writeEnded(write.name);
        const bool tookEffect = write.isApplied && !write.isAnswerLost;
        daemon.reconciler->releaseWriteEnded(*write.release, tookEffect, !write.isAnswerLost);
        handedOver_ += tookEffect ? 1 : 0;
    }

    void act(int daemon)
    {
        Daemon& each = daemons_[daemon];
        if (chance(50))
            updateView(each);
        each.reconciler->reconcile(*each.view, true, now_, Milliseconds(1));
        for (const ReleaseWrite& release : each.reconciler->readyReleases(*each.view))
            submit({ daemon, each.epoch, release.objectName, nlohmann::json(release.table).dump(),
                release.expectedVersion, {}, {}, false, false, false, release });
        if (daemon < 2) {
            for (const TableWrite& write : each.planner->step(*each.view, service, now_))
                submit({ daemon, each.epoch, write.objectName, nlohmann::json(write.table).dump(),
                    write.expectedVersion, {}, {}, false, false, false, std::nullopt });
        }
        serve(each);
    }

    // Copies some or all of the store's objects, as gossip may deliver only part of them.
    void updateView(Daemon& daemon)
    {
        for (const auto& [name, object] : store_) {
            if (chance(80))
                daemon.mirror.update(object);
        }
        // The configuration is not under test, so a fixed one is used.
        auto view = std::make_shared<FleetView>(*daemon.builder.build(daemon.mirror));
        auto configuration = std::make_shared<Configuration>();
        configuration->services[service] = { service, partitions };
        view->configuration = configuration;
        daemon.view = view;
    }

    void serve(Daemon& daemon)
    {
        const PartitionId partition { service, static_cast<int>(random_() % partitions) };
        if (daemon.authority->begin(partition, now_).isGranted()) {
            daemon.running.push_back(partition);
            ++served_;
        }
        if (!daemon.running.empty() && chance(60)) {
            daemon.authority->end(daemon.running.front());
            daemon.running.erase(daemon.running.begin());
        }
    }

    // Checks the daemons against the oracle.
    void check()
    {
        std::map<PartitionId, int> serving;
        for (int daemon = 0; daemon < daemons; ++daemon) {
            std::set<PartitionId> active(daemons_[daemon].running.begin(), daemons_[daemon].running.end());
            for (const auto& [partition, grant] : daemons_[daemon].authority->grants()) {
                if (!grant.isReleasing)
                    active.insert(partition);
                const auto [known, isNew]
                    = ownerOfFence_.emplace(std::make_pair(partition, grant.fence), idOf(daemon));
                RC_ASSERT(known->second == idOf(daemon));
            }
            for (const PartitionId& partition : active)
                RC_ASSERT(++serving[partition] == 1);
        }
    }

    std::mt19937_64 random_;
    TimePoint now_ { std::chrono::hours(1) };
    std::vector<Daemon> daemons_;
    std::map<std::string, peer::StoredObject> store_;
    int64_t revision_ = 0;
    std::deque<PendingWrite> writes_;
    std::map<std::pair<PartitionId, int64_t>, InstanceId> ownerOfFence_;
    int handedOver_ = 0;
    int served_ = 0;
};

}

TEST_GROUP(TableFuzz) {};

TEST(TableFuzz, NoPartitionIsServedTwiceAndNoFenceHasTwoOwners)
{
    int handedOver = 0;
    int served = 0;
    const bool isTrue = rc::check("one owner a partition", [&](uint64_t seed) {
        World world(seed);
        world.run(300);
        handedOver += world.handedOver();
        served += world.served();
    });
    CHECK(isTrue);
    CHECK(handedOver > 100);
    CHECK(served > 1'000);
}
