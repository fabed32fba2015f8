// Changes of the store that instances pass on to each other in place of watching the store each.

#include <rapidcheck.h>

#include "sidecar/feedbody.h"
#include "sidecar/feedchoice.h"
#include "sidecarfleet.h"
#include "standins/faultproxy.h"

#include <map>
#include <random>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;
using namespace persimmonfield::testing;

namespace {

std::vector<FeedChoice::Candidate> instancesNamed(int count)
{
    std::vector<FeedChoice::Candidate> instances;
    for (int i = 0; i < count; ++i)
        instances.push_back({ "instance-" + std::to_string(i), i % 3 == 0 ? 0.5 : 0.1 });
    return instances;
}

std::map<std::string, std::string> followedByAll(const std::vector<FeedChoice::Candidate>& instances,
    const std::function<std::set<std::string>()>& avoided)
{
    std::map<std::string, std::string> followed;
    for (const FeedChoice::Candidate& instance : instances) {
        FeedChoice choice(instance.name);
        choice.setInstances(instances);
        followed[instance.name] = choice.choose(avoided());
    }
    return followed;
}

}

TEST_GROUP(FeedChoice) {};

TEST(FeedChoice, AFewInstancesOfAZoneWatchTheStoreAndTheOthersAreSpreadOverThem)
{
    const std::map<int, int> watchersBySize { { 1, 1 }, { 4, 1 }, { 25, 1 }, { 60, 3 } };
    for (const auto& [size, watchers] : watchersBySize) {
        const auto followed = followedByAll(instancesNamed(size), [] { return std::set<std::string>(); });
        std::map<std::string, int> followers;
        for (const auto& [instance, other] : followed)
            ++followers[other];
        LONGS_EQUAL(watchers, followers[""]);
        followers.erase("");
        LONGS_EQUAL(size == 1 ? 0 : watchers, followers.size());
        for (const auto& [instance, count] : followers) {
            CHECK(count < 36);
            // An instance with more cores.
            LONGS_EQUAL(0, std::stoi(instance.substr(instance.find('-') + 1)) % 3);
        }
    }
}

// Instances may avoid different others. Still no circle forms in which everybody waits for changes.
TEST(FeedChoice, NoCircleForms)
{
    const bool isTrue = rc::check("chains of followers end", [](uint64_t seed) {
        std::mt19937_64 random(seed);
        const auto instances = instancesNamed(1 + static_cast<int>(random() % 60));
        const auto followed = followedByAll(instances, [&] {
            std::set<std::string> avoided;
            for (const FeedChoice::Candidate& instance : instances) {
                if (random() % 3 == 0)
                    avoided.insert(instance.name);
            }
            return avoided;
        });
        for (const FeedChoice::Candidate& instance : instances) {
            std::string at = instance.name;
            for (size_t steps = 0; !at.empty(); ++steps) {
                RC_ASSERT(steps <= instances.size());
                at = followed.at(at);
            }
        }
    });
    CHECK(isTrue);
}

TEST_GROUP(FeedBody) {};

TEST(FeedBody, ObjectsAreReadAsTheyWereWritten)
{
    StoreObject changed;
    changed.name = "changed";
    changed.revision = 7;
    changed.value = { { "a", { 1, 2 } } };
    StoreObject unreadable;
    unreadable.name = "unreadable";
    unreadable.revision = 8;
    StoreObject gone;
    gone.name = "gone";
    gone.revision = 9;
    gone.isDeleted = true;
    const auto read = readFeedBody("kind", writeFeedBody({ changed, unreadable, gone }));
    CHECK(read.ok());
    LONGS_EQUAL(3, read->size());
    CHECK(read->at(0).value == changed.value);
    LONGS_EQUAL(7, read->at(0).revision);
    CHECK(read->at(1).value.is_null());
    CHECK(!read->at(1).isDeleted);
    CHECK(read->at(2).isDeleted);
    STRCMP_EQUAL("kind", read->at(2).kind.c_str());
}

