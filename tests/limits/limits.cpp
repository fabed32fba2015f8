// Stateful fuzz test of team rates. Homes are lost and replaced, messages are lost, duplicated, delayed and
// reordered, and instances are paused. The oracle is a single token bucket that is charged for every
// admission. It must never be empty at an admission, which is equivalent to admissions <= burst + rate *
// window over every window.

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
    bool isRequest = false;
    int instance = 0;
    int home = 0; // Number of the home, counted from the first one.
    TokenRequest request;
    TokenGrant grant;
    TimePoint arrivesAt;
};

// The oracle.
class OracleBucket {
public:
    OracleBucket(int64_t rate, int64_t burst, TimePoint now)
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

class Simulation {
public:
    Simulation(uint64_t seed, const Load& load)
        : random_(seed)
        , load_(load)
        , bucket_(load.rate, load.burst, now_)
        , shares_(instances)
        , pausedUntil_(instances)
        , home_(std::make_unique<TeamHome>(load.rate, load.burst, now_))
        , homeStartedAt_(now_)
    {
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            now_ += stepTime;
            if (load_.isFaulty)
                injectFaults();
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
    int requested() const { return requested_; }

private:
    bool chance(int percent) { return static_cast<int>(random_() % 100) < percent; }
    Milliseconds upTo(int milliseconds)
    {
        return Milliseconds(random_() % static_cast<uint64_t>(milliseconds));
    }

    void injectFaults()
    {
        // A home is replaced no earlier than the minimum age of a partition grant.
        if (chance(1) && now_ - homeStartedAt_ >= Milliseconds(1'000)) {
            ++homeNumber_;
            homeStartedAt_ = now_;
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
            message.arrivesAt = now_ + upTo(load_.isFaulty && chance(10) ? 1'000 : 10);
            messages_.push_back(message);
        }
    }

    void deliver()
    {
        std::deque<Message> due;
        for (auto message = messages_.begin(); message != messages_.end();) {
            const bool isDue = message->arrivesAt <= now_;
            if (isDue)
                due.push_back(*message);
            message = isDue ? messages_.erase(message) : std::next(message);
        }
        for (Message& message : due) {
            if (message.home != homeNumber_)
                continue;
            if (message.isRequest) {
                message.isRequest = false;
                message.grant = home_->grantTokens(std::to_string(message.instance), message.request, now_);
                send(message);
            } else if (knownHome_[message.instance] == message.home) {
                shares_[message.instance].onGrant(message.request.sequence, message.grant, now_);
            }
        }
    }

    void act(int instance)
    {
        TeamShare& share = shares_[instance];
        // An instance may learn of a new home late.
        if (knownHome_[instance] != homeNumber_ && chance(20)) {
            knownHome_[instance] = homeNumber_;
            share.onHomeChanged();
        }
        if (!isWaiting_[instance] && chance(load_.requestPercent)) {
            ++requested_;
            share.addWaiter();
            isWaiting_[instance] = true;
        }
        if (isWaiting_[instance] && share.trySpend(now_)) {
            ++admitted_;
            share.removeWaiter();
            isWaiting_[instance] = false;
            RC_ASSERT(bucket_.admit(now_));
        }
        if (const auto request = share.nextRequest(now_))
            send({ true, instance, knownHome_[instance], *request, {}, {} });
    }

    std::mt19937_64 random_;
    Load load_;
    TimePoint now_ { std::chrono::hours(1) };
    OracleBucket bucket_;
    std::vector<TeamShare> shares_;
    std::vector<TimePoint> pausedUntil_;
    std::vector<int> knownHome_ = std::vector<int>(instances, 0);
    std::vector<bool> isWaiting_ = std::vector<bool>(instances, false);
    std::unique_ptr<TeamHome> home_;
    TimePoint homeStartedAt_;
    int homeNumber_ = 0;
    std::deque<Message> messages_;
    int admitted_ = 0;
    int requested_ = 0;
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
    const bool isPassed = rc::check("the oracle bucket is never empty at an admission", [&](uint64_t seed) {
        Simulation simulation(seed, loadOf(seed));
        simulation.run(800);
        admitted += simulation.admitted();
    });
    CHECK(isPassed);
    CHECK(admitted > 1'000);
}

TEST(Limits, ATeamWithinItsRateIsServedInFull)
{
    const bool isPassed = rc::check("no request within the rate is left waiting", [](uint64_t seed) {
        // Four instances with a request in every third step: 133 of the allowed 300 requests per second.
        Simulation simulation(seed, { 300, 100, false, 33 });
        simulation.run(1'000);
        RC_ASSERT(simulation.requested() - simulation.admitted() <= instances);
    });
    CHECK(isPassed);
}

TEST(Limits, ANewHomeGrantsRefilledTokensAtOnce)
{
    const TimePoint start { std::chrono::hours(1) };
    TeamHome home(1'000, 100, start);
    LONGS_EQUAL(0, home.grantTokens("one", { 1, 5, 0, 0 }, start).tokens);
    CHECK(home.grantTokens("one", { 2, 5, 0, 0 }, start + Milliseconds(20)).tokens > 0);
}

TEST(Limits, ARepeatedRequestGetsNoTokens)
{
    const TimePoint start { std::chrono::hours(1) };
    TeamHome home(1'000, 100, start);
    const TimePoint later = start + std::chrono::seconds(2);
    CHECK(home.grantTokens("one", { 1, 5, 0, 0 }, later).tokens > 0);
    LONGS_EQUAL(0, home.grantTokens("one", { 1, 5, 0, 0 }, later).tokens);
}
