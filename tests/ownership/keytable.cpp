// Tests of key ranges: the table planner, transfers by the owners, key leases, and grants to backend servers.

#include "ownership/keytable.h"
#include "ownership/keygranter.h"
#include "ownership/keylease.h"
#include "ownership/keyload.h"

#include "config/configuration.h"

#include <algorithm>
#include <random>
#include <set>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;

namespace {

const TimePoint start { std::chrono::hours(1) };

double widthOf(const stored::KeyRange& range)
{
    return static_cast<double>(range.last - range.first + 1);
}

bool nobodyLapsed(const std::string&)
{
    return false;
}

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

int64_t keysOf(const stored::KeyTable& table, const std::string& instance)
{
    int64_t sum = 0;
    for (const stored::KeyRange& range : table.ranges)
        sum += range.instance == instance ? range.last - range.first + 1 : 0;
    return sum;
}

// Completes all moves in progress, as if the servers released their ranges immediately.
stored::KeyTable moved(stored::KeyTable table, const std::vector<KeyMember>& members)
{
    for (const KeyMember& member : members) {
        OwnServer own;
        own.instance = member.instance;
        own.incarnation = member.server;
        own.isReleased = [](const stored::KeyRange&) { return true; };
        own.handover = [](const stored::KeyRange&) { return std::string("left"); };
        if (auto transferred = transferOwnRanges(table, own, members))
            table = *transferred;
    }
    return table;
}

KeyReport reportOf(const ServerIncarnation& incarnation, std::vector<KeyGrant> holds)
{
    return { incarnation, std::move(holds), {} };
}

}

TEST_GROUP(KeyTable) {};

TEST(KeyTable, TheFirstTableGivesEachMemberItsShare)
{
    const auto table = firstTable("s", membersNamed({ "a", "b", "c" }));
    CHECK(table.has_value());
    CHECK(coversAllKeysOnce(*table));
    LONGS_EQUAL(3, table->ranges.size());
    CHECK(!firstTable("s", {}).has_value());
}

TEST(KeyTable, AnyMembershipHistoryKeepsAllKeysCoveredAndFencesIncreasing)
{
    const bool isTrue
        = rc::check("the table covers all keys; owners change under higher fences", [](uint64_t seed) {
              std::mt19937_64 random(seed);
              auto members = membersNamed({ "a", "b", "c", "d", "e" });
              stored::KeyTable table = *firstTable("s", members);
              for (int step = 0; step < 60; ++step) {
                  KeyMember& member = members[random() % members.size()];
                  member.isLeaving = random() % 2 == 0;
                  member.acceptsKeys = !member.isLeaving;
                  if (random() % 4 == 0)
                      ++member.server.startedMs;
                  const std::string lapsed
                      = random() % 5 == 0 ? members[random() % members.size()].instance : "";
                  const auto isLapsed = [&lapsed](const std::string& name) { return name == lapsed; };
                  const stored::KeyTable before = table;
                  if (auto planned = planTable({ table, members, isLapsed, widthOf }))
                      table = *planned;
                  if (random() % 2 == 0) {
                      OwnServer own;
                      own.instance = member.instance;
                      own.incarnation = member.server;
                      own.haveEarlierGrantsEnded = true;
                      own.acceptsKeys = member.acceptsKeys;
                      own.isReleased = [&random](const stored::KeyRange&) { return random() % 2 == 0; };
                      own.handover = [](const stored::KeyRange&) { return std::string(); };
                      if (auto transferred = transferOwnRanges(table, own, members))
                          table = *transferred;
                  }
                  RC_ASSERT(coversAllKeysOnce(table));
                  for (int key = 0; key <= lastKeyNumber; key += 997) {
                      const stored::KeyRange* was = findRange(before, key);
                      const stored::KeyRange* is = findRange(table, key);
                      RC_ASSERT(is->fence >= was->fence);
                      const bool isOtherOwner
                          = is->instance != was->instance || incarnationOf(*is) != incarnationOf(*was);
                      RC_ASSERT(!isOtherOwner || is->fence > was->fence);
                  }
              }
          });
    CHECK(isTrue);
}

