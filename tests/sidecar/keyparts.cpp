// A key table that is kept in several objects of the store.

#include "sidecarfleet.h"

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;
using namespace persimmonfield::testing;

namespace {

struct FleetWithParts : public SidecarFleet {
    static constexpr int parts = 4;
    const std::vector<int> keys { 0, 16'383, 16'384, 40'000, 65'535 };

    void setup() override
    {
        SidecarFleet::setup();
        store->put(fleetKind, keyTableObjectName("gallery"),
            { { "service", "gallery" }, { "ranges", nlohmann::json::array() }, { "parts", parts } });
    }

    bool areAllKeysHeld()
    {
        return std::all_of(keys.begin(), keys.end(), [this](int key) {
            return std::count_if(instances.begin(), instances.end(), [key](const auto& instance) {
                return instance->server->holds(key);
            }) == 1;
        });
    }

    void checkAllKeysAreServed()
    {
        for (const int key : keys) {
            for (int index = 0; index < static_cast<int>(instances.size()); ++index)
                LONGS_EQUAL(200, statusOf(index, cardRequest(key)));
        }
    }
};

}

TEST_GROUP_BASE(KeyParts, FleetWithParts) {};

TEST(KeyParts, AllKeysAreServed)
{
    startInstances({ "gallery", "gallery" });
    CHECK(runUntil([this] { return areAllKeysHeld(); }));
    checkAllKeysAreServed();
    for (int part = 0; part < parts; ++part)
        CHECK(!store->value(fleetKind, keyTablePartObjectName("gallery", part)).is_null());
}

TEST(KeyParts, KeysOfALeavingServerMoveWithTheirHandover)
{
    startInstances({ "gallery", "gallery" });
    CHECK(runUntil([this] { return areAllKeysHeld(); }));
    serverOf(0).setDraining();
    CHECK(runUntil([this] { return serverOf(1).holds(0) && serverOf(1).holds(65'535); }));
    CHECK(!serverOf(0).holds(0));
    const auto table = store->value(fleetKind, keyTablePartObjectName("gallery", 0)).dump();
    CHECK(table.find("left-by-server-i0") != std::string::npos);
    checkAllKeysAreServed();
}

// The instance's lease is taken anew after its restart; its ranges are in several parts.
TEST(KeyParts, KeysAreServedAfterARestart)
{
    startInstances({ "gallery", "orders" }, true);
    CHECK(runUntil([this] { return areAllKeysHeld(); }));
    instances[0]->endProcess();
    instances[0]->startProcess();
    CHECK(runUntil([this] { return statusOf(1, cardRequest(0)) == 200 && areAllKeysHeld(); }));
    checkAllKeysAreServed();
}
