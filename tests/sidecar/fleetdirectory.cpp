// FleetDirectory: departures that an instance announces itself before its entry in the store shows them.

#include "sidecar/fleetdirectory.h"

#include <CppUTest/TestHarness.h>

#include <limits>

using namespace persimmonfield;

TEST_GROUP(FleetDirectory)
{
    FleetDirectory directory;

    void apply(int64_t revision, const std::string& incarnation, bool isDeleted = false)
    {
        stored::InstanceEntry entry {};
        entry.name = "i0";
        entry.incarnation = incarnation;
        StoreObject object;
        object.kind = fleetKind;
        object.name = instanceObjectName("i0");
        object.value = entry;
        object.revision = revision;
        object.isDeleted = isDeleted;
        directory.apply({ { object }, false, revision }, false);
    }
};

TEST(FleetDirectory, ADepartureOutlivesAnEntryThatWasWrittenBeforeIt)
{
    apply(1, "a");
    const int64_t version = directory.instancesVersion();
    CHECK(directory.recordDeparture("i0", "a"));
    CHECK(directory.instancesVersion() > version);
    CHECK(!directory.recordDeparture("i0", "a"));
    apply(2, "a");
    CHECK(directory.instance("i0")->departing);
}

TEST(FleetDirectory, ADepartureAppliesToItsIncarnationOnly)
{
    apply(1, "a");
    CHECK(!directory.recordDeparture("i0", "b"));
    CHECK(!directory.instance("i0")->departing);
    apply(2, "b");
    CHECK(directory.instance("i0")->departing);
    apply(3, "c");
    CHECK(!directory.instance("i0")->departing);
}

TEST(FleetDirectory, AnEntryWithAnInvalidAddressOrNumberIsNotUsed)
{
    apply(1, "a");
    CHECK(directory.instance("i0"));
    stored::InstanceEntry entry {};
    entry.name = "i0";
    const auto applyEntry = [this, &entry](int64_t revision) {
        StoreObject object;
        object.kind = fleetKind;
        object.name = instanceObjectName("i0");
        object.value = entry;
        object.revision = revision;
        directory.apply({ { object }, false, revision }, false);
    };
    int64_t revision = 1;
    for (const char* address : { "127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1:80/path", "host:80", "80" }) {
        entry.peerAddress = address;
        applyEntry(++revision);
        CHECK(!directory.instance("i0"));
    }
    entry.peerAddress = "127.0.0.1:80";
    applyEntry(++revision);
    CHECK(directory.instance("i0"));
    entry.server = stored::ServerEntry {};
    entry.server->slots = std::numeric_limits<int64_t>::max();
    applyEntry(++revision);
    CHECK(!directory.instance("i0"));
}
