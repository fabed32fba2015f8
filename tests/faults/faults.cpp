// Failures that the brief lists, caused with real processes. Every test waits for states, never for times.

#include "fleet/traffic.h"

#include <csignal>
#include <fstream>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;
using namespace persimmonfield::testing;
using nlohmann::json;

namespace {

int nextFirstPort = 23'000;
constexpr int portsPerFleet = 50;
constexpr int partitions = 24;
constexpr size_t zones = 3;
constexpr size_t instancesPerZone = 3;
constexpr size_t victim = 4; // In availability zone b.

std::string configuration(const std::string& extra = {})
{
    return "[service cards]\npartitions = 24\n"
           "[route cards]\nservice = cards\npath = /cards/{key}\naccess = team\nidempotent = yes\n"
           "[route signatures]\nservice = cards\npath = /signatures/{key}\naccess = team\n"
           "[team large]\nrate = 1000000\nburst = 1000000\n"
        + keySection("large") + extra;
}

int ownedBy(Fleet& fleet, size_t observer, const std::string& name)
{
    const json state = fleet.status(observer);
    return state.is_null() ? -1 : state["services"]["cards"]["partitionsByOwner"].value(name, 0);
}

// Every not-run is true, nothing ran twice, and what was answered ran. `areRunsKnown` is false when a server
// was lost together with its record.
void checkOutcomes(Fleet& fleet, const std::vector<SentRequest>& requests, bool areRunsKnown)
{
    const auto runs = countRuns(fleet);
    for (const SentRequest& request : requests) {
        const auto found = runs.find(request.target);
        const int count = found == runs.end() ? 0 : found->second;
        CHECK_TEXT(count <= 1, request.target.c_str());
        if (request.outcome == CallOutcome::NotRun)
            LONGS_EQUAL_TEXT(0, count, request.target.c_str());
        if (request.outcome == CallOutcome::Answered && areRunsKnown)
            LONGS_EQUAL_TEXT(1, count, request.target.c_str());
    }
}

void checkAllAnswered(const std::vector<SentRequest>& requests)
{
    for (const SentRequest& request : requests)
        CHECK_TEXT(request.outcome == CallOutcome::Answered, (request.target + " " + request.reason).c_str());
}

void waitForMore(Traffic& traffic, size_t more)
{
    const size_t goal = traffic.sent() + more;
    CHECK(Fleet::waitUntil([&] { return traffic.sent() >= goal; }));
}

}

TEST_GROUP(Faults)
{
    std::unique_ptr<Fleet> fleet;

    void setup() override
    {
        fleet = std::make_unique<Fleet>(BINARY_DIRECTORY, nextFirstPort);
        nextFirstPort += portsPerFleet;
        fleet->startPlatform();
        for (size_t i = 0; i < zones * instancesPerZone; ++i) {
            const std::string zone(1, static_cast<char>('a' + i / instancesPerZone));
            // Half of the servers check fences, the others trust the gate.
            fleet->addInstance({ zone + std::to_string(i), zone, "cards", {}, i % 2 == 0, 10 });
        }
        LONGS_EQUAL(0, fleet->apply(configuration()));
        CHECK(fleet->waitUntilOwned("cards", partitions));
        CHECK(Fleet::waitUntil([this] { return everyLeaseRestsOnWitnesses(); }));
    }

    void teardown() override
    {
        fleet.reset();
    }

    bool everyLeaseRestsOnWitnesses()
    {
        const json state = fleet->status(0);
        if (state.is_null())
            return false;
        // An incarnation that lapsed while the machine was busy stays listed for a while; it is no member.
        size_t joined = 0;
        for (const json& instance : state["instances"]) {
            if (instance["state"] != "joined")
                continue;
            ++joined;
            if (instance["witnesses"].get<int>() < 7)
                return false;
        }
        return joined == fleet->size();
    }

    std::string nameOf(size_t index)
    {
        return fleet->spec(index).name;
    }

    // Traffic through all entrances but the victim's.
    TrafficSpec aroundVictim()
    {
        TrafficSpec spec;
        spec.ingressInstances = instancesExcept(*fleet, { victim });
        return spec;
    }
};

TEST(Faults, AKilledInstanceIsReplacedAndNothingRunsTwice)
{
    Traffic traffic(*fleet, aroundVictim());
    waitForMore(traffic, 200);
    CHECK(ownedBy(*fleet, 0, nameOf(victim)) > 0);
    fleet->daemon(victim).kill();
    CHECK(Fleet::waitUntil([this] { return ownedBy(*fleet, 0, nameOf(victim)) == 0; }));
    waitForMore(traffic, 200);
    checkOutcomes(*fleet, traffic.stop(), true);
}

TEST(Faults, AFrozenOwnerThatReturnsServesNothingOfItsOldKeys)
{
    Traffic traffic(*fleet, aroundVictim());
    waitForMore(traffic, 100);
    const std::string before = fleet->status(victim)["incarnation"];
    fleet->daemon(victim).signal(SIGSTOP);
    CHECK(Fleet::waitUntil([this] { return ownedBy(*fleet, 0, nameOf(victim)) == 0; }));
    fleet->daemon(victim).signal(SIGCONT);
    CHECK(Fleet::waitUntil([&] {
        const json state = fleet->status(victim);
        return !state.is_null() && state["incarnation"] != before && state["holdsLease"].get<bool>();
    }));
    CHECK(fleet->waitUntilOwned("cards", partitions));
    waitForMore(traffic, 100);
    checkOutcomes(*fleet, traffic.stop(), true);
}

