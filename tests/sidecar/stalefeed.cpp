// Instances that follow another one to which the store has gone silent. The store responds to the followers,
// so a change must reach them as if they watched it themselves.

#include "base/hashing.h"
#include "sidecarfleet.h"
#include "standins/faultproxy.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>

using namespace persimmonfield;
using namespace persimmonfield::testing;

namespace {

// Each instance reaches the store through a proxy of its own.
struct FleetWithStorePaths : public SidecarFleet {
    static constexpr int size = 8;
    static constexpr int zones = 2;
    static constexpr int firstPathPort = 18'780;
    static constexpr Milliseconds configurationBound { 2'000 };

    std::vector<std::unique_ptr<FaultProxy>> paths;
    int version = 1; // Of the configuration.

    void setup() override
    {
        SidecarFleet::setup();
        canAllEnd = true;
        std::vector<std::string> services;
        for (int index = 0; index < size; ++index) {
            storeAddresses[index] = { "127.0.0.1", firstPathPort + index };
            paths.push_back(std::make_unique<FaultProxy>(loop, storeAddresses[index], storeAddress));
            services.emplace_back(index % 4 < 2 ? "orders" : "gallery");
        }
        startInstances(services);
        CHECK(runUntil([this] { return store->openWatches("config") == zones; }));
    }

    // The instances of a zone in the order in which they are chosen to watch the store.
    static std::vector<int> rankedIn(int zone)
    {
        std::vector<int> ranked;
        for (int index = zone; index < size; index += zones)
            ranked.push_back(index);
        std::sort(ranked.begin(), ranked.end(), [](int left, int right) {
            return stableHash(settingsOf(left, {}).name) < stableHash(settingsOf(right, {}).name);
        });
        return ranked;
    }

    // The first `count` instances of each zone that would watch the store.
    static std::set<int> firstOfEachZone(size_t count)
    {
        std::set<int> first;
        for (int zone = 0; zone < zones; ++zone) {
            const std::vector<int> ranked = rankedIn(zone);
            first.insert(ranked.begin(), ranked.begin() + static_cast<int>(count));
        }
        return first;
    }

    // The first three by name of the instances that do not watch: these are asked first to relay reads.
    static std::set<int> firstRelays(const std::set<int>& watching)
    {
        std::set<int> relays;
        for (int index = 0; relays.size() < 3; ++index) {
            if (watching.count(index) == 0)
                relays.insert(index);
        }
        return relays;
    }

    // Lets the store respond to all instances now, so that none probes it for a while.
    void touchAll()
    {
        store->put(fleetKind, "unrelated", {});
        runFor(Milliseconds(100));
    }

    void silence(const std::set<int>& indexes, bool isToStore = true, bool isFromStore = true)
    {
        for (const int index : indexes)
            paths[static_cast<size_t>(index)]->setBlocked(isToStore, isFromStore);
    }

    // Does not wait long for a server that does not respond.
    bool hasOrders(int index)
    {
        HttpRequest request = orderRequest();
        for (auto& header : request.headers) {
            if (header.name == "Persimmonfield-Deadline-Ms")
                header.value = "50";
        }
        return statusOf(index, request) != 404;
    }

    void bringOrdersBack()
    {
        store->put("config", "main", configuration(++version));
        for (int index = 0; index < size; ++index)
            CHECK(runUntil([&] { return hasOrders(index); }));
        CHECK(runUntil([this] { return store->openWatches("config") == zones; }));
    }

    // Takes a route away, and checks that all other instances know in time.
    void checkChangeReachesAllBut(const std::set<int>& excluded)
    {
        store->put("config", "main", configuration(++version, false));
        const TimePoint end = BootClock::now() + configurationBound;
        for (int index = 0; index < size; ++index) {
            if (excluded.count(index) == 0)
                CHECK(runUntil([&] { return !hasOrders(index); }));
        }
        CHECK(BootClock::now() < end);
    }
};

std::set<int> both(std::set<int> left, const std::set<int>& right)
{
    left.insert(right.begin(), right.end());
    return left;
}

}

TEST_GROUP_BASE(StaleFeed, FleetWithStorePaths) {};

// review/15: followers kept the older configuration while their watcher had no way to the store and its
// relays were dead.
TEST(StaleFeed, AChangeArrivesThoughTheWatchersAreCutOffAndTheirRelaysAreDead)
{
    const std::set<int> watchers = firstOfEachZone(1);
    const std::set<int> relays = firstRelays(watchers);
    touchAll();
    for (const int index : relays)
        instances[static_cast<size_t>(index)]->endProcess();
    silence(watchers);
    checkChangeReachesAllBut(both(watchers, relays));
}

TEST(StaleFeed, AChangeArrivesThoughTheWatchersAreCutOffAndTheirRelaysAreSilent)
{
    const std::set<int> watchers = firstOfEachZone(1);
    const std::set<int> relays = firstRelays(watchers);
    touchAll();
    for (const int index : relays)
        instances[static_cast<size_t>(index)]->isFrozen = true;
    silence(watchers);
    checkChangeReachesAllBut(both(watchers, relays));
}

// The instances that would be followed next have no way to the store either.
TEST(StaleFeed, AChangeArrivesThoughTheStoreIsSilentToMostOfAZone)
{
    for (const size_t count : { 2, 3 }) {
        const std::set<int> silenced = firstOfEachZone(count);
        touchAll();
        silence(silenced);
        checkChangeReachesAllBut(silenced);
        silence(silenced, false, false);
        bringOrdersBack();
    }
}

TEST(StaleFeed, AChangeArrivesThoughTheStoreIsSilentInOneDirection)
{
    for (const bool isToStore : { true, false }) {
        const std::set<int> silenced = firstOfEachZone(3);
        touchAll();
        silence(silenced, isToStore, !isToStore);
        checkChangeReachesAllBut(silenced);
        silence(silenced, false, false);
        bringOrdersBack();
    }
}

// The watchers freeze shortly before they would notice that the store is silent.
TEST(StaleFeed, AChangeArrivesThoughTheWatchersFreezeAfterTheStoreHasGoneSilent)
{
    const std::set<int> watchers = firstOfEachZone(1);
    touchAll();
    silence(watchers);
    store->put("config", "main", configuration(++version, false));
    const TimePoint end = BootClock::now() + configurationBound;
    runFor(Milliseconds(1'300));
    for (const int index : watchers)
        instances[static_cast<size_t>(index)]->isFrozen = true;
    for (int index = 0; index < size; ++index) {
        if (watchers.count(index) == 0)
            CHECK(runUntil([&] { return !hasOrders(index); }));
    }
    CHECK(BootClock::now() < end);
}

// Watches of followers would cost the store far more than the answers that show the watchers to be current.
TEST(StaleFeed, FollowersOfCurrentInstancesDoNotReadTheStore)
{
    runFor(Milliseconds(500));
    const int64_t lists = store->listCalls();
    const int64_t watches = store->watchCalls();
    constexpr int seconds = 4;
    runFor(Milliseconds(1'000 * seconds));
    LONGS_EQUAL(zones, store->openWatches("config"));
    // A probe a second of each watcher, and the listings of the leases.
    CHECK(store->listCalls() - lists <= seconds * (zones + size));
    LONGS_EQUAL(watches, store->watchCalls());
}

// Nothing would be gained if the followers watched a store that responds to nobody.
TEST(StaleFeed, FollowersGoOnWhileTheStoreIsDown)
{
    store->setDown(true);
    runFor(Milliseconds(4'000));
    store->setDown(false);
    runFor(Milliseconds(1'500));
    CHECK(store->openWatches("config") <= zones);
    checkChangeReachesAllBut({});
}
