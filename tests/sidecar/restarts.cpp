// What an instance does after its own restart with what was known before: servers that have left, caller keys
// that were withdrawn.

#include "restartedfleet.h"

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;
using namespace persimmonfield::testing;

TEST_GROUP_BASE(Restarts, RestartedFleet) {};

// The server has announced that it leaves and still serves. A report that it sent earlier arrives at the
// instance after a restart.
TEST(Restarts, AServerThatHadLeftIsNotUsedAgain)
{
    startInstances({ "orders", "orders" });
    serverOf(0).stopReports();
    serverOf(0).leave();
    CHECK(runUntil([this] { return readinessOfFirst() == "draining"; }));
    const std::string before = incarnationOfFirst();
    endFirst();
    startFirst();
    serverOf(0).report();
    awaitNewEntry(before);
    serverOf(0).report();
    runFor(Milliseconds(300));
    STRCMP_EQUAL("draining", readinessOfFirst().c_str());
    const size_t runs = serverOf(0).runs().size();
    for (int i = 0; i < 20; ++i) {
        LONGS_EQUAL(200, statusOf(1, orderRequest()));
        LONGS_EQUAL(200, statusOf(0, orderRequest()));
    }
    LONGS_EQUAL(runs, serverOf(0).runs().size());
}

// The next incarnation of a server that had left is used.
TEST(Restarts, TheNextIncarnationOfAServerThatHadLeftIsUsed)
{
    startInstances({ "orders" });
    serverOf(0).leave();
    CHECK(runUntil([this] { return readinessOfFirst() == "draining"; }));
    const std::string before = incarnationOfFirst();
    endFirst();
    serverOf(0).stop();
    startFirst();
    instances[0]->restartServer(loop);
    awaitNewEntry(before);
    CHECK(runUntil([this] { return readinessOfFirst() == "ready"; }));
    LONGS_EQUAL(200, statusOf(0, orderRequest()));
}

// A caller key is withdrawn while the instance is away, and the store cannot be reached when it is back.
TEST(Restarts, AWithdrawnCallerKeyIsNotAcceptedAgain)
{
    startInstances({ "orders", "orders" });
    LONGS_EQUAL(200, statusOf(0, orderRequest()));
    endFirst();
    nlohmann::json withoutKey = configuration(2);
    withoutKey["tenants"][0]["apiKeys"] = { "another" };
    store->put("config", "main", withoutKey);
    CHECK(runUntil([this] { return statusOf(1, orderRequest()) == 401; }));
    const size_t runs = runsOfAll();
    store->setDown(true);
    startFirst();
    runFor(Milliseconds(500));
    LONGS_EQUAL(503, statusOf(0, orderRequest()));
    store->setDown(false);
    CHECK(runUntil([this] { return statusOf(0, orderRequest()) == 401; }));
    LONGS_EQUAL(runs, runsOfAll());
}
