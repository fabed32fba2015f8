// Token buckets of several instances that lend to one another. The oracle is one plain token bucket over all
// admissions: whatever is lent, lost or restarted, the fleet admits no more than burst + rate * window.

#include "limits/teambuckets.h"

#include <algorithm>
#include <random>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;

namespace {

const TimePoint start { std::chrono::hours(1) };
const std::string team = "team";

TeamBuckets bucketsFor(const TeamRate& rate, size_t instances)
{
    TeamBuckets buckets;
    buckets.setRates({ { team, rate } }, start);
    buckets.setPart(team, 1.0 / static_cast<double>(instances), start);
    return buckets;
}

}

TEST_GROUP(TeamBuckets) {};

TEST(TeamBuckets, TheFleetAdmitsNoMoreThanBurstAndRateWhateverIsLent)
{
    const bool isTrue = rc::check("admissions stay below one plain bucket", [](uint64_t seed) {
        std::mt19937_64 random(seed);
        const TeamRate rate { 5 + static_cast<int64_t>(random() % 100),
            5 + static_cast<int64_t>(random() % 100) };
        const size_t instances = 2 + random() % 8;
        std::vector<TeamBuckets> fleet(instances, bucketsFor(rate, instances));
        // A bucket holds a whole token at least, begins with one, and keeps a stock of three.
        const double slack = 4.0 * static_cast<double>(instances);
        TimePoint now = start;
        int64_t admitted = 0;
        for (int step = 0; step < 2'000; ++step) {
            now += Milliseconds(random() % 20);
            TeamBuckets& one = fleet[random() % instances];
            if (random() % 3 == 0) {
                const int64_t lent = fleet[random() % instances].lend(team, 1 + random() % 5, now);
                // Some grants are lost on their way.
                if (random() % 5 != 0)
                    one.add(team, lent, now);
            }
            admitted += one.trySpend(team, now) ? 1 : 0;
            const double seconds = std::chrono::duration<double>(now - start).count();
            RC_ASSERT(static_cast<double>(admitted)
                <= static_cast<double>(rate.burst) + seconds * static_cast<double>(rate.perSecond) + slack);
        }
    });
    CHECK(isTrue);
}

TEST(TeamBuckets, ATeamAtOneInstanceGetsTheWholeRateByBorrowing)
{
    const TeamRate rate { 90, 90 };
    std::vector<TeamBuckets> fleet(9, bucketsFor(rate, 9));
    int64_t admitted = 0;
    for (TimePoint now = start; now < start + std::chrono::seconds(10); now += Milliseconds(10)) {
        if (!fleet[0].trySpend(team, now)) {
            for (size_t lender = 1; lender < fleet.size(); ++lender)
                fleet[0].add(team, fleet[lender].lend(team, 1, now), now);
            admitted += fleet[0].trySpend(team, now) ? 1 : 0;
        } else {
            ++admitted;
        }
    }
    // 1,000 requests in ten seconds; a ninth of the rate alone would admit about 110.
    CHECK(admitted >= 850);
}

// Admissions of a small team whose requests come anywhere at random, with one token borrowed from the first
// that has one; with one instance this is a plain bucket.
int64_t admittedAtRandom(size_t instances, int64_t slack)
{
    std::vector<TeamBuckets> fleet(instances, bucketsFor({ 10, 10 }, instances));
    for (TeamBuckets& each : fleet)
        each.setSlack(slack);
    std::mt19937_64 random(7);
    std::exponential_distribution<double> gap(8);
    std::chrono::duration<double> passed(1);
    int64_t admitted = 0;
    for (int i = 0; i < 800; ++i) {
        passed += std::chrono::duration<double>(gap(random));
        const TimePoint now = start + std::chrono::duration_cast<Duration>(passed);
        TeamBuckets& one = fleet[random() % instances];
        bool isAdmitted = one.trySpend(team, now);
        for (size_t lender = 0; lender < instances && !isAdmitted; ++lender) {
            one.add(team, fleet[lender].lend(team, 1, now), now);
            isAdmitted = one.trySpend(team, now);
        }
        admitted += isAdmitted ? 1 : 0;
    }
    return admitted;
}

TEST(TeamBuckets, SlackMakesUpForTheRatesDivision)
{
    const int64_t undivided = admittedAtRandom(1, 0);
    const int64_t lostWithout = undivided - admittedAtRandom(12, 0);
    const int64_t lostWith = undivided - admittedAtRandom(12, 20);
    CHECK(lostWithout > 0);
    // Four fifths at least of what the division costs.
    CHECK(lostWith * 5 <= lostWithout);
}

TEST(TeamBuckets, ABucketFillsFromWhenItsRateIsKnown)
{
    TeamBuckets buckets = bucketsFor({ 90, 90 }, 9);
    const TimePoint later = start + std::chrono::seconds(5);
    int64_t admitted = 0;
    while (buckets.trySpend(team, later))
        ++admitted;
    LONGS_EQUAL(10, admitted);
}

TEST(TeamBuckets, ATeamWithoutARateIsNeverRefused)
{
    TeamBuckets buckets;
    for (int i = 0; i < 1'000; ++i)
        CHECK(buckets.trySpend("free", start));
}

TEST(TeamBuckets, ALoweredRateTakesTheStockWithIt)
{
    TeamBuckets buckets = bucketsFor({ 1'000, 1'000 }, 1);
    const TimePoint later = start + std::chrono::seconds(2);
    CHECK(buckets.trySpend(team, later));
    buckets.setRates({ { team, { 1, 2 } } }, later);
    int64_t admitted = 0;
    while (buckets.trySpend(team, later))
        ++admitted;
    CHECK(admitted <= 5);
}

TEST(TeamBuckets, TheOneTokenOfASmallBucketIsLentThoughItsInstanceUsesSome)
{
    TeamBuckets buckets = bucketsFor({ 10, 10 }, 12);
    TimePoint now = start;
    for (int i = 0; i < 10; ++i) {
        now += Milliseconds(1'300);
        CHECK(buckets.trySpend(team, now));
    }
    now += Milliseconds(1'300);
    LONGS_EQUAL(1, buckets.lend(team, 1, now));
    LONGS_EQUAL(0, buckets.lend(team, 1, now));
}

TEST(TeamBuckets, OneThatKeepsNoTokensOnlyBorrows)
{
    TeamBuckets keeper = bucketsFor({ 100, 100 }, 1);
    TeamBuckets other;
    other.setRates({ { team, { 100, 100 } } }, start);
    other.setPart(team, 0, start);
    const TimePoint later = start + std::chrono::seconds(1);
    CHECK(!other.trySpend(team, later));
    other.add(team, keeper.lend(team, 2, later), later);
    CHECK(other.trySpend(team, later));
    CHECK(other.trySpend(team, later));
    CHECK(!other.trySpend(team, later + std::chrono::seconds(10)));
}

// While two instances both believe to keep the same part, the fleet would admit too much.
TEST(TeamBuckets, ANewKeeperBeginsWhenTheOneBeforeHasNoticed)
{
    TeamBuckets former = bucketsFor({ 100, 100 }, 1);
    TeamBuckets next;
    next.setRates({ { team, { 100, 100 } } }, start);
    next.setPart(team, 0, start);
    const TimePoint change = start + std::chrono::seconds(5);
    next.setPart(team, 1, change);
    CHECK(!next.trySpend(team, change + Milliseconds(2'900)));
    CHECK(next.trySpend(team, change + Milliseconds(3'100)));
    former.setPart(team, 0, change + Milliseconds(2'000));
    CHECK(!former.trySpend(team, change + Milliseconds(2'000)));
}
