#include "base/hashing.h"
#include "routing/quarantine.h"
#include "routing/retrybudget.h"
#include "routing/router.h"
#include "routing/serverchoice.h"

#include <map>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;

namespace {

std::shared_ptr<Configuration> configuration()
{
    auto result = std::make_shared<Configuration>();
    result->services["cards"] = { "cards", 16 };
    result->services["print"] = { "print", 0 };
    result->teams["a"] = { "a", 1, 1 };
    result->teams["b"] = { "b", 1, 1 };
    result->keys["ka"] = { "ka", "a", sha256Hex("key-a") };
    result->keys["kb"] = { "kb", "b", sha256Hex("key-b") };
    result->routes.push_back({ "cards", "cards", { "cards", "{key}", "*" }, {}, { "GET" }, { "a" }, false,
        RouteType::Idempotent, {}, {}, {} });
    result->routes.push_back({ "open", "print", { "open" }, {}, {}, {}, true, RouteType::Once, {}, {}, {} });
    result->routes.push_back(
        { "header", "cards", { "by-header" }, "X-Card", {}, {}, false, RouteType::Once, {}, {}, {} });
    return result;
}

RefusalReason refusalOf(const RoutingResult& result)
{
    return std::get<Reply>(result).reason;
}

}

TEST_GROUP(Router) {};

TEST(Router, FindsServiceKeyAndTeam)
{
    const Router router(configuration());
    const CallerRequest request { "GET", "/cards/k1/view?x=/y", { { "authorization", "bearer key-a" } } };
    const auto routed = std::get<RoutedRequest>(router.route(request));
    STRCMP_EQUAL("cards", routed.service.c_str());
    STRCMP_EQUAL("k1", routed.key.c_str());
    STRCMP_EQUAL("a", routed.team.c_str());
    CHECK(routed.partition >= 0 && routed.partition < 16);
    CHECK(routed.isIdempotent);
}

TEST(Router, RefusesWithTheReason)
{
    const Router router(configuration());
    CHECK(refusalOf(router.route({ "POST", "/cards/k/v", {} })) == RefusalReason::NoRoute);
    CHECK(refusalOf(router.route({ "GET", "cards", {} })) == RefusalReason::NoRoute);
    CHECK(refusalOf(router.route({ "GET", "/cards/k/v", {} })) == RefusalReason::NoKey);
    CHECK(refusalOf(router.route({ "GET", "/cards/k/v", { { "Authorization", "Basic key-a" } } }))
        == RefusalReason::NoKey);
    CHECK(refusalOf(router.route({ "GET", "/cards/k/v", { { "Authorization", "Bearer key-x" } } }))
        == RefusalReason::UnknownKey);
    CHECK(refusalOf(router.route({ "GET", "/cards/k/v", { { "Authorization", "Bearer key-b" } } }))
        == RefusalReason::TeamNotAllowed);
    CHECK(refusalOf(router.route({ "GET", "/by-header", { { "Authorization", "Bearer key-b" } } }))
        == RefusalReason::BadRequest);
    CHECK(std::holds_alternative<RoutedRequest>(router.route({ "GET", "/open", {} })));
}

TEST(Router, RemovesTheCallerKeyAndReservedHeaders)
{
    const auto kept = forwardableHeaders(
        { { "AUTHORIZATION", "Bearer x" }, { "persimmonfield-fence", "9" }, { "Accept", "*/*" } });
    LONGS_EQUAL(1, kept.size());
    STRCMP_EQUAL("Accept", kept[0].name.c_str());
}

TEST_GROUP(Quarantine)
{
    Quarantine quarantine;
    TimePoint now { std::chrono::hours(1) };
    int crashes = 0;

    // A server crashes; the requests were in flight since `age` ago.
    std::vector<std::string> crash(const std::vector<std::string>& fingerprints, Duration age = {})
    {
        std::vector<Quarantine::Run> runs;
        for (const std::string& fingerprint : fingerprints)
            runs.push_back({ fingerprint, age });
        return quarantine.recordCrash("crash-" + std::to_string(++crashes), runs, now);
    }

    bool isRefused(const std::string& fingerprint) const
    {
        return quarantine.refusedFor(fingerprint, now) > Duration::zero();
    }

    void pass(Duration time)
    {
        now += time;
    }
};

