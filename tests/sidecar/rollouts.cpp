// Roll-outs: the requests of a service move to the servers of another version, or back from a bad one.

#include "sidecarfleet.h"

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;
using namespace persimmonfield::testing;

namespace {

constexpr double share = 0.4;
constexpr size_t firstNew = 2; // Index of the first instance next to a server of the new version.
constexpr Milliseconds interval { 8 };
constexpr size_t watchers = 2; // One in each zone; the others follow them.
constexpr const char* kind = "rollouts";

struct RolloutFleet : public SidecarFleet {
    TimePoint nextRequestAt;
    size_t nextInstance = 0;
    int failed = 0;
    int answered = 0;

    void start(bool canEnd = false)
    {
        canaryShare = share;
        canAllEnd = canEnd;
        versions = { "v1", "v1", "v2", "v2" };
        // The third instance has no proxy here.
        startInstances({ "orders", "orders" });
        for (const int index : { 3, 4 })
            instances.push_back(
                std::make_unique<Instance>(loop, settingsOf(index, "orders", canaryShare), canEnd, "v2"));
        CHECK(runUntil([this] { return isServing(); }));
        CHECK(runUntil([this] { return statusOf(0, lookupRequest("first")) == 200; }));
        CHECK(runUntil([this] { return store->openWatches(kind) >= watchers; }));
        nextRequestAt = BootClock::now();
    }

    void order(const char* duration, const char* version = "v2", const char* service = "orders")
    {
        store->put(kind, service,
            { { "service", service }, { "targetVersion", version }, { "duration", duration } });
    }

    std::string state() const
    {
        const nlohmann::json status = store->status(kind, "orders");
        return status.is_object() ? status.value("state", "") : std::string();
    }

    size_t runsOf(bool isNew) const
    {
        size_t sum = 0;
        for (size_t i = 0; i < instances.size(); ++i)
            sum += (i >= firstNew) == isNew ? instances[i]->server->runs().size() : 0;
        return sum;
    }

    // Sends lookups through all running instances at a steady rate until the condition holds.
    bool sendUntil(const std::function<bool()>& condition)
    {
        return runUntil([&] {
            for (; nextRequestAt <= BootClock::now(); nextRequestAt += interval) {
                Instance& instance = *instances[nextInstance++ % instances.size()];
                if (!instance.sidecar)
                    continue;
                instance.caller.call(lookupRequest("x"), longTime, [this](const CallResult& result) {
                    const bool isGood
                        = result.outcome == CallOutcome::Answered && result.response.status == 200;
                    ++(isGood ? answered : failed);
                });
            }
            return condition();
        });
    }

    void sendFor(Milliseconds time)
    {
        const TimePoint end = BootClock::now() + time;
        CHECK(sendUntil([end] { return BootClock::now() >= end; }));
    }

    void setNewStatus(int status)
    {
        for (size_t i = firstNew; i < instances.size(); ++i)
            instances[i]->server->setStatus(status);
    }
};

}

TEST_GROUP_BASE(Rollouts, RolloutFleet) {};

TEST(Rollouts, AGoodVersionIsCompletedAndTheOldServersGetNothingMore)
{
    start();
    order("5s");
    CHECK(sendUntil([this] { return state() == "running"; }));
    CHECK(sendUntil([this] { return runsOf(true) > 0; }));
    sendFor(Milliseconds(1'000));
    const size_t exposed = runsOf(true);
    CHECK(static_cast<double>(exposed) <= share * static_cast<double>(runsOfAll()));
    const TimePoint began = BootClock::now();
    CHECK(sendUntil([this] { return state() == "completed"; }));
    CHECK(BootClock::now() < began + Milliseconds(5'000));
    const size_t old = runsOf(false);
    sendFor(Milliseconds(500));
    LONGS_EQUAL(old, runsOf(false));
    CHECK(runsOf(true) > exposed);
    LONGS_EQUAL(0, failed);
}

TEST(Rollouts, AFailingVersionIsTakenBackAndGetsNothingMore)
{
    start();
    setNewStatus(500);
    order("8s");
    CHECK(sendUntil([this] { return state() == "rolled_back"; }));
    const size_t exposed = runsOf(true);
    CHECK(exposed > 0);
    CHECK(exposed <= 50);
    sendFor(Milliseconds(1'000));
    LONGS_EQUAL(exposed, runsOf(true));
}

TEST(Rollouts, AVersionThatTurnsBadIsTakenBackWithoutTheStore)
{
    start();
    order("12s");
    CHECK(sendUntil([this] { return runsOf(true) >= 20; }));
    store->setDown(true);
    setNewStatus(500);
    sendFor(Milliseconds(3'000));
    const size_t exposed = runsOf(true);
    sendFor(Milliseconds(1'000));
    LONGS_EQUAL(exposed, runsOf(true));
    CHECK(state() == "running");
    store->setDown(false);
    CHECK(sendUntil([this] { return state() == "rolled_back"; }));
    LONGS_EQUAL(exposed, runsOf(true));
}

TEST(Rollouts, LostAnswersOfTheStoreDoNotStopARollOut)
{
    start();
    store->dropNextWriteResponses(2);
    order("8s");
    CHECK(sendUntil([this] { return runsOf(true) > 0; }));
    store->dropNextWriteResponses(1);
    CHECK(sendUntil([this] { return state() == "completed" || state() == "rolled_back"; }));
    STRCMP_EQUAL("completed", state().c_str());
}

TEST(Rollouts, AnotherInstanceGoesOnWhenTheOneThatTakesTheStepsHasEnded)
{
    start(true);
    order("8s");
    CHECK(sendUntil([this] { return runsOf(true) >= 10; }));
    const std::string decider = store->value(fleetKind, rolloutObjectName("orders")).at("decider");
    for (const auto& instance : instances) {
        if (decider.rfind(instance->settings.name + "/", 0) == 0)
            instance->endProcess();
    }
    CHECK(sendUntil([this] { return state() == "completed" || state() == "rolled_back"; }));
    STRCMP_EQUAL("completed", state().c_str());
    CHECK(decider != store->value(fleetKind, rolloutObjectName("orders")).at("decider"));
}

TEST(Rollouts, WithoutAnOrderServersOfAllVersionsAreUsed)
{
    start();
    CHECK(sendUntil([this] { return runsOf(true) > 20 && runsOf(false) > 20; }));
    order("8s", "v2", "nobody");
    order("8s", "v9");
    sendFor(Milliseconds(1'500));
    const size_t before = runsOf(true);
    CHECK(sendUntil([this, before] { return runsOf(true) > before + 20; }));
    CHECK(store->value(fleetKind, rolloutObjectName("nobody")).is_null());
}

TEST(Rollouts, AnOrderThatIsWithdrawnIsTakenBack)
{
    start();
    order("8s");
    CHECK(sendUntil([this] { return runsOf(true) > 0; }));
    store->remove(kind, "orders");
    CHECK(sendUntil([this] {
        return store->value(fleetKind, rolloutObjectName("orders")).value("state", "") == "rolled-back";
    }));
    sendFor(Milliseconds(500));
    const size_t exposed = runsOf(true);
    sendFor(Milliseconds(1'000));
    LONGS_EQUAL(exposed, runsOf(true));
}
