// Which keys of a busy server move to others, and what becomes of offloads whose write is refused.

#include "ownership/keyoffload.h"
#include "ownership/keyload.h"
#include "ownership/keytable.h"

#include "config/configuration.h"

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;

namespace {

const TimePoint start { std::chrono::hours(1) };

std::vector<KeyMember> membersNamed(const std::vector<std::string>& names)
{
    std::vector<KeyMember> members;
    for (const std::string& name : names)
        members.push_back({ name, { "server-" + name, 1 }, true, false, 10 });
    return members;
}

bool coversAllKeysOnce(const stored::KeyTable& table)
{
    int64_t next = 0;
    for (const stored::KeyRange& range : table.ranges) {
        if (range.first != next || range.last < range.first)
            return false;
        next = range.last + 1;
    }
    return next == lastKeyNumber + 1;
}

}

TEST_GROUP(KeyOffload) {};

TEST(KeyOffload, ABusyServerOffloadsTheRequestedShareOfItsLoad)
{
    const auto table = firstTable("s", membersNamed({ "a", "b" }));
    KeyLoad load;
    for (int i = 0; i < 1'000; ++i)
        load.recordRequest(100 + i % 200, start);
    const auto offloaded = offloadKeys(*table, "a", load, 0.4, "b");
    CHECK(offloaded.has_value());
    CHECK(coversAllKeysOnce(*offloaded));
    double weight = 0;
    for (const stored::KeyRange& range : offloaded->ranges)
        weight += range.target == "b" ? load.weight(range.first, range.last) : 0;
    CHECK(weight > 300 && weight < 500);
}

// A few neighbouring keys get all the traffic of a server that owns many: each target gets some of them, and
// the idle keys stay.
TEST(KeyOffload, AFewBusyKeysAreSpreadOverManyServersWithoutIdleKeys)
{
    constexpr int targets = 20;
    constexpr int busyKeys = 60;
    constexpr int requestsPerKey = 10;
    auto table = *firstTable("s", membersNamed({ "a", "b" }));
    KeyLoad load;
    for (int i = 0; i < busyKeys * requestsPerKey; ++i)
        load.recordRequest(5'000 + i % busyKeys, start);
    for (int target = 0; target < targets; ++target) {
        auto offloaded = offloadKeys(table, "a", load, 1.0 / (targets + 1), "t" + std::to_string(target));
        CHECK(offloaded.has_value());
        table = *std::move(offloaded);
    }
    CHECK(coversAllKeysOnce(table));
    int64_t movedKeys = 0;
    double left = busyKeys * requestsPerKey;
    for (const stored::KeyRange& range : table.ranges) {
        if (range.target.empty())
            continue;
        const double weight = load.weight(range.first, range.last);
        CHECK(weight >= requestsPerKey && weight <= 4 * requestsPerKey);
        left -= weight;
        movedKeys += range.last - range.first + 1;
    }
    CHECK(left < busyKeys * requestsPerKey * 0.2);
    CHECK(movedKeys <= busyKeys);
}

// Another member writes the table at the same moment. The offload was lost then, and planned anew after 2.5 s
// only.
TEST(KeyOffload, AnOffloadWhoseWriteWasRefusedIsStillDue)
{
    const auto table = *firstTable("s", membersNamed({ "a", "b" }));
    KeyLoad load;
    for (int i = 0; i < 1'000; ++i)
        load.recordRequest(100 + i % 200, start);
    KeyOffload offload;
    CHECK(!offload.nextTable(table, "a", load, start).has_value());
    offload.begin({ { "b", 0.3 }, { "c", 0.3 } }, start);
    const auto first = offload.nextTable(table, "a", load, start);
    CHECK(first.has_value());
    offload.onWritten(false);
    const auto second = offload.nextTable(table, "a", load, start + Milliseconds(50));
    CHECK(second.has_value());
    CHECK(!firstChangedPart(*first, *second).has_value());
    offload.onWritten(true);
    CHECK(!offload.nextTable(*second, "a", load, start + Milliseconds(60)).has_value());
    offload.begin({ { "b", 0.3 } }, start);
    CHECK(!offload.nextTable(table, "a", load, start + Milliseconds(1'000)).has_value());
}

// The busy keys are in two parts of the table, which are written one after the other.
TEST(KeyOffload, AnOffloadIsWrittenPartByPart)
{
    const auto members = membersNamed({ "a" });
    auto table = *firstTable("s", members, 16);
    KeyLoad load;
    for (const int key : { 10, 4'096 + 10 }) {
        for (int i = 0; i < 100; ++i)
            load.recordRequest(key, start);
    }
    KeyOffload offload;
    offload.begin({ { "b", 0.5 }, { "c", 0.5 } }, start);
    int writes = 0;
    while (const auto next = offload.nextTable(table, "a", load, start)) {
        const int part = firstChangedPart(table, *next).value();
        CHECK(!firstChangedPart(withPartOf(table, *next, part), *next).has_value());
        table = *next;
        offload.onWritten(true);
        ++writes;
    }
    LONGS_EQUAL(2, writes);
    const auto* first = findRange(table, 10);
    const auto* second = findRange(table, 4'096 + 10);
    CHECK(!first->target.empty() && !second->target.empty() && first->target != second->target);
}