TEST(Quarantine, RefusesARequestAfterTwoCrashesUntilTheTermEnds)
{
    const std::string request = requestFingerprint("a", "r", "POST", "/x", "body");
    CHECK(request != requestFingerprint("a", "r", "POST", "/xb", "ody"));
    quarantine.recordCrash("one/1", { { request, {} } }, now);
    quarantine.recordCrash("one/1", { { request, {} } }, now);
    CHECK_FALSE(isRefused(request));
    quarantine.recordCrash("two/1", { { request, {} } }, now);
    CHECK(isRefused(request));
    CHECK_FALSE(isRefused(requestFingerprint("a", "r", "POST", "/x", "other")));
    pass(Quarantine::firstTerm);
    CHECK_FALSE(isRefused(request));
    pass(Quarantine::probation);
    quarantine.expire(now);
    LONGS_EQUAL(0, quarantine.size());
}

TEST(Quarantine, EachFurtherCrashLengthensTheTerm)
{
    crash({ "a" });
    crash({ "a" });
    Duration term = quarantine.refusedFor("a", now);
    for (int i = 0; i < 3; ++i) {
        pass(term);
        CHECK_FALSE(isRefused("a"));
        crash({ "a" });
        CHECK(quarantine.refusedFor("a", now) > term);
        term = quarantine.refusedFor("a", now);
    }
}

TEST(Quarantine, AnAnswerClearsASuspect)
{
    crash({ "popular" });
    CHECK(quarantine.recordAnswer("popular", now));
    CHECK_FALSE(quarantine.recordAnswer("popular", now));
    crash({ "popular" });
    CHECK_FALSE(isRefused("popular"));
    crash({ "popular" });
    CHECK(isRefused("popular"));
    quarantine.recordAnswer("popular", now);
    CHECK_FALSE(isRefused("popular"));
}

TEST(Quarantine, AnAnswerToARunThatBeganBeforeTheCrashDoesNotClear)
{
    const TimePoint begunAt = now;
    pass(Milliseconds(1));
    crash({ "a" });
    CHECK_FALSE(quarantine.recordAnswer("a", begunAt));
    LONGS_EQUAL(1, quarantine.crashes("a"));
    CHECK(quarantine.recordAnswer("a", now));
    LONGS_EQUAL(0, quarantine.crashes("a"));
}

TEST(Quarantine, ARunAfterTheTermIsATrialThatAllOthersWaitFor)
{
    crash({ "a" });
    CHECK_FALSE(quarantine.recordTrial("a", now));
    CHECK_FALSE(isRefused("a"));
    crash({ "a" });
    pass(Quarantine::firstTerm);
    CHECK_FALSE(isRefused("a"));
    CHECK(quarantine.recordTrial("a", now));
    CHECK(isRefused("a"));
    pass(Quarantine::firstTerm);
    CHECK_FALSE(isRefused("a"));
    CHECK(quarantine.recordTrial("a", now));
    quarantine.recordAnswer("a", now);
    CHECK_FALSE(isRefused("a"));
    CHECK_FALSE(quarantine.recordTrial("a", now));
}

TEST(Quarantine, ATrialDoesNotShortenATerm)
{
    for (int i = 0; i < 3; ++i)
        crash({ "a" });
    const Duration term = quarantine.refusedFor("a", now);
    quarantine.recordTrial("a", now);
    CHECK(quarantine.refusedFor("a", now) == term);
}

TEST(Quarantine, RunsThatCrashTogetherAreNoRepetition)
{
    crash({ "popular" }, Milliseconds(100));
    pass(Milliseconds(10));
    crash({ "popular" }, Milliseconds(100));
    crash({ "popular" }, Milliseconds(100));
    CHECK_FALSE(isRefused("popular"));
    LONGS_EQUAL(1, quarantine.crashes("popular"));
}

TEST(Quarantine, ACrashCountsOnlyAgainstItsMostLikelyCause)
{
    crash({ "a", "b" });
    pass(Milliseconds(1));
    crash({ "a", "c" });
    CHECK(isRefused("a"));
    CHECK_FALSE(isRefused("b"));
    pass(Quarantine::firstTerm);
    crash({ "a", "b", "c" });
    LONGS_EQUAL(3, quarantine.crashes("a"));
    CHECK_FALSE(isRefused("b"));
    CHECK_FALSE(isRefused("c"));
}

