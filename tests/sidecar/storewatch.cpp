// The store's event-driven session against the stand-in store: how often it watches.

#include "platformedges.h"
#include "standins/faultproxy.h"
#include "standins/loopback.h"
#include "store/storesession.h"

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;

namespace {

const Address storeAddress { "127.0.0.1", 18'798 };
const Address proxiedStoreAddress { "127.0.0.1", 18'796 };
constexpr const char* kind = "things";
constexpr Milliseconds longTime { 20'000 };

}

TEST_GROUP(StoreWatch)
{
    asio::io_context loop { 1 };
    StandInStore store { loop, storeAddress };
    StoreTransport transport { loop, storeAddress };
    StoreSession session { loop, transport, platform::platformEdges().store,
        { std::chrono::hours(1), std::chrono::hours(1) } };
    std::set<std::string> seen;

    bool runUntil(const std::function<bool()>& condition)
    {
        const TimePoint end = BootClock::now() + longTime;
        while (!condition()) {
            if (BootClock::now() >= end)
                return false;
            loop.restart();
            loop.run_one_for(Milliseconds(20));
        }
        return true;
    }

    bool sees(const std::string& name)
    {
        return runUntil([this, &name] { return seen.count(name) > 0; });
    }

    void watch()
    {
        session.watch(kind, [this](const StorePage& page, bool) {
            for (const StoreObject& object : page.objects)
                seen.insert(object.name);
        });
    }
};

TEST(StoreWatch, ChangesBetweenTwoWatchesComeTogether)
{
    watch();
    session.setWatchInterval(kind, std::chrono::hours(1));
    // The first watch has been waiting.
    CHECK(runUntil([this] { return store.watchCalls() == 1; }));
    store.put(kind, "first", {});
    CHECK(sees("first"));
    for (int i = 0; i < 20; ++i)
        store.put(kind, "more" + std::to_string(i), {});
    CHECK_FALSE(seen.count("more0") > 0);
    // Whoever knows of a change that matters has it read at once.
    session.hurryWatch(kind, 1'000);
    CHECK(sees("more19"));
    LONGS_EQUAL(21, seen.size());
    LONGS_EQUAL(2, store.watchCalls());
}

// What is read late anyway is read for less; what somebody waits for is not.
TEST(StoreWatch, PacedWatchesMayBeStaleButHurriedOnesMayNot)
{
    watch();
    session.setWatchInterval(kind, Milliseconds(1));
    CHECK(runUntil([this] { return store.watchCalls() == 1; }));
    store.put(kind, "first", {});
    CHECK(runUntil([this] { return store.watchCalls() == 2; }));
    LONGS_EQUAL(2, store.staleWatchCalls());
    session.hurryWatch(kind, store.revision() + 1);
    CHECK(runUntil([this] { return store.watchCalls() == 3; }));
    LONGS_EQUAL(2, store.staleWatchCalls());
    store.put(kind, "second", {});
    CHECK(sees("second"));
}

TEST(StoreWatch, WhatIsKnownIsNotReadAgain)
{
    store.put(kind, "first", {});
    watch();
    session.setWatchInterval(kind, std::chrono::hours(1));
    CHECK(runUntil([this] { return store.watchCalls() == 1; }));
    store.put(kind, "second", {});
    CHECK(sees("second"));
    session.hurryWatch(kind, 1);
    loop.restart();
    loop.run_for(Milliseconds(50));
    LONGS_EQUAL(1, store.watchCalls());
}

TEST(StoreWatch, ABrokenWatchGoesOnWhenTheStoreIsBack)
{
    bool isBroken = false;
    transport.setReachableHandler([&isBroken](bool isReachable) { isBroken = !isReachable; });
    store.setDown(true);
    watch();
    CHECK(runUntil([&isBroken] { return isBroken; }));
    store.setDown(false);
    store.put(kind, "first", {});
    // The next try by itself would come after an hour.
    transport.setReachableHandler([this](bool isReachable) { session.onReachable(isReachable); });
    CHECK(runUntil([this] {
        session.list("others", false, [](const absl::StatusOr<StorePage>&) {});
        loop.restart();
        loop.run_for(Milliseconds(20));
        return seen.count("first") > 0;
    }));
}

TEST(StoreWatch, ABrokenWatchListsAnew)
{
    StoreSession prompt { loop, transport, platform::platformEdges().store };
    prompt.watch(kind, [this](const StorePage& page, bool) {
        for (const StoreObject& object : page.objects)
            seen.insert(object.name);
    });
    CHECK(runUntil([this] { return store.watchCalls() == 1; }));
    store.cutWatches();
    store.put(kind, "first", {});
    CHECK(sees("first"));
    // It goes on from the revision of the listing.
    CHECK(runUntil([this] { return store.watchCalls() == 2; }));
    store.put(kind, "second", {});
    CHECK(sees("second"));
}

TEST(StoreWatch, AWatchThatHasGoneSilentIsGivenUpForANewerRevision)
{
    FaultProxy proxy(loop, proxiedStoreAddress, storeAddress);
    StoreTransport proxied { loop, proxiedStoreAddress };
    bool wasLost = false;
    proxied.setReachableHandler([&wasLost](bool isReachable) { wasLost = wasLost || !isReachable; });
    StoreSession prompt { loop, proxied, platform::platformEdges().store };
    prompt.watch(kind, [this](const StorePage& page, bool) {
        for (const StoreObject& object : page.objects)
            seen.insert(object.name);
    });
    // A connection of its own for the watch, and one that lies idle.
    prompt.list("others", false, [](const absl::StatusOr<StorePage>&) {});
    CHECK(runUntil([this] { return store.watchCalls() == 1; }));
    proxy.silenceOpen();
    store.put(kind, "first", {});
    prompt.hurryWatch(kind, store.revision());
    CHECK(sees("first"));
    // The way to the store was there all the while.
    CHECK_FALSE(wasLost);
}

// Only a call that came later notices that the connections have gone silent.
TEST(StoreWatch, AWatchThatHasGoneSilentBeginsAnewWhenTheStoreIsBack)
{
    FaultProxy proxy(loop, proxiedStoreAddress, storeAddress);
    StoreTransport proxied { loop, proxiedStoreAddress };
    StoreSession prompt { loop, proxied, platform::platformEdges().store };
    proxied.setReachableHandler([&prompt](bool isReachable) { prompt.onReachable(isReachable); });
    prompt.watch(kind, [this](const StorePage& page, bool) {
        for (const StoreObject& object : page.objects)
            seen.insert(object.name);
    });
    int calls = 0;
    prompt.list("others", false, [&calls](const absl::StatusOr<StorePage>&) { ++calls; });
    CHECK(runUntil([this, &calls] { return store.watchCalls() == 1 && calls == 1; }));
    proxy.silenceOpen();
    store.put(kind, "first", {});
    for (int i = 1; i <= 2; ++i) {
        prompt.list("others", false, [&calls](const absl::StatusOr<StorePage>&) { ++calls; });
        CHECK(runUntil([i, &calls] { return calls == i + 1; }));
    }
    CHECK(sees("first"));
}

TEST(StoreWatch, AWatchThatWaitsWhenTheStoreIsLostGoesOnThroughAnotherInstance)
{
    FaultProxy proxy(loop, proxiedStoreAddress, storeAddress);
    StoreTransport proxied { loop, proxiedStoreAddress };
    proxied.setRelay([this](const HttpRequest& request, Duration timeout, const StoreTransport::Done& done) {
        transport.call(request, timeout, done);
        return true;
    });
    StoreSession prompt { loop, proxied, platform::platformEdges().store };
    proxied.setReachableHandler([&prompt](bool isReachable) { prompt.onReachable(isReachable); });
    prompt.watch(kind, [this](const StorePage& page, bool) {
        for (const StoreObject& object : page.objects)
            seen.insert(object.name);
    });
    CHECK(runUntil([this] { return store.watchCalls() == 1; }));
    proxy.setCut(true, true);
    store.put(kind, "first", {});
    // Shows that the store is lost.
    prompt.list("others", false, [](const absl::StatusOr<StorePage>&) {});
    CHECK(sees("first"));
}

TEST(StoreWatch, AStoreThatGoesSilentIsNoticedWhileOnlyAWatchWaits)
{
    FaultProxy proxy(loop, proxiedStoreAddress, storeAddress);
    StoreTransport proxied { loop, proxiedStoreAddress };
    bool isLost = false;
    proxied.setReachableHandler([&isLost](bool isReachable) { isLost = !isReachable; });
    StoreSession prompt { loop, proxied, platform::platformEdges().store };
    prompt.watch(kind, [](const StorePage&, bool) {});
    prompt.probe(kind, Milliseconds(100));
    CHECK(runUntil([this] { return store.watchCalls() == 1; }));
    proxy.setCut(true, true);
    CHECK(runUntil([&isLost] { return isLost; }));
}

TEST(StoreWatch, AChangeThatIsToldWhileAWatchIsBrokenIsReadOnceItGoesOn)
{
    StoreSession prompt { loop, transport, platform::platformEdges().store };
    prompt.watch(kind, [this](const StorePage& page, bool) {
        for (const StoreObject& object : page.objects)
            seen.insert(object.name);
    });
    prompt.setWatchInterval(kind, std::chrono::hours(1));
    CHECK(runUntil([this] { return store.watchCalls() == 1; }));
    bool isBroken = false;
    transport.setReachableHandler([&isBroken](bool isReachable) { isBroken = isBroken || !isReachable; });
    store.cutWatches();
    CHECK(runUntil([&isBroken] { return isBroken; }));
    store.put(kind, "first", {});
    // The listing that comes next does not have it yet.
    prompt.hurryWatch(kind, store.revision() + 1);
    CHECK(sees("first"));
    store.put(kind, "second", {});
    CHECK(sees("second"));
}

TEST(StoreWatch, AChangeOfAKindThatIsNotWatchedIsPassedOver)
{
    session.hurryWatch("others", 1'000);
    LONGS_EQUAL(0, store.watchCalls());
}
