// Writes of the key table that were sent before an instance ended and are carried out after it has started
// again: they must not take ranges away for which it has granted keys since.

#include "restartedfleet.h"

#include "sidecar/keyleasemanager.h"

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;
using namespace persimmonfield::testing;

namespace {

constexpr int lastKey = 65'535;

// The first instance owns all keys of its service.
struct OnlyOwner : public RestartedFleet {
    struct LateWrite {
        std::string object;
        nlohmann::json value;
        int64_t builtOn = 0;
    };

    void startOnlyOwner()
    {
        startInstances({ "gallery", "orders" });
        CHECK(runUntil([this] { return serverOf(0).holds(0) && serverOf(0).holds(lastKey); }));
    }

    // A write by which another instance takes the keys, or by which the ended process gives them up.
    LateWrite lateWriteOf(const std::string& object) const
    {
        LateWrite late { object, store->value(fleetKind, object), store->revisionOf(fleetKind, object) };
        for (nlohmann::json& range : late.value.at("ranges")) {
            range["instance"] = "i1";
            range["server"] = "server-i1";
            range["fence"] = range.at("fence").get<int64_t>() + 1;
        }
        return late;
    }

    bool isCarriedOut(const LateWrite& late) const
    {
        return store->putIfUnchanged(fleetKind, late.object, late.value, late.builtOn);
    }

    // Answered only if the process that runs now has granted the key.
    void awaitGrants()
    {
        for (const int key : { 0, lastKey })
            CHECK(runUntil([this, key] { return statusOf(0, cardRequest(key)) == 200; }));
    }

    nlohmann::json leaseOfFirst() const { return store->value(leaseKind, "i0"); }

    void restartFirst()
    {
        endFirst();
        startFirst();
    }
};

const std::string table = keyTableObjectName("gallery");

}

TEST_GROUP_BASE(ConfirmedRanges, OnlyOwner) {};

// review/11: a late write gave away ranges that the restarted owner had granted after only reading the table.
TEST(ConfirmedRanges, AWriteFromBeforeARestartTakesNoGrantedRange)
{
    startOnlyOwner();
    const LateWrite late = lateWriteOf(table);
    restartFirst();
    awaitGrants();
    CHECK(!isCarriedOut(late));
}

TEST(ConfirmedRanges, AWriteFromBeforeARestartTakesNoGrantedRangeOfAnyPart)
{
    constexpr int parts = 4;
    store->put(fleetKind, table,
        { { "service", "gallery" }, { "ranges", nlohmann::json::array() }, { "parts", parts } });
    startOnlyOwner();
    std::vector<LateWrite> late;
    for (int part = 0; part < parts; ++part)
        late.push_back(lateWriteOf(keyTablePartObjectName("gallery", part)));
    restartFirst();
    awaitGrants();
    for (const LateWrite& each : late)
        CHECK(!isCarriedOut(each));
}

// The process may be killed at any moment after its start, more than once.
TEST(ConfirmedRanges, AWriteFromBeforeSeveralRestartsTakesNoGrantedRange)
{
    startOnlyOwner();
    store->setDelay(Milliseconds(4));
    for (const int lossAfterMs : { 0, 2, 5, 9, 14, 20, 27, 40, 80 }) {
        const LateWrite late = lateWriteOf(table);
        const nlohmann::json before = leaseOfFirst();
        restartFirst();
        runFor(Milliseconds(lossAfterMs));
        restartFirst();
        if (lossAfterMs % 2 == 0)
            restartFirst();
        awaitGrants();
        CHECK(leaseOfFirst() != before);
        CHECK(!isCarriedOut(late));
    }
}

// The lapsed lease is taken back, and the process ends before it has given up its ranges.
TEST(ConfirmedRanges, ALapsedLeaseThatWasTakenBackButNotConfirmedIsNotSound)
{
    startOnlyOwner();
    endFirst();
    nlohmann::json lapsed = leaseOfFirst();
    lapsed["lapsed"] = true;
    store->put(leaseKind, "i0", lapsed);
    const LateWrite late = lateWriteOf(table);
    store->holdWrites(fleetKind, "keys.");
    startFirst();
    CHECK(runUntil([this] { return store->heldWrites() > 0; }));
    CHECK(!leaseOfFirst().at("lapsed").get<bool>());
    restartFirst();
    CHECK(runUntil([this] { return store->heldWrites() > 1; }));
    // Nothing is granted before the confirming write is carried out.
    CHECK(statusOf(0, cardRequest(0)) != 200);
    store->carryOutHeldWrites();
    awaitGrants();
    CHECK(!isCarriedOut(late));
}

// The confirming write of an ended process that is carried out late takes no range either.
TEST(ConfirmedRanges, AConfirmingWriteMayBeLate)
{
    startOnlyOwner();
    store->holdWrites(fleetKind, "keys.");
    const LateWrite late = lateWriteOf(table);
    restartFirst();
    CHECK(runUntil([this] { return store->heldWrites() > 0; }));
    restartFirst();
    CHECK(runUntil([this] { return store->heldWrites() > 1; }));
    store->carryOutHeldWrites();
    awaitGrants();
    CHECK(!isCarriedOut(late));
    LONGS_EQUAL(1, serverOf(0).heldRangeCount());
}

// The response of the confirming write is lost.
TEST(ConfirmedRanges, AConfirmingWriteMayBeUnanswered)
{
    startOnlyOwner();
    const LateWrite late = lateWriteOf(table);
    endFirst();
    store->dropNextWriteResponses(4);
    startFirst();
    awaitGrants();
    CHECK(!isCarriedOut(late));
}

// Only an instance that owns ranges pays for their confirmation.
TEST(ConfirmedRanges, AnInstanceWithoutRangesWritesNoTable)
{
    startOnlyOwner();
    const int64_t revision = store->revisionOf(fleetKind, table);
    instances[1]->endProcess();
    instances[1]->startProcess();
    runFor(Milliseconds(1'000));
    LONGS_EQUAL(revision, store->revisionOf(fleetKind, table));
}

// The keys stay with their server, under the same fence.
TEST(ConfirmedRanges, TheOwnerKeepsItsRangesOverARestart)
{
    startOnlyOwner();
    const nlohmann::json before = store->value(fleetKind, table).at("ranges");
    restartFirst();
    awaitGrants();
    CHECK(before == store->value(fleetKind, table).at("ranges"));
}
