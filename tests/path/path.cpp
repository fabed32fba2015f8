// The whole path with real processes: apply, daemons, stand-in servers, the answer.

#include "base/hashing.h"
#include "fleet/fleet.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <memory>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;
using namespace persimmonfield::testing;
using nlohmann::json;

namespace {

// Each fleet has ports of its own: those of an ended one stay in use by the system for a while.
int nextFirstPort = 21'000;
constexpr int portsPerFleet = 20;
constexpr int partitions = 16;

const std::string configuration
    = "[service cards]\npartitions = 16\n"
      "[route cards]\nservice = cards\npath = /cards/{key}/*\naccess = team\nidempotent = yes\n"
      "[route signatures]\nservice = cards\npath = /signatures/{key}\naccess = team\n"
      "[route open]\nservice = cards\npath = /open/{key}\naccess = open\n"
      "[team large]\nrate = 1000000\nburst = 1000000\n"
      "[team small]\nrate = 1\nburst = 2\n"
    + keySection("large") + keySection("small");

std::multimap<std::string, std::string> authorized(const std::string& team)
{
    return { { "Authorization", "Bearer " + keyOf(team) } };
}

}

TEST_GROUP(Path)
{
    std::unique_ptr<Fleet> fleet;

    void setup() override
    {
        fleet = std::make_unique<Fleet>(BINARY_DIRECTORY, nextFirstPort);
        nextFirstPort += portsPerFleet;
        fleet->startPlatform();
        fleet->addInstance({ "one", "a", "cards", { "--echo" }, true, 10, 512 });
        fleet->addInstance({ "two", "b", "cards", { "--echo" }, false, 10, 512 });
        LONGS_EQUAL(0, fleet->apply(configuration));
        CHECK(fleet->waitUntilOwned("cards", partitions));
    }

    void teardown() override
    {
        fleet.reset();
    }
};

