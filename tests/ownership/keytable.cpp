// Ranges of keys: the planner, the owners' settling, and what a server is told to hold.

#include "ownership/keytable.h"
#include "ownership/keyholder.h"
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

// Carries out all moves that are under way, as if the servers released at once.
stored::KeyTable moved(stored::KeyTable table, const std::vector<KeyMember>& members)
{
    for (const KeyMember& member : members) {
        OwnServer own;
        own.instance = member.instance;
        own.life = member.server;
        own.isReleased = [](const stored::KeyRange&) { return true; };
        own.handover = [](const stored::KeyRange&) { return std::string("left"); };
        if (auto settled = settleTable(table, own, members))
            table = *settled;
    }
    return table;
}

KeyReport reportOf(const ServerLife& life, std::vector<KeyGrant> holds)
{
    return { life, std::move(holds), {} };
}

}

TEST_GROUP(KeyTable) {};

TEST(KeyTable, TheFirstTableGivesEachMemberItsPart)
{
    const auto table = firstTable("s", membersNamed({ "a", "b", "c" }));
    CHECK(table.has_value());
    CHECK(coversAllKeysOnce(*table));
    LONGS_EQUAL(3, table->ranges.size());
    CHECK(!firstTable("s", {}).has_value());
}

TEST(KeyTable, AnyHistoryOfMembersKeepsTheTableWholeAndFencesRise)
{
    const bool isTrue
        = rc::check("the table covers all keys; owners change under higher fences", [](uint64_t seed) {
              std::mt19937_64 random(seed);
              auto members = membersNamed({ "a", "b", "c", "d", "e" });
              stored::KeyTable table = *firstTable("s", members);
              for (int step = 0; step < 60; ++step) {
                  KeyMember& member = members[random() % members.size()];
                  member.isLeaving = random() % 2 == 0;
                  member.takesKeys = !member.isLeaving;
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
                      own.life = member.server;
                      own.hasEarlierGrantsEnded = true;
                      own.takesKeys = member.takesKeys;
                      own.isReleased = [&random](const stored::KeyRange&) { return random() % 2 == 0; };
                      own.handover = [](const stored::KeyRange&) { return std::string(); };
                      if (auto settled = settleTable(table, own, members))
                          table = *settled;
                  }
                  RC_ASSERT(coversAllKeysOnce(table));
                  for (int key = 0; key <= lastKeyNumber; key += 997) {
                      const stored::KeyRange* was = findRange(before, key);
                      const stored::KeyRange* is = findRange(table, key);
                      RC_ASSERT(is->fence >= was->fence);
                      const bool isOtherOwner = is->instance != was->instance || lifeOf(*is) != lifeOf(*was);
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
    members[0].takesKeys = false;
    const auto planned = planTable({ *table, members, nobodyLapsed, widthOf });
    CHECK(planned.has_value());
    for (const stored::KeyRange& range : planned->ranges) {
        if (range.instance == "a")
            STRCMP_EQUAL("b", range.target.c_str());
    }
    LONGS_EQUAL(0, keysOf(moved(*planned, members), "a"));
}

// A lease that was not renewed during an outage of the store must not empty its holder.
TEST(KeyTable, AMemberThatMayTakeNothingKeepsWhatItHas)
{
    auto members = membersNamed({ "a", "b" });
    const auto table = firstTable("s", members);
    members[0].takesKeys = false;
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

TEST(KeyTable, AnOwnerOfManyRangesJoinsNeighbours)
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

TEST(KeyTable, ABusyServerGivesTheWantedPartOfItsLoadAway)
{
    const auto table = firstTable("s", membersNamed({ "a", "b" }));
    KeyLoad load;
    for (int i = 0; i < 1'000; ++i)
        load.note(100 + i % 200, start);
    const auto offloaded = offloadKeys(*table, "a", load, 0.4, "b");
    CHECK(offloaded.has_value());
    CHECK(coversAllKeysOnce(*offloaded));
    double weight = 0;
    for (const stored::KeyRange& range : offloaded->ranges)
        weight += range.target == "b" ? load.weight(range.first, range.last) : 0;
    CHECK(weight > 300 && weight < 500);
}

// After a loss of power servers waited for the end of grants that their own earlier lives had had.
TEST(KeyTable, ALaterLifeAtTheSameAddressTakesItsPredecessorsRangesAtOnce)
{
    auto members = membersNamed({ "a", "b" });
    const auto table = firstTable("s", members);
    members[0].server.startedMs = 2;
    OwnServer own;
    own.instance = "a";
    own.life = members[0].server;
    own.takesKeys = true;
    own.isReleased = [](const stored::KeyRange&) { return false; };
    own.handover = [](const stored::KeyRange&) { return std::string(); };
    CHECK(!settleTable(*table, own, members).has_value());
    own.isAloneAtAddress = true;
    const auto settled = settleTable(*table, own, members);
    CHECK(settled.has_value());
    LONGS_EQUAL(2, settled->ranges.front().serverStartedMs);
    CHECK(settled->ranges.front().fence > table->ranges.front().fence);
    own.life->startedMs = 1;
    CHECK(!settleTable(*settled, own, members).has_value());
}

TEST_GROUP(KeyHolder)
{
    const ServerLife life { "server-a", 1 };
    stored::KeyTable table = *firstTable("s", membersNamed({ "a" }));
    KeyHolder holder { { "a", Milliseconds(3'000), 2 } };

    void setup() override
    {
        holder.setLeaseEnd(start + std::chrono::seconds(7));
    }
};

TEST(KeyHolder, GrantsNothingBeyondTheLease)
{
    holder.setLeaseEnd(start + Milliseconds(1'000));
    const KeyAnswer answer = holder.report(reportOf(life, {}), table, start);
    CHECK(answer.holdTime <= Milliseconds(981));
    holder.setLeaseEnd(start - Milliseconds(1));
    LONGS_EQUAL(0, holder.report(reportOf(life, {}), table, start).holdTime.count());
}

// A daemon that was started again took ranges for released before the server had reported to it, and gave
// them to another server while this one still held them.
TEST(KeyHolder, NothingIsReleasedBeforeTheServerHasReported)
{
    holder.assumeEarlierGrants(start);
    CHECK(!holder.isReleased(table.ranges.front(), start + Milliseconds(100)));
    CHECK(holder.isReleased(table.ranges.front(), start + Milliseconds(3'100)));
}

TEST(KeyHolder, ARangeIsReleasedByTheReportAfterTheAnswerThatLeftItOut)
{
    const KeyAnswer first = holder.report(reportOf(life, {}), table, start);
    LONGS_EQUAL(1, first.grants.size());
    table.ranges.front().target = "b";
    const TimePoint second = start + Milliseconds(900);
    holder.report(reportOf(life, first.grants), table, second);
    CHECK(!holder.isReleased(table.ranges.front(), second));
    KeyReport third = reportOf(life, {});
    third.released.push_back({ 0, lastKeyNumber, 0, "left" });
    holder.report(third, table, second + Milliseconds(100));
    CHECK(holder.isReleased(table.ranges.front(), second + Milliseconds(100)));
    STRCMP_EQUAL("left", holder.handover(table.ranges.front()).c_str());
}

// A daemon that was frozen finds several reports waiting that were sent while the server held nothing. It
// answers the first with a grant; the others say nothing of what became of that.
TEST(KeyHolder, ReportsThatWereSentBeforeAGrantArrivedReleaseNothing)
{
    const KeyAnswer first = holder.report(reportOf(life, {}), table, start);
    LONGS_EQUAL(1, first.grants.size());
    table.ranges.front().target = "b";
    for (int i = 1; i <= 3; ++i) {
        holder.report(reportOf(life, {}), table, start + Milliseconds(i));
        CHECK(!holder.isReleased(table.ranges.front(), start + Milliseconds(i)));
    }
    CHECK(!holder.isReleased(table.ranges.front(), start + Milliseconds(3'059)));
    CHECK(holder.isReleased(table.ranges.front(), start + Milliseconds(3'060)));
}

TEST(KeyHolder, APartThatIsLetGoIsReleasedWhileTheRestIsHeld)
{
    holder.report(reportOf(life, {}), table, start);
    stored::KeyRange part = table.ranges.front();
    part.first = 100;
    part.last = 199;
    part.target = "b";
    stored::KeyRange above = table.ranges.front();
    above.first = 200;
    table.ranges.front().last = 99;
    table.ranges.push_back(part);
    table.ranges.push_back(above);
    KeyReport next = reportOf(life, { { 0, 99, 1, {} }, { 200, lastKeyNumber, 1, {} } });
    next.released.push_back({ 100, 199, 0, "left" });
    holder.report(next, table, start + Milliseconds(100));
    CHECK(holder.isReleased(part, start + Milliseconds(100)));
    CHECK(!holder.isReleased(table.ranges.front(), start + Milliseconds(100)));
    CHECK(!holder.isReleased(above, start + Milliseconds(100)));
}

TEST(KeyHolder, AnAnswerStaysUnderFourKibibytes)
{
    stored::KeyTable many;
    for (int i = 0; i < 200; ++i) {
        stored::KeyRange range = table.ranges.front();
        range.first = i * 300;
        range.last = range.first + 299;
        many.ranges.push_back(range);
    }
    CHECK(holder.report(reportOf(life, {}), many, start).grants.size() <= 90);
}

TEST(KeyHolder, WorkOnAKeyEndsWithItsGrant)
{
    holder.report(reportOf(life, {}), table, start);
    CHECK(holder.mayRun(5, start + Milliseconds(2'999)));
    CHECK(!holder.mayRun(5, start + Milliseconds(3'000)));
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
    holder.dueRenewal(start + timing.renewal);
    stored::KeyLease lapsed;
    lapsed.instance = "a";
    lapsed.incarnation = "one";
    lapsed.lapsed = true;
    CHECK(holder.conflicted(lapsed, 9));
    CHECK(holder.needsConfirmation());
    CHECK(holder.wasLapsed());
    CHECK(holder.end() == TimePoint());
}

TEST(KeyLease, ARenewalWhoseAnswerWasLostIsNoLoss)
{
    const auto renewal = holder.dueRenewal(start);
    holder.failed();
    CHECK(!holder.conflicted(renewal->lease, 6));
    LONGS_EQUAL(6, holder.dueRenewal(start + timing.renewal)->expectedRevision);
}

TEST(KeyLease, OthersWaitLongerThanTheHolderCounts)
{
    KeyLeaseWatch watch(timing);
    stored::KeyLease lease;
    lease.instance = "a";
    lease.lapsed = false;
    watch.observe(lease, 5, start);
    watch.observe(lease, 4, start + timing.term); // An older listing says nothing new.
    CHECK(watch.expired(start + timing.term).empty());
    CHECK(watch.isFresh("a", start + timing.term));
    LONGS_EQUAL(1, watch.expired(start + timing.term * 102 / 100 + timing.margin).size());
}

TEST(KeyLease, OneThatWasSpoiledLastsAnotherTermAndEndsByItsNewRevision)
{
    KeyLeaseWatch watch(timing);
    stored::KeyLease lease;
    lease.instance = "a";
    lease.lapsed = false;
    watch.observe(lease, 5, start);
    watch.observeUnreadable("a", 8, start + timing.term);
    watch.observeUnreadable("unknown", 9, start + timing.term);
    CHECK(watch.expired(start + timing.term * 102 / 100 + timing.margin).empty());
    const auto expired = watch.expired(start + timing.term * 3);
    LONGS_EQUAL(1, expired.size());
    LONGS_EQUAL(8, expired.front().expectedRevision);
}