TEST(Faults, AKilledServerLosesItsKeysToOthersAndGetsKeysAgainWhenBack)
{
    Traffic traffic(*fleet, aroundVictim());
    waitForMore(traffic, 100);
    fleet->server(victim).kill();
    CHECK(Fleet::waitUntil([this] { return ownedBy(*fleet, 0, nameOf(victim)) == 0; }));
    waitForMore(traffic, 100);
    checkOutcomes(*fleet, traffic.stop(), false);
    fleet->startServer(victim);
    CHECK(Fleet::waitUntil([this] { return ownedBy(*fleet, 0, nameOf(victim)) > 0; }));
}

TEST(Faults, APlannedStopCutsNoRequest)
{
    Traffic traffic(*fleet, aroundVictim());
    waitForMore(traffic, 100);
    fleet->daemon(victim).signal(SIGTERM);
    LONGS_EQUAL(0, fleet->daemon(victim).wait());
    waitForMore(traffic, 200);
    const auto requests = traffic.stop();
    checkAllAnswered(requests);
    checkOutcomes(*fleet, requests, true);
}

TEST(Faults, AZoneTakenOutIsEmptiedAndRefilledWithoutARefusal)
{
    TrafficSpec spec;
    spec.ingressInstances = instancesExcept(*fleet, {});
    Traffic traffic(*fleet, spec);
    waitForMore(traffic, 200);
    LONGS_EQUAL(0, fleet->apply(configuration("[availability-zone b]\nstate = out\n")));
    CHECK(Fleet::waitUntil([this] {
        return ownedBy(*fleet, 0, "b3") == 0 && ownedBy(*fleet, 0, "b4") == 0
            && ownedBy(*fleet, 0, "b5") == 0;
    }));
    const auto runsInZone = [this] { return fleet->runs(3)["runs"].size() + fleet->runs(4)["runs"].size(); };
    // What was on its way when the zone emptied ends within the sending of the next requests.
    waitForMore(traffic, 100);
    const size_t before = runsInZone();
    waitForMore(traffic, 200);
    LONGS_EQUAL(before, runsInZone());
    LONGS_EQUAL(0, fleet->apply(configuration("[availability-zone b]\nstate = in\n")));
    CHECK(Fleet::waitUntil([this] { return ownedBy(*fleet, 0, "b4") > 0; }));
    CHECK(fleet->waitUntilOwned("cards", partitions));
    const auto requests = traffic.stop();
    checkAllAnswered(requests);
    checkOutcomes(*fleet, requests, true);
}

TEST(Faults, AStoreOutageInterruptsNothingThatIsOwned)
{
    TrafficSpec spec;
    spec.ingressInstances = instancesExcept(*fleet, {});
    Traffic traffic(*fleet, spec);
    waitForMore(traffic, 200);
    fleet->commandPlatform({ { "out", true } });
    waitForMore(traffic, 3'000);
    fleet->commandPlatform({ { "out", false } });
    waitForMore(traffic, 200);
    checkAllAnswered(traffic.stop());
}

TEST(Faults, LostAnswersOfTheStoreLoseNoAssignment)
{
    fleet->commandPlatform({ { "lostAnswers", 30 } });
    fleet->daemon(victim).kill();
    CHECK(Fleet::waitUntil([this] { return ownedBy(*fleet, 0, nameOf(victim)) == 0; }));
    fleet->startDaemon(victim);
    CHECK(Fleet::waitUntil([this] { return ownedBy(*fleet, 0, nameOf(victim)) > 0; }));
    CHECK(fleet->waitUntilOwned("cards", partitions));
}

TEST(Faults, ARequestThatCrashesServersIsHeldBackByAllInstances)
{
    HttpCall poison { "POST", "/signatures/poison", { { "X-Crash", "1" } }, "body" };
    poison.headers.emplace("Authorization", "Bearer " + keyOf("large"));
    int crashes = 0;
    // Its caller sends it again and again, through one entrance after the other.
    CHECK(Fleet::waitUntil([&] {
        const HttpAnswer answer
            = call(fleet->callerPort(static_cast<size_t>(crashes) % fleet->size()), poison);
        crashes += answer.header("Persimmonfield-Reason") == "server-failed" ? 1 : 0;
        return answer.header("Persimmonfield-Reason") == "quarantined";
    }));
    LONGS_EQUAL(2, crashes);
    for (size_t i = 0; i < fleet->size(); ++i) {
        CHECK(Fleet::waitUntil([&] {
            const HttpAnswer answer = call(fleet->callerPort(i), poison);
            return answer.header("Persimmonfield-Reason") == "quarantined"
                && answer.header("Persimmonfield-Outcome") == "not-run";
        }));
    }
    size_t alive = 0;
    for (size_t i = 0; i < fleet->size(); ++i)
        alive += fleet->runs(i).is_null() ? 0 : 1;
    LONGS_EQUAL(fleet->size() - 2, alive);
}

TEST(Faults, AWithdrawnKeyStopsWorking)
{
    TrafficSpec spec;
    spec.ingressInstances = instancesExcept(*fleet, {});
    Traffic traffic(*fleet, spec);
    waitForMore(traffic, 100);
    std::string withoutKey = configuration();
    withoutKey.resize(withoutKey.find("[key large]"));
    LONGS_EQUAL(0, fleet->apply(withoutKey));
    CHECK(Fleet::waitUntil([this] {
        for (size_t i = 0; i < fleet->size(); ++i) {
            if (fleet->status(i).value("configVersion", 0) != 2)
                return false;
        }
        return true;
    }));
    const TimePoint inForce = BootClock::now();
    waitForMore(traffic, 200);
    for (const SentRequest& request : traffic.stop()) {
        if (request.began > inForce)
            STRCMP_EQUAL("unknown-key", request.reason.c_str());
    }
}
