// Availability zones that are taken out: what may still be sent there, and when.

#include "sidecar/zonesout.h"

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;

namespace {

constexpr Milliseconds bound { 5'000 };
const TimePoint start { std::chrono::hours(1) };

StorePage pageOf(const std::string& zone, int64_t revision, bool isDeleted = false)
{
    StoreObject object;
    object.name = zone;
    object.revision = revision;
    object.isDeleted = isDeleted;
    return { { object }, false, revision };
}

}

TEST_GROUP(ZonesOut)
{
    ZonesOut zones { bound };

    void check(ZoneUse expected, Milliseconds after)
    {
        CHECK(expected == zones.use("a", start + after));
    }
};

TEST(ZonesOut, KeysMayStayForHalfOfTheBound)
{
    zones.take({ {}, false, 1 }, true, start);
    check(ZoneUse::Everything, Milliseconds(0));
    CHECK(zones.take(pageOf("a", 2), false, start));
    check(ZoneUse::OwnedKeys, Milliseconds(0));
    check(ZoneUse::OwnedKeys, bound / 2 - Milliseconds(1));
    check(ZoneUse::Nothing, bound / 2);
    CHECK(zones.use("b", start + bound) == ZoneUse::Everything);
    CHECK(zones.outFor("a", start + bound) == bound);
}

TEST(ZonesOut, NoZoneIsUsedBeforeTheyWereListed)
{
    check(ZoneUse::Nothing, Milliseconds(0));
    CHECK(zones.isOut("a"));
    zones.take(pageOf("b", 2), false, start);
    check(ZoneUse::Nothing, Milliseconds(0));
    CHECK(zones.take({ {}, false, 1 }, true, start));
    check(ZoneUse::Everything, Milliseconds(0));
}

TEST(ZonesOut, AZoneThatAListingShowsMayHaveBeenOutForLong)
{
    zones.take(pageOf("a", 2), true, start);
    check(ZoneUse::Nothing, Milliseconds(0));
    zones.take({ {}, false, 3 }, true, start);
    zones.take(pageOf("a", 4), true, start + bound);
    check(ZoneUse::Nothing, bound);
}

TEST(ZonesOut, HearingOfAZoneAgainDoesNotExtendItsTime)
{
    zones.take({ {}, false, 1 }, true, start);
    zones.take(pageOf("a", 2), false, start);
    CHECK_FALSE(zones.take(pageOf("a", 3), false, start + bound / 4));
    CHECK_FALSE(zones.take(pageOf("a", 3), true, start + bound / 4));
    check(ZoneUse::Nothing, bound / 2);
}

TEST(ZonesOut, AZoneThatIsBackIsUsedAndMayBeTakenOutAnew)
{
    zones.take({ {}, false, 1 }, true, start);
    zones.take(pageOf("a", 2), false, start);
    CHECK(zones.take(pageOf("a", 3, true), false, start + bound));
    check(ZoneUse::Everything, bound);
    CHECK_FALSE(zones.outFor("a", start + bound).has_value());
    zones.take(pageOf("a", 4), false, start + bound);
    check(ZoneUse::OwnedKeys, bound);
    CHECK(zones.take({ {}, false, 5 }, true, start + bound));
    check(ZoneUse::Everything, bound);
}