TEST(Path, BodiesOfEverySizeComeBackByteForByteFromEveryEntrance)
{
    for (size_t size : { 0UL, 1UL, 65'536UL, 65'537UL, 5'000'000UL, 64UL * 1024 * 1024 }) {
        std::string body(size, '\0');
        for (size_t i = 0; i < size; ++i)
            body[i] = static_cast<char>((i * 2'654'435'761U) >> 13);
        for (int entrance : { 0, 1 }) {
            auto headers = authorized("large");
            headers.emplace("Content-Type", "text/plain");
            headers.emplace("Accept-Encoding", "gzip, br");
            const std::string target = "/signatures/key%20" + std::to_string(size);
            const HttpAnswer answer = call(fleet->callerPort(entrance), { "POST", target, headers, body });
            LONGS_EQUAL_TEXT(200, answer.status, answer.body.substr(0, 200).c_str());
            CHECK(answer.body == body);
        }
    }
}

TEST(Path, EachRefusalNamesOutcomeAndReason)
{
    const int port = fleet->callerPort(0);
    HttpAnswer answer = call(port, { "GET", "/cards/k/view", {}, {} });
    LONGS_EQUAL(401, answer.status);
    STRCMP_EQUAL("no-key", answer.header("Persimmonfield-Reason").c_str());
    STRCMP_EQUAL("not-run", answer.header("Persimmonfield-Outcome").c_str());
    answer = call(port, { "GET", "/cards/k/view", { { "Authorization", "Bearer wrong" } }, {} });
    LONGS_EQUAL(401, answer.status);
    STRCMP_EQUAL("unknown-key", answer.header("Persimmonfield-Reason").c_str());
    answer = call(port, { "GET", "/nowhere", authorized("large"), {} });
    LONGS_EQUAL(404, answer.status);
    answer = call(port, { "GET", "/open/k", {}, {} });
    LONGS_EQUAL(200, answer.status);
    auto headers = authorized("large");
    headers.emplace("Idempotency-Key", "not-a-uuid");
    answer = call(port, { "POST", "/signatures/k", headers, "x" });
    LONGS_EQUAL(400, answer.status);
    STRCMP_EQUAL("idempotency-key-invalid", answer.header("Persimmonfield-Reason").c_str());
    answer = call(port, { "GET", "/open/k", { { "Persimmonfield-Timeout", "soon" } }, {} });
    LONGS_EQUAL(400, answer.status);
}

TEST(Path, ATeamOverItsRateIsRefusedWithRetryAfter)
{
    int admitted = 0;
    HttpAnswer refused;
    for (int i = 0; i < 8; ++i) {
        const HttpAnswer answer
            = call(fleet->callerPort(i % 2), { "GET", "/cards/k/view", authorized("small"), {} });
        if (answer.status == 200)
            ++admitted;
        else
            refused = answer;
    }
    LONGS_EQUAL(429, refused.status);
    STRCMP_EQUAL("rate-exceeded", refused.header("Persimmonfield-Reason").c_str());
    CHECK(!refused.header("Retry-After").empty());
    CHECK(admitted < 8);
}

TEST(Path, NoServerEverSeesACallerKey)
{
    for (int i = 0; i < 20; ++i)
        LONGS_EQUAL(200,
            call(fleet->callerPort(i % 2),
                { "GET", "/cards/k" + std::to_string(i) + "/v", authorized("large"), {} })
                .status);
    for (size_t i = 0; i < fleet->size(); ++i)
        CHECK_FALSE(fleet->runs(i)["sawCallerKey"].get<bool>());
}

TEST(Path, SeveralHundredCallersAtOnceAreAllServed)
{
    std::atomic<int> served { 0 };
    std::vector<std::thread> callers;
    for (int i = 0; i < 300; ++i) {
        callers.emplace_back([&, i] {
            const std::string body = "body of caller " + std::to_string(i);
            for (int j = 0; j < 5; ++j) {
                const std::string target = "/signatures/k" + std::to_string(i);
                const HttpAnswer answer
                    = call(fleet->callerPort(i % 2), { "POST", target, authorized("large"), body });
                served += answer.status == 200 && answer.body == body ? 1 : 0;
            }
        });
    }
    for (std::thread& caller : callers)
        caller.join();
    LONGS_EQUAL(1500, served.load());
}

TEST(Path, SigtermEndsADaemonCleanlyAndItsKeysGoOn)
{
    fleet->daemon(0).signal(SIGTERM);
    LONGS_EQUAL(0, fleet->daemon(0).wait());
    CHECK(fleet->waitUntilOwned("cards", partitions));
    for (int i = 0; i < 20; ++i)
        LONGS_EQUAL(200,
            call(fleet->callerPort(1),
                { "GET", "/cards/k" + std::to_string(i) + "/v", authorized("large"), {} })
                .status);
}

TEST(Path, ApplyWithWaitNamesTheInstancesThatLag)
{
    std::string output;
    const std::string directory = fleet->directory() + "/config";
    LONGS_EQUAL(0, fleet->runPersimmonctl({ "apply", directory, "--wait" }, output));
    for (size_t i = 0; i < fleet->size(); ++i)
        LONGS_EQUAL(2, fleet->status(i)["configVersion"].get<int>());
    // Every daemon stands still, so that none takes the others out meanwhile.
    for (size_t i = 0; i < fleet->size(); ++i)
        fleet->daemon(i).signal(SIGSTOP);
    LONGS_EQUAL(6, fleet->runPersimmonctl({ "apply", directory, "--wait" }, output));
    CHECK(output.find("not in force on one") != std::string::npos);
    CHECK(output.find("not in force on two") != std::string::npos);
}

TEST(Path, ConflictingChangesAreRefusedWithWhoAndWhat)
{
    std::string output;
    LONGS_EQUAL(3, fleet->runPersimmonctl({ "apply", fleet->directory() + "/config", "--expect=0" }, output));
    CHECK(output.find("version 1 is in force") != std::string::npos);
    LONGS_EQUAL(2, fleet->apply("[route x]\nservice = none\npath = y\naccess = open\n"));
    LONGS_EQUAL(0, fleet->runPersimmonctl({ "history" }, output));
    LONGS_EQUAL(0, fleet->runPersimmonctl({ "status" }, output));
    LONGS_EQUAL(0, fleet->runPersimmonctl({ "timeline" }, output));
    CHECK(output.find("lease-gained") != std::string::npos);
    LONGS_EQUAL(1, fleet->runPersimmonctl({ "juggle" }, output));
}
