// Token buckets of several instances that lend tokens to each other. The oracle is a single token bucket for
// all admissions: the fleet admits no more than burst + rate * window, whatever is lent, lost or restarted.

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
    buckets.setFraction(team, 1.0 / static_cast<double>(instances), start);
    return buckets;
}

}

TEST_GROUP(TeamBuckets) {};

TEST(TeamBuckets, TheFleetAdmitsNoMoreThanBurstAndRateWhateverIsLent)
{
    const bool isPassed = rc::check("admissions stay below a single token bucket", [](uint64_t seed) {
        std::mt19937_64 random(seed);
        const TeamRate rate { 5 + static_cast<int64_t>(random() % 100),
            5 + static_cast<int64_t>(random() % 100) };
        const size_t instances = 2 + random() % 8;
        std::vector<TeamBuckets> fleet(instances, bucketsFor(rate, instances));
        // A bucket's capacity is at least one token, it starts with one, and it keeps three borrowed ones.
        const double slack = 4.0 * static_cast<double>(instances);
        TimePoint now = start;
        int64_t admitted = 0;
        for (int step = 0; step < 2'000; ++step) {
            now += Milliseconds(random() % 20);
            TeamBuckets& one = fleet[random() % instances];
            if (random() % 3 == 0) {
                const int64_t lent = fleet[random() % instances].lend(team, 1 + random() % 5, now);
                // Some grants are lost in transit.
                if (random() % 5 != 0)
                    one.addBorrowed(team, lent, now);
            }
            admitted += one.trySpend(team, now) ? 1 : 0;
            const double seconds = std::chrono::duration<double>(now - start).count();
            RC_ASSERT(static_cast<double>(admitted)
                <= static_cast<double>(rate.burst) + seconds * static_cast<double>(rate.perSecond) + slack);
        }
    });
    CHECK(isPassed);
}

TEST(TeamBuckets, ATeamAtOneInstanceGetsTheWholeRateByBorrowing)
{
    const TeamRate rate { 90, 90 };
    std::vector<TeamBuckets> fleet(9, bucketsFor(rate, 9));
    int64_t admitted = 0;
    for (TimePoint now = start; now < start + std::chrono::seconds(10); now += Milliseconds(10)) {
        if (!fleet[0].trySpend(team, now)) {
            for (size_t lender = 1; lender < fleet.size(); ++lender)
                fleet[0].addBorrowed(team, fleet[lender].lend(team, 1, now), now);
            admitted += fleet[0].trySpend(team, now) ? 1 : 0;
        } else {
            ++admitted;
        }
    }
    // There are 1,000 requests in ten seconds. A ninth of the rate alone would admit about 110.
    CHECK(admitted >= 850);
}

// Counts the admissions of a small team whose requests arrive at random instances. A token is borrowed from
// the first instance that lends one. With one instance this is a single token bucket.
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
            one.addBorrowed(team, fleet[lender].lend(team, 1, now), now);
            isAdmitted = one.trySpend(team, now);
        }
        admitted += isAdmitted ? 1 : 0;
    }
    return admitted;
}

TEST(TeamBuckets, SlackCompensatesForDividingTheRate)
{
    const int64_t undivided = admittedAtRandom(1, 0);
    const int64_t lostWithout = undivided - admittedAtRandom(12, 0);
    const int64_t lostWith = undivided - admittedAtRandom(12, 20);
    CHECK(lostWithout > 0);
    // The slack must recover at least four fifths of the admissions lost by dividing the rate.
    CHECK(lostWith * 5 <= lostWithout);
}

TEST(TeamBuckets, ABucketRefillsFromWhenItsRateIsSet)
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

TEST(TeamBuckets, ALoweredRateDiscardsTokensAboveTheNewBurst)
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

TEST(TeamBuckets, ASmallBucketLendsItsOnlyTokenThoughItsInstanceUsesSome)
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

TEST(TeamBuckets, AnInstanceWithoutAFractionOnlyBorrows)
{
    TeamBuckets holder = bucketsFor({ 100, 100 }, 1);
    TeamBuckets other;
    other.setRates({ { team, { 100, 100 } } }, start);
    other.setFraction(team, 0, start);
    const TimePoint later = start + std::chrono::seconds(1);
    CHECK(!other.trySpend(team, later));
    other.addBorrowed(team, holder.lend(team, 2, later), later);
    CHECK(other.trySpend(team, later));
    CHECK(other.trySpend(team, later));
    CHECK(!other.trySpend(team, later + std::chrono::seconds(10)));
}

// The fleet would admit too many requests if two instances held the same fraction at the same time.
TEST(TeamBuckets, ANewHolderStartsWhenThePreviousOneHasLearnedOfTheChange)
{
    TeamBuckets previous = bucketsFor({ 100, 100 }, 1);
    TeamBuckets next;
    next.setRates({ { team, { 100, 100 } } }, start);
    next.setFraction(team, 0, start);
    const TimePoint change = start + std::chrono::seconds(5);
    next.setFraction(team, 1, change);
    CHECK(!next.trySpend(team, change + Milliseconds(2'900)));
    CHECK(next.trySpend(team, change + Milliseconds(3'100)));
    previous.setFraction(team, 0, change + Milliseconds(2'000));
    CHECK(!previous.trySpend(team, change + Milliseconds(2'000)));
}
