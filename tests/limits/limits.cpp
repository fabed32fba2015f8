// Stateful fuzzing of team rates: homes are lost and replaced, messages lost, doubled, delayed and reordered,
// instances paused. The oracle is one plain token bucket over all admissions: it must never run dry, which is
// the same as admissions <= burst + rate * window over every window.

#include "limits/teamhome.h"
#include "limits/teamshare.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;

namespace {

constexpr int instances = 4;
constexpr Milliseconds stepTime { 10 };
constexpr double nanosecondsPerSecond = 1e9;

struct Message {
    bool isDemand = false;
    int instance = 0;
    int home = 0; // Counts the homes that there have been.
    ShareDemand demand;
    ShareAnswer answer;
    TimePoint arrives;
};

// The oracle.
class PlainBucket {
public:
    PlainBucket(int64_t rate, int64_t burst, TimePoint now)
        : rate_(static_cast<double>(rate))
        , burst_(static_cast<double>(burst))
        , level_(burst_)
        , last_(now)
    {
    }

    bool admit(TimePoint now)
    {
        const double seconds = static_cast<double>((now - last_).count()) / nanosecondsPerSecond;
        last_ = now;
        level_ = std::min(burst_, level_ + seconds * rate_) - 1;
        return level_ > -1e-6;
    }

private:
    double rate_;
    double burst_;
    double level_;
    TimePoint last_;
};

struct Load {
    int64_t rate = 1;
    int64_t burst = 1;
    bool isFaulty = true;
    int requestPercent = 50; // Chance of a request per step and instance.
};

class World {
public:
    World(uint64_t seed, const Load& load)
        : random_(seed)
        , load_(load)
        , bucket_(load.rate, load.burst, now_)
        , shares_(instances)
        , pausedUntil_(instances)
        , home_(std::make_unique<TeamHome>(load.rate, load.burst, now_))
        , homeBegan_(now_)
    {
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            now_ += stepTime;
            if (load_.isFaulty)
                disturb();
            deliver();
            for (int instance = 0; instance < instances; ++instance) {
                if (now_ >= pausedUntil_[instance])
                    act(instance);
            }
            RC_ASSERT(home_->level() + static_cast<double>(home_->outstanding())
                <= static_cast<double>(load_.burst) + 1e-6);
        }
    }

    int admitted() const { return admitted_; }
    int asked() const { return asked_; }

private:
    bool chance(int percent) { return static_cast<int>(random_() % 100) < percent; }
    Milliseconds upTo(int milliseconds)
    {
        return Milliseconds(random_() % static_cast<uint64_t>(milliseconds));
    }

    void disturb()
    {
        // A home is replaced after at least the shortest tenure of a grant.
        if (chance(1) && now_ - homeBegan_ >= Milliseconds(1'000)) {
            ++homeNumber_;
            homeBegan_ = now_;
            home_ = std::make_unique<TeamHome>(load_.rate, load_.burst, now_);
        }
        if (chance(2))
            pausedUntil_[random_() % instances] = now_ + upTo(1'500);
    }

    void send(Message message)
    {
        if (load_.isFaulty && chance(10))
            return;
        for (int copies = load_.isFaulty && chance(10) ? 2 : 1; copies > 0; --copies) {
            message.arrives = now_ + upTo(load_.isFaulty && chance(10) ? 1'000 : 10);
            messages_.push_back(message);
        }
    }

    void deliver()
    {
        std::deque<Message> due;
        for (auto message = messages_.begin(); message != messages_.end();) {
            const bool isDue = message->arrives <= now_;
            if (isDue)
                due.push_back(*message);
            message = isDue ? messages_.erase(message) : std::next(message);
        }
        for (Message& message : due) {
            if (message.home != homeNumber_)
                continue;
            if (message.isDemand) {
                message.isDemand = false;
                message.answer = home_->request(std::to_string(message.instance), message.demand, now_);
                send(message);
            } else if (knownHome_[message.instance] == message.home) {
                shares_[message.instance].granted(message.demand.sequence, message.answer, now_);
            }
        }
    }

    void act(int instance)
    {
        TeamShare& share = shares_[instance];
        // An instance learns late of a new home.
        if (knownHome_[instance] != homeNumber_ && chance(20)) {
            knownHome_[instance] = homeNumber_;
            share.forgetHome();
        }
        if (!isWaiting_[instance] && chance(load_.requestPercent)) {
            ++asked_;
            share.addWaiter();
            isWaiting_[instance] = true;
        }
        if (isWaiting_[instance] && share.trySpend(now_)) {
            ++admitted_;
            share.removeWaiter();
            isWaiting_[instance] = false;
            RC_ASSERT(bucket_.admit(now_));
        }
        if (const auto demand = share.demand(now_))
            send({ true, instance, knownHome_[instance], *demand, {}, {} });
    }

    std::mt19937_64 random_;
    Load load_;
    TimePoint now_ { std::chrono::hours(1) };
    PlainBucket bucket_;
    std::vector<TeamShare> shares_;
    std::vector<TimePoint> pausedUntil_;
    std::vector<int> knownHome_ = std::vector<int>(instances, 0);
    std::vector<bool> isWaiting_ = std::vector<bool>(instances, false);
    std::unique_ptr<TeamHome> home_;
    TimePoint homeBegan_;
    int homeNumber_ = 0;
    std::deque<Message> messages_;
    int admitted_ = 0;
    int asked_ = 0;
};

Load loadOf(uint64_t seed)
{
    static constexpr int64_t rates[] = { 1, 5, 40, 300 };
    static constexpr int64_t bursts[] = { 1, 2, 3, 10, 100 };
    return { rates[seed % 4], bursts[seed / 4 % 5], true, 50 };
}

}

TEST_GROUP(Limits) {};

TEST(Limits, NoWindowAdmitsMoreThanBurstAndRate)
{
    int admitted = 0;
    const bool isTrue = rc::check("the plain bucket never runs dry", [&](uint64_t seed) {
        World world(seed, loadOf(seed));
        world.run(800);
        admitted += world.admitted();
    });
    CHECK(isTrue);
    CHECK(admitted > 1'000);
}

TEST(Limits, ATeamWellWithinItsRateIsServedInFull)
{
    const bool isTrue = rc::check("within the rate nobody is left waiting", [](uint64_t seed) {
        // Four instances, a request in every third step: 133 of 300 a second.
        World world(seed, { 300, 100, false, 33 });
        world.run(1'000);
        RC_ASSERT(world.asked() - world.admitted() <= instances);
    });
    CHECK(isTrue);
}

TEST(Limits, ANewHomeStartsAtOnceOnWhatIsRefilled)
{
    const TimePoint start { std::chrono::hours(1) };
    TeamHome home(1'000, 100, start);
    LONGS_EQUAL(0, home.request("one", { 1, 5, 0, 0 }, start).tokens);
    CHECK(home.request("one", { 2, 5, 0, 0 }, start + Milliseconds(20)).tokens > 0);
}

TEST(Limits, ADemandSeenTwiceIsAnsweredWithNothing)
{
    const TimePoint start { std::chrono::hours(1) };
    TeamHome home(1'000, 100, start);
    const TimePoint later = start + std::chrono::seconds(2);
    CHECK(home.request("one", { 1, 5, 0, 0 }, later).tokens > 0);
    LONGS_EQUAL(0, home.request("one", { 1, 5, 0, 0 }, later).tokens);
}