TEST(KeyTable, AnOwnedRangeIsOnlyMarkedWhenItsMemberLeaves)
{
    auto members = membersNamed({ "a", "b" });
    const auto table = firstTable("s", members);
    members[0].isLeaving = true;
    members[0].acceptsKeys = false;
    const auto planned = planTable({ *table, members, nobodyLapsed, widthOf });
    CHECK(planned.has_value());
    for (const stored::KeyRange& range : planned->ranges) {
        if (range.instance == "a")
            STRCMP_EQUAL("b", range.target.c_str());
    }
    LONGS_EQUAL(0, keysOf(moved(*planned, members), "a"));
}

// A member must not lose its ranges because it could not renew its lease during an outage of the store.
TEST(KeyTable, AMemberThatAcceptsNoKeysKeepsItsRanges)
{
    auto members = membersNamed({ "a", "b" });
    const auto table = firstTable("s", members);
    members[0].acceptsKeys = false;
    CHECK(!planTable({ *table, members, nobodyLapsed, widthOf }).has_value());
}

TEST(KeyTable, ANewMemberGetsAPart)
{
    const auto table = firstTable("s", membersNamed({ "a", "b", "c" }));
    const auto members = membersNamed({ "a", "b", "c", "d" });
    const auto planned = planTable({ *table, members, nobodyLapsed, widthOf });
    CHECK(planned.has_value());
    CHECK(keysOf(moved(*planned, members), "d") > 0);
}

TEST(KeyTable, AnOwnerOfManyRangesMergesAdjacentOnes)
{
    const auto members = membersNamed({ "a" });
    stored::KeyTable table;
    table.service = "s";
    for (int i = 0; i < 16; ++i) {
        stored::KeyRange range {};
        range.first = i * 4'096;
        range.last = range.first + 4'095;
        range.instance = "a";
        range.server = "server-a";
        range.serverStartedMs = 1;
        range.fence = i + 1;
        table.ranges.push_back(range);
    }
    const stored::KeyTable joined = moved(table, members);
    LONGS_EQUAL(1, joined.ranges.size());
    LONGS_EQUAL(16, joined.ranges.front().fence);
}

// A table of many members is kept in parts. Whatever happens to the ranges, none extends over two parts, and
// writing the changed parts one by one leads to the new table.
TEST(KeyTable, RangesStayWithinTheirParts)
{
    const bool isTrue = rc::check("parts", [](uint64_t seed) {
        std::mt19937_64 random(seed);
        std::vector<std::string> names;
        for (int i = 0; i < 20; ++i)
            names.push_back("m" + std::to_string(i));
        auto members = membersNamed(names);
        const int parts = 1 << (random() % 6);
        auto table = *firstTable("s", members, parts);
        for (int step = 0; step < 20; ++step) {
            KeyMember& changed = members[random() % members.size()];
            changed.isLeaving = random() % 2 == 0;
            changed.acceptsKeys = !changed.isLeaving;
            const std::string lapsed = random() % 4 == 0 ? members[random() % members.size()].instance : "";
            KeyLoad load;
            for (int i = 0; i < 30; ++i)
                load.recordRequest(static_cast<int>(random() % (lastKeyNumber + 1)), start);
            std::optional<stored::KeyTable> next;
            if (random() % 2 == 0)
                next = offloadKeys(table, names[random() % names.size()], load, 0.5, "m0");
            else
                next = planTable({ table, members,
                    [&lapsed](const std::string& name) { return name == lapsed; }, widthOf });
            stored::KeyTable after = moved(next ? *next : table, members);
            RC_ASSERT(coversAllKeysOnce(after));
            for (const stored::KeyRange& range : after.ranges)
                RC_ASSERT(partOf(after, range.first) == partOf(after, range.last));
            int writes = 0;
            for (auto part = firstChangedPart(table, after); part; part = firstChangedPart(table, after)) {
                table = withPartOf(table, after, *part);
                RC_ASSERT(coversAllKeysOnce(table));
                RC_ASSERT(++writes <= parts);
            }
        }
    });
    CHECK(isTrue);
}