TEST(Quarantine, ReportsOfOtherInstancesCountOnceHoweverOftenTheyCome)
{
    quarantine.recordCrashes("a", 1, now);
    quarantine.recordCrashes("a", 1, now);
    CHECK_FALSE(isRefused("a"));
    quarantine.recordCrashes("a", 2, now);
    CHECK(isRefused("a"));
    const Duration term = quarantine.refusedFor("a", now);
    pass(Milliseconds(500));
    quarantine.recordCrashes("a", 2, now);
    CHECK(quarantine.refusedFor("a", now) < term);
}

TEST_GROUP(PrefixRouter)
{
    std::shared_ptr<Configuration> byPrefix = std::make_shared<Configuration>();
    uint64_t drawn = 0;

    void setup() override
    {
        byPrefix->services["cards"] = { "cards", 0, true };
        byPrefix->services["print"] = { "print" };
        byPrefix->services["old"] = { "old" };
        byPrefix->teams["a"] = { "a", 1, 1, 0 };
        byPrefix->keys["ka"] = { "ka", "a", sha256Hex("key-a") };
        add("cards", "h.example", "/x/", "cards").keyHeader = "X-Key";
        RouteConfig& shared = add("print", "h.example", "/x/y/", "");
        shared.targets = { { "print", 90 }, { "old", 10 } };
        shared.priority = 2;
        add("other", "g.example", "/", "old").allowsAnonymous = true;
    }

    RouteConfig& add(const char* name, const char* host, const char* prefix, const char* service)
    {
        RouteConfig route;
        route.name = name;
        route.host = host;
        route.pathPrefix = prefix;
        route.service = service;
        byPrefix->routes.push_back(route);
        return byPrefix->routes.back();
    }

    RoutingResult route(const std::string& host, const std::string& target, const std::string& key = "7")
    {
        const Router router(byPrefix, "Token", [this] { return drawn++; });
        return router.route(
            { "GET", target, { { "Host", host }, { "Authorization", "Token key-a" }, { "X-Key", key } } });
    }
};

TEST(PrefixRouter, LongestPrefixForTheHostWins)
{
    STRCMP_EQUAL("cards", std::get<RoutedRequest>(route("h.example", "/x/1")).service.c_str());
    STRCMP_EQUAL("print", std::get<RoutedRequest>(route("H.Example:80", "/x/y/1?q=/z/")).routeName.c_str());
    STRCMP_EQUAL("old", std::get<RoutedRequest>(route("g.example", "/x/y/1")).service.c_str());
    CHECK(refusalOf(route("h.example", "/y/1")) == RefusalReason::NoRoute);
    CHECK(refusalOf(route("h.example", "/x")) == RefusalReason::NoRoute);
    CHECK(refusalOf(route("i.example", "/x/1")) == RefusalReason::NoRoute);
}