TEST(FeedBody, MalformedBodiesAreErrors)
{
    for (const char* body : { "17", "{}1", "[17]", R"({"a":1})", R"([{"name":"n"}])",
             R"([{"name":17,"revision":1,"value":1}])", R"([{"name":"n","revision":"1","value":1}])" })
        CHECK(!readFeedBody("kind", body).ok());
    CHECK(!readFeedBody("kind", std::string(100'000, '[')).ok());
    // Compressed texts that are cut off, changed, or said to be very large.
    StoreObject large;
    large.name = "large";
    large.value = std::string(100'000, 'x');
    const std::string compressed = writeFeedBody({ large });
    CHECK(compressed.size() < 10'000);
    CHECK(readFeedBody("kind", compressed)->at(0).value == large.value);
    for (size_t size = 1; size < compressed.size(); size += 7)
        CHECK(!readFeedBody("kind", compressed.substr(0, size)).ok());
    for (size_t at = 1; at < 5; ++at) {
        std::string changed = compressed;
        changed[at] = static_cast<char>(changed[at] ^ 0x81);
        CHECK(!readFeedBody("kind", changed).ok());
    }
    CHECK(readFeedBody("kind", "").ok());
}

namespace {

// The instances with even numbers are in one zone, those with odd numbers in the other one.
struct FleetOfTwoZones : public SidecarFleet {
    static constexpr size_t zoneCount = 2;
    FaultProxy proxy { loop, proxiedStoreAddress, storeAddress };

    void startSix()
    {
        canAllEnd = true;
        startInstances({ "orders", "orders", "gallery", "gallery", "orders", "orders" });
        CHECK(runUntil([this] { return store->openWatches("config") == zoneCount; }));
    }

    // Whether callers of the instance are served by this version of the configuration.
    bool hasOrders(int index) { return statusOf(index, orderRequest()) != 404; }

    // Takes the route of orders away, and waits until each of the instances knows.
    void checkChangeReaches(const std::vector<int>& indexes)
    {
        store->put("config", "main", configuration(2, false));
        const TimePoint end = BootClock::now() + Milliseconds(2'000);
        for (const int index : indexes)
            CHECK(runUntil([&] { return !hasOrders(index); }));
        CHECK(BootClock::now() < end);
    }

    // The index of the instance that watches the store for a zone.
    int watcherOf(int zone)
    {
        std::vector<FeedChoice::Candidate> candidates;
        for (size_t i = static_cast<size_t>(zone); i < instances.size(); i += zoneCount)
            candidates.push_back({ instances[i]->settings.name, 0 });
        FeedChoice own(candidates[0].name);
        own.setInstances(candidates);
        const std::string followed = own.choose({});
        const std::string watcher = followed.empty() ? candidates[0].name : followed;
        return std::stoi(watcher.substr(1));
    }
};

}

TEST_GROUP_BASE(ChangeFeed, FleetOfTwoZones) {};

TEST(ChangeFeed, OneInstanceOfEachZoneWatchesTheStore)
{
    startSix();
    runFor(Milliseconds(1'000));
    LONGS_EQUAL(zoneCount, store->openWatches("config"));
    LONGS_EQUAL(zoneCount, store->openWatches("evacuations"));
    checkChangeReaches({ 0, 1, 2, 3, 4, 5 });
    LONGS_EQUAL(zoneCount, store->openWatches("config"));
}

TEST(ChangeFeed, ChangesArriveAfterTheInstanceThatWatchesHasStopped)
{
    startSix();
    const int watcher = watcherOf(0);
    bool isStopped = false;
    instances[static_cast<size_t>(watcher)]->sidecar->stop([&isStopped] { isStopped = true; });
    CHECK(runUntil([&isStopped] { return isStopped; }));
    instances[static_cast<size_t>(watcher)]->endProcess();
    std::vector<int> others;
    for (int index = 0; index < 6; ++index) {
        if (index != watcher)
            others.push_back(index);
    }
    checkChangeReaches(others);
}

TEST(ChangeFeed, ChangesArriveAfterTheInstanceThatWatchesIsLost)
{
    startSix();
    const int watcher = watcherOf(0);
    instances[static_cast<size_t>(watcher)]->endProcess();
    std::vector<int> others;
    for (int index = 0; index < 6; ++index) {
        if (index != watcher)
            others.push_back(index);
    }
    checkChangeReaches(others);
}

// The store says nothing any more on the watches that are open.
TEST(ChangeFeed, ChangesArriveAfterTheWatchesHaveGoneSilent)
{
    startSix();
    store->silenceWatches("config", 1);
    checkChangeReaches({ 0, 1, 2, 3, 4, 5 });
}

// Objects that are deleted while the instance that watches has no connection are gone for its followers as
// well.
TEST(ChangeFeed, DeletionsDuringABreakArrive)
{
    startSix();
    store->setDown(true);
    runFor(Milliseconds(300));
    store->remove(fleetKind, instanceObjectName("i5"));
    store->compactHistory();
    store->setDown(false);
    CHECK(runUntil([this] { return store->openWatches("config") == zoneCount; }));
    checkChangeReaches({ 0, 1, 2, 3, 4 });
}