TEST(KeyTable, OnlyServicesOfManyMembersHaveParts)
{
    LONGS_EQUAL(1, partCountFor(1));
    LONGS_EQUAL(1, partCountFor(15));
    LONGS_EQUAL(16, partCountFor(36));
    LONGS_EQUAL(32, partCountFor(109));
    LONGS_EQUAL(32, partCountFor(2'400));
}

// After a power loss, restarted servers waited for the grants of their own earlier incarnations to expire.
TEST(KeyTable, ALaterIncarnationAtTheSameAddressGetsTheRangesOfEarlierOnesImmediately)
{
    auto members = membersNamed({ "a", "b" });
    const auto table = firstTable("s", members);
    members[0].server.startedMs = 2;
    OwnServer own;
    own.instance = "a";
    own.incarnation = members[0].server;
    own.acceptsKeys = true;
    own.isReleased = [](const stored::KeyRange&) { return false; };
    own.handover = [](const stored::KeyRange&) { return std::string(); };
    CHECK(!transferOwnRanges(*table, own, members).has_value());
    own.isOnlyServerAtAddress = true;
    const auto transferred = transferOwnRanges(*table, own, members);
    CHECK(transferred.has_value());
    LONGS_EQUAL(2, transferred->ranges.front().serverStartedMs);
    CHECK(transferred->ranges.front().fence > table->ranges.front().fence);
    own.incarnation->startedMs = 1;
    CHECK(!transferOwnRanges(*transferred, own, members).has_value());
}

TEST_GROUP(KeyGranter)
{
    const ServerIncarnation incarnation { "server-a", 1 };
    stored::KeyTable table = *firstTable("s", membersNamed({ "a" }));
    KeyGranter granter { { "a", Milliseconds(3'000), 2 } };

    void setup() override
    {
        granter.setLeaseEnd(start + std::chrono::seconds(7));
    }
};

TEST(KeyGranter, GrantsNothingBeyondTheLease)
{
    granter.setLeaseEnd(start + Milliseconds(1'000));
    const KeyAnswer answer = granter.report(reportOf(incarnation, {}), table, start);
    CHECK(answer.holdTime <= Milliseconds(981));
    granter.setLeaseEnd(start - Milliseconds(1));
    LONGS_EQUAL(0, granter.report(reportOf(incarnation, {}), table, start).holdTime.count());
}

// Guards against a restarted daemon that treats ranges as released before its server has reported, and so
// gives them to another server while its own still holds them.
TEST(KeyGranter, NothingIsReleasedBeforeTheServerHasReported)
{
    granter.assumeEarlierGrants(start);
    CHECK(!granter.isReleased(table.ranges.front(), start + Milliseconds(100)));
    CHECK(granter.isReleased(table.ranges.front(), start + Milliseconds(3'100)));
}

TEST(KeyGranter, ARangeIsReleasedByTheReportAfterTheReplyThatOmittedIt)
{
    const KeyAnswer first = granter.report(reportOf(incarnation, {}), table, start);
    LONGS_EQUAL(1, first.grants.size());
    table.ranges.front().target = "b";
    const TimePoint second = start + Milliseconds(900);
    granter.report(reportOf(incarnation, first.grants), table, second);
    CHECK(!granter.isReleased(table.ranges.front(), second));
    KeyReport third = reportOf(incarnation, {});
    third.released.push_back({ 0, lastKeyNumber, 0, "left" });
    granter.report(third, table, second + Milliseconds(100));
    CHECK(granter.isReleased(table.ranges.front(), second + Milliseconds(100)));
    STRCMP_EQUAL("left", granter.handover(table.ranges.front()).c_str());
}

// After a pause, a daemon processes several queued reports that were sent while the server held nothing. It
// replies to the first one with a grant; the others were sent before the grant arrived, so they prove no
// release.
TEST(KeyGranter, ReportsThatWereSentBeforeAGrantArrivedReleaseNothing)
{
    const KeyAnswer first = granter.report(reportOf(incarnation, {}), table, start);
    LONGS_EQUAL(1, first.grants.size());
    table.ranges.front().target = "b";
    for (int i = 1; i <= 3; ++i) {
        granter.report(reportOf(incarnation, {}), table, start + Milliseconds(i));
        CHECK(!granter.isReleased(table.ranges.front(), start + Milliseconds(i)));
    }
    CHECK(!granter.isReleased(table.ranges.front(), start + Milliseconds(3'059)));
    CHECK(granter.isReleased(table.ranges.front(), start + Milliseconds(3'060)));
}

TEST(KeyGranter, APartOfARangeCanBeReleasedWhileTheRestIsHeld)
{
    granter.report(reportOf(incarnation, {}), table, start);
    stored::KeyRange part = table.ranges.front();
    part.first = 100;
    part.last = 199;
    part.target = "b";
    stored::KeyRange above = table.ranges.front();
    above.first = 200;
    table.ranges.front().last = 99;
    table.ranges.push_back(part);
    table.ranges.push_back(above);
    KeyReport next = reportOf(incarnation, { { 0, 99, 1, {} }, { 200, lastKeyNumber, 1, {} } });
    next.released.push_back({ 100, 199, 0, "left" });
    granter.report(next, table, start + Milliseconds(100));
    CHECK(granter.isReleased(part, start + Milliseconds(100)));
    CHECK(!granter.isReleased(table.ranges.front(), start + Milliseconds(100)));
    CHECK(!granter.isReleased(above, start + Milliseconds(100)));
}

TEST(KeyGranter, AReplyStaysUnderFourKibibytes)
{
    stored::KeyTable many;
    for (int i = 0; i < 200; ++i) {
        stored::KeyRange range = table.ranges.front();
        range.first = i * 300;
        range.last = range.first + 299;
        many.ranges.push_back(range);
    }
    CHECK(granter.report(reportOf(incarnation, {}), many, start).grants.size() <= 90);
}

TEST(KeyGranter, WorkOnAKeyEndsWithItsGrant)
{
    granter.report(reportOf(incarnation, {}), table, start);
    CHECK(granter.mayRun(5, start + Milliseconds(2'999)));
    CHECK(!granter.mayRun(5, start + Milliseconds(3'000)));
}

TEST_GROUP(KeyLease)
{
    const KeyLeaseTiming timing;
    KeyLeaseHolder holder { "a", "one", timing };
};

TEST(KeyLease, ARenewalCountsFromWhenItWasSent)
{
    CHECK(holder.dueRenewal(start).has_value());
    CHECK(!holder.dueRenewal(start + Milliseconds(10)).has_value());
    holder.renewed(5);
    CHECK(holder.end() == start + timing.term);
}

TEST(KeyLease, ALapsedLeaseHasToBeConfirmed)
{
    holder.dueRenewal(start);
    holder.renewed(5);
    holder.confirmed();
    holder.dueRenewal(start + timing.renewalInterval);
    stored::KeyLease lapsed;
    lapsed.instance = "a";
    lapsed.incarnation = "one";
    lapsed.lapsed = true;
    CHECK(holder.conflicted(lapsed, 9));
    CHECK(holder.needsConfirmation());
    CHECK(holder.wasLapsed());
    CHECK(holder.end() == TimePoint());
}

TEST(KeyLease, ARenewalWhoseResponseWasLostDoesNotLoseTheLease)
{
    const auto renewal = holder.dueRenewal(start);
    holder.failed();
    CHECK(!holder.conflicted(renewal->lease, 6));
    LONGS_EQUAL(6, holder.dueRenewal(start + timing.renewalInterval)->expectedRevision);
}

TEST(KeyLease, OthersWaitLongerThanTheHoldersOwnTerm)
{
    KeyLeaseMonitor monitor(timing);
    stored::KeyLease lease;
    lease.instance = "a";
    lease.lapsed = false;
    monitor.observe(lease, 5, start);
    monitor.observe(lease, 4, start + timing.term); // An older listing is ignored.
    CHECK(monitor.expired(start + timing.term).empty());
    CHECK(monitor.isFresh("a", start + timing.term));
    LONGS_EQUAL(1, monitor.expired(start + timing.term * 102 / 100 + timing.margin).size());
}

TEST(KeyLease, AnUnreadableLeaseLastsAnotherTermAndExpiresWithItsNewRevision)
{
    KeyLeaseMonitor monitor(timing);
    stored::KeyLease lease;
    lease.instance = "a";
    lease.lapsed = false;
    monitor.observe(lease, 5, start);
    monitor.observeUnreadable("a", 8, start + timing.term);
    monitor.observeUnreadable("unknown", 9, start + timing.term);
    CHECK(monitor.expired(start + timing.term * 102 / 100 + timing.margin).empty());
    const auto expired = monitor.expired(start + timing.term * 3);
    LONGS_EQUAL(1, expired.size());
    LONGS_EQUAL(8, expired.front().expectedRevision);
}

TEST(KeyLease, ALeaseOfAnEarlierEraCountsUntilItsEnd)
{
    for (const bool isInTime : { true, false }) {
        KeyLeaseHolder restored("a", "1", timing);
        const stored::KeyLease old = restored.dueRenewal(start)->lease;
        restored.renewed(5);
        restored.confirmed();
        restored.setEra(1);
        CHECK(restored.end() == start + timing.term);
        const TimePoint sentAt = start + (isInTime ? timing.term - Milliseconds(1) : timing.term);
        LONGS_EQUAL(0, restored.dueRenewal(sentAt)->expectedRevision);
        // The copy may even have it as lapsed.
        stored::KeyLease found = old;
        found.lapsed = true;
        CHECK(restored.conflicted(found, 3) == !isInTime);
        CHECK(restored.needsConfirmation() == !isInTime);
        const auto renewal = restored.dueRenewal(sentAt);
        LONGS_EQUAL(3, renewal->expectedRevision);
        LONGS_EQUAL(1, *renewal->lease.era);
        restored.renewed(9);
        CHECK(restored.needsConfirmation() == !isInTime);
    }
}

// A lease that had ended by the time of its first renewal in a new era was kept without a confirmation if
// that renewal was not answered.
TEST(KeyLease, AnUnansweredRenewalInANewEraKeepsOnlyALeaseThatHasNotEnded)
{
    for (const bool isInTime : { true, false }) {
        KeyLeaseHolder restored("a", "1", timing);
        restored.dueRenewal(start);
        restored.renewed(5);
        restored.confirmed();
        restored.setEra(1);
        const TimePoint sentAt = start + timing.term - Milliseconds(isInTime ? 1'000 : 0);
        const auto renewal = restored.dueRenewal(sentAt);
        restored.failed();
        restored.dueRenewal(sentAt + Milliseconds(300));
        CHECK(restored.conflicted(renewal->lease, 7) == !isInTime);
        LONGS_EQUAL(7, restored.dueRenewal(sentAt + Milliseconds(300))->expectedRevision);
        restored.renewed(8);
        CHECK(restored.needsConfirmation() == !isInTime);
    }
}

TEST(KeyLease, AMarkOfAnEarlierEraCountsOnlyAfterATerm)
{
    KeyLeaseMonitor monitor(timing);
    stored::KeyLease lease;
    lease.instance = "a";
    lease.lapsed = true;
    monitor.setEra(1);
    monitor.observe(lease, 5, start);
    CHECK(!monitor.isLapsed("a", start + timing.term));
    CHECK(monitor.isLapsed("a", start + leaseExpiryWait(timing)));
    lease.era = 1;
    monitor.observe(lease, 6, start);
    CHECK(monitor.isLapsed("a", start));
    // An owner whose lease the copy lacks.
    monitor.expect("b", start);
    CHECK(!monitor.isFresh("b", start));
    const auto expired = monitor.expired(start + leaseExpiryWait(timing));
    LONGS_EQUAL(1, expired.size());
    LONGS_EQUAL(0, expired.front().expectedRevision);
}