TEST(PrefixRouter, DistributesRequestsByTargetWeight)
{
    int old = 0;
    for (int i = 0; i < 1'000; ++i)
        old += std::get<RoutedRequest>(route("h.example", "/x/y/")).service == "old" ? 1 : 0;
    LONGS_EQUAL(100, old);
}

TEST(PrefixRouter, TeamPriorityOverridesRoutePriority)
{
    LONGS_EQUAL(0, std::get<RoutedRequest>(route("h.example", "/x/y/")).priority);
    byPrefix->teams["a"].priority = -1;
    LONGS_EQUAL(2, std::get<RoutedRequest>(route("h.example", "/x/y/")).priority);
}

TEST(PrefixRouter, RangePartitionedServicesAcceptOnlyValidKeyNumbers)
{
    LONGS_EQUAL(65'535, std::get<RoutedRequest>(route("h.example", "/x/", "65535")).partition);
    for (const char* key : { "65536", "-1", "x", "" })
        CHECK(refusalOf(route("h.example", "/x/", key)) == RefusalReason::BadRequest);
}

TEST_GROUP(RetryBudget) {};

// An instance that has just started does not know yet how many others share the budget, so its maximum starts
// too high and is lowered later.
TEST(RetryBudget, LoweringTheMaximumDropsExcessTokens)
{
    RetryBudget budget(0.1, 30);
    budget.setMaxTokens(2);
    int taken = 0;
    while (budget.tryAcquire())
        ++taken;
    LONGS_EQUAL(2, taken);
}

TEST_GROUP(ServerChoice) {};

TEST(ServerChoice, EjectsASlowServerAndReadmitsItAfterAGoodProbe)
{
    auto engine = std::make_shared<std::mt19937_64>(1);
    ServerChoice choice([engine] { return (*engine)(); });
    const std::vector<InstanceId> servers { { "a", "1" }, { "b", "1" }, { "slow", "1" } };
    TimePoint now { std::chrono::hours(1) };
    std::map<std::string, int> chosen;
    for (int i = 0; i < 1'000; ++i) {
        now += Milliseconds(1);
        const InstanceId server = *choice.choose(servers, {}, now);
        ++chosen[server.name];
        choice.began(server);
        choice.succeeded(server, server.name == "slow" ? Milliseconds(40) : Milliseconds(4), now);
    }
    CHECK(chosen["slow"] <= 3);
    CHECK(chosen["a"] > 300);
    CHECK_FALSE(choice.nextProbe(servers, now - Milliseconds(900)).has_value());
    const auto probe = choice.nextProbe(servers, now + std::chrono::seconds(2));
    CHECK(probe && probe->name == "slow");
    now += std::chrono::seconds(2);
    choice.began(*probe);
    choice.succeeded(*probe, Milliseconds(4), now);
    chosen.clear();
    for (int i = 0; i < 300; ++i) {
        now += std::chrono::seconds(2);
        ++chosen[choice.choose(servers, {}, now)->name];
    }
    CHECK(chosen["slow"] > 30);
}

TEST(ServerChoice, UsesAnEjectedServerIfThereIsNoOther)
{
    ServerChoice choice([] { return 0; });
    const TimePoint now { std::chrono::hours(1) };
    const InstanceId only { "only", "1" };
    for (int i = 0; i < 3; ++i) {
        choice.began(only);
        choice.failed(only, now);
    }
    CHECK(choice.choose({ only }, {}, now).has_value());
    CHECK_FALSE(choice.choose({ only }, { only }, now).has_value());
}

// With only two random candidates, the single near server of three would not be among them in four of nine
// cases.
TEST(ServerChoice, NearServerIsAlwaysACandidateAndIsAvoidedWhenBusy)
{
    auto engine = std::make_shared<std::mt19937_64>(1);
    ServerChoice choice([engine] { return (*engine)(); });
    const InstanceId near { "near", "1" };
    const std::vector<InstanceId> servers { near, { "far-a", "1" }, { "far-b", "1" } };
    choice.setDistance(servers[1], 1.5);
    choice.setDistance(servers[2], 1.5);
    const TimePoint now { std::chrono::hours(1) };
    for (int i = 0; i < 100; ++i)
        CHECK(*choice.choose(servers, {}, now) == near);
    choice.began(near);
    int elsewhere = 0;
    for (int i = 0; i < 100; ++i)
        elsewhere += *choice.choose(servers, {}, now) == near ? 0 : 1;
    CHECK(elsewhere > 50);
}

// With many instances, each sends a given server only occasional requests, so that its own latency samples
// are out of date.
TEST(ServerChoice, RemembersTheReportedUsualWork)
{
    std::mt19937_64 random(5);
    ServerChoice choice([&random] { return random(); });
    std::vector<InstanceId> servers;
    const TimePoint start { std::chrono::hours(1) };
    for (int i = 0; i < 12; ++i) {
        servers.push_back({ "s" + std::to_string(i), "1" });
        const bool isSlow = i % 3 == 0;
        choice.recordLoad(servers.back(), { 0, 8, 1, Milliseconds(isSlow ? 160 : 70) }, start);
    }
    const TimePoint later = start + std::chrono::seconds(30);
    int slow = 0;
    for (int i = 0; i < 1'000; ++i) {
        const auto chosen = choice.choose(servers, {}, later);
        slow += std::stoi(chosen->name.substr(1)) % 3 == 0 ? 1 : 0;
    }
    // A third of the servers are slow. Without the reported usual work, they would get a third of the
    // requests.
    CHECK(slow < 80);
    // A report without the usual work does not change it.
    choice.recordLoad(servers[0], { 0, 8, 1, Duration::zero() }, later);
    int again = 0;
    for (int i = 0; i < 200; ++i)
        again += choice.choose({ servers[0], servers[1] }, {}, later)->name == "s0" ? 1 : 0;
    CHECK(again < 60);
}
