// Plays the requests of a team over a large fleet against TeamTokens, and checks what their callers get.

#include "limits/teamtokens.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;

namespace {

const TimePoint start { std::chrono::hours(1) };
const std::string team = "team";
constexpr int instanceCount = 295;
constexpr int strongInstances = 15;
constexpr TeamRate rate { 26, 26 };
// Begins after the buckets have filled.
constexpr Milliseconds fillTime { 3'000 };
constexpr Milliseconds playTime { 30'000 };
constexpr Milliseconds stepInterval { 20 };

std::string nameOf(int instance)
{
    return "instance-" + std::to_string(instance);
}

// A fleet whose instances exchange messages with delays: the first message between two instances has to open
// a link, and small machines are late.
class Fleet {
public:
    explicit Fleet(uint64_t seed)
        : random_(seed)
    {
        std::map<std::string, double> cores;
        for (int i = 0; i < instanceCount; ++i)
            cores[nameOf(i)] = i < strongInstances ? 0.5 : 0.1;
        for (int i = 0; i < instanceCount; ++i) {
            instances_.push_back(std::make_unique<TeamTokens>(nameOf(i)));
            instances_.back()->setInstances(cores, {}, start);
            instances_.back()->setRates({ { team, rate } }, start);
            indexes_[nameOf(i)] = i;
        }
    }

    // Makes the team's first holder silent.
    void silenceHolder() { silent_ = teamTokenHolders(team, strong(), 3).front(); }

    // Plays requests that arrive at random instances, on average `perSecond` of them.
    void play(double perSecond)
    {
        std::exponential_distribution<double> gap(perSecond);
        TimePoint at = start + fillTime;
        while (at < start + fillTime + playTime) {
            const auto instance = static_cast<int>(random_() % instanceCount);
            schedule(at, [this, instance] { arrive(instance); });
            at += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random_)));
        }
        while (!events_.empty()) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.at;
            event.action();
        }
    }

    size_t requests() const { return arrivedAt_.size(); }
    size_t refused() const { return refused_; }
    size_t questions() const { return questions_; }
    const std::vector<TimePoint>& charges() const { return charges_; }

    // The time within which this share of the refused requests were refused.
    Duration refusedWithin(double share)
    {
        std::sort(refusedAfter_.begin(), refusedAfter_.end());
        return refusedAfter_.at(static_cast<size_t>(share * static_cast<double>(refusedAfter_.size() - 1)));
    }

    // The most requests that were charged in any span of this length.
    size_t mostChargedIn(Duration span)
    {
        std::sort(charges_.begin(), charges_.end());
        size_t most = 0;
        size_t first = 0;
        for (size_t last = 0; last < charges_.size(); ++last) {
            while (charges_[last] - charges_[first] >= span)
                ++first;
            most = std::max(most, last - first + 1);
        }
        return most;
    }

private:
    struct Event {
        TimePoint at;
        size_t order = 0;
        std::function<void()> action;

        bool operator<(const Event& other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    static std::vector<std::string> strong()
    {
        std::vector<std::string> names;
        for (int i = 0; i < strongInstances; ++i)
            names.push_back(nameOf(i));
        return names;
    }

    void schedule(TimePoint at, std::function<void()> action)
    {
        events_.push({ at, nextOrder_++, std::move(action) });
    }

    Duration delay(int from, int to)
    {
        const bool isFirst = links_.insert(std::minmax(from, to)).second;
        return Milliseconds(isFirst ? 20 + random_() % 40 : 2 + random_() % 14);
    }

    void arrive(int instance)
    {
        const TeamTokens::RequestId request = arrivedAt_.size();
        arrivedAt_.push_back(now_);
        carryOut(instance, at(instance).charge(team, request, now_));
        scheduleStep(instance);
    }

    void scheduleStep(int instance)
    {
        if (at(instance).waitingTeams().empty() || !stepping_.insert(instance).second)
            return;
        schedule(now_ + stepInterval, [this, instance] {
            stepping_.erase(instance);
            carryOut(instance, at(instance).step(team, now_));
            scheduleStep(instance);
        });
    }

    void carryOut(int instance, const TeamTokens::Decision& decision)
    {
        for (const TeamTokens::RequestId request : decision.charged) {
            (void)request;
            charges_.push_back(now_);
        }
        for (const TeamTokens::RequestId request : decision.refused) {
            ++refused_;
            refusedAfter_.push_back(now_ - arrivedAt_.at(request));
        }
        for (const TeamTokens::Question& question : decision.questions)
            send(instance, indexes_.at(question.holder), question.wanted);
    }

    void send(int from, int holder, int64_t wanted)
    {
        ++questions_;
        if (nameOf(holder) == silent_)
            return;
        schedule(now_ + delay(from, holder), [this, from, holder, wanted] {
            const int64_t tokens = at(holder).lend(team, wanted, now_);
            schedule(now_ + delay(from, holder), [this, from, holder, tokens] {
                carryOut(from, at(from).onTokens(team, nameOf(holder), tokens, now_));
            });
        });
    }

    TeamTokens& at(int instance) { return *instances_.at(static_cast<size_t>(instance)); }

    std::mt19937_64 random_;
    std::vector<std::unique_ptr<TeamTokens>> instances_;
    std::map<std::string, int> indexes_;
    std::string silent_;
    std::priority_queue<Event> events_;
    size_t nextOrder_ = 0;
    TimePoint now_ = start;
    std::set<std::pair<int, int>> links_;
    std::set<int> stepping_;
    std::vector<TimePoint> arrivedAt_; // By request.
    std::vector<TimePoint> charges_;
    std::vector<Duration> refusedAfter_;
    size_t refused_ = 0;
    size_t questions_ = 0;
};

}

TEST_GROUP(TeamTokens) {};

// The team sends three fifths of its rate, each request to another instance. Issue 31 asks for no refusal
// within the rate; one in a hundred is what random arrivals may take beyond it for a moment.
TEST(TeamTokens, ATeamWithinItsRateIsHardlyEverRefused)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        Fleet fleet(seed);
        fleet.play(0.6 * static_cast<double>(rate.perSecond));
        CHECK(fleet.requests() > 300);
        CHECK(fleet.refused() * 100 <= fleet.requests());
    }
}

// One of the holders has been cut off, and nobody knows.
TEST(TeamTokens, ATeamWithinItsRateIsServedThoughAHolderIsSilent)
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        Fleet fleet(seed);
        fleet.silenceHolder();
        fleet.play(0.4 * static_cast<double>(rate.perSecond));
        CHECK(fleet.requests() > 200);
        CHECK(fleet.refused() * 50 <= fleet.requests());
    }
}

// The team sends ten times its rate. The limit is a tenth and 20 requests above rate and burst, as the users'
// rules have it; most refusals come at once, and a request asks each of the three holders once at most.
TEST(TeamTokens, ATeamFarBeyondItsRateIsLimitedAndRefusedAtOnce)
{
    const std::chrono::seconds window { 5 };
    const auto limit
        = static_cast<size_t>(1.1 * static_cast<double>(rate.perSecond * window.count() + rate.burst)) + 20;
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        Fleet fleet(seed);
        fleet.play(10 * static_cast<double>(rate.perSecond));
        CHECK(fleet.mostChargedIn(window) <= limit);
        // Within the rate the team is not refused more than a tenth.
        const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(playTime).count();
        CHECK(fleet.charges().size()
            >= static_cast<size_t>(0.9 * static_cast<double>(rate.perSecond * seconds)));
        CHECK(fleet.refusedWithin(0.9) <= Milliseconds(250));
        CHECK(fleet.questions() <= 3 * fleet.requests());
    }
}
