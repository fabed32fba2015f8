// Complete sidecars in one process, against a stand-in store and stand-in servers on loopback: forwarding of
// requests, keys and their moves, leaving servers, callers that disconnect, planned stops.

#include "sidecar/sidecarfleet.h"
#include "standins/faultproxy.h"

#include <asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <thread>

using namespace persimmonfield;
using namespace persimmonfield::testing;

TEST_GROUP_BASE(Sidecar, testing::SidecarFleet) {};

TEST(Sidecar, ARequestReachesAServerBesideAnotherInstance)
{
    startInstances({ "gallery", "orders" });
    const CallResult result = call(0, orderRequest());
    LONGS_EQUAL(200, result.response.status);
    STRCMP_EQUAL("from server-i1", result.response.body.c_str());
    STRCMP_EQUAL("signed", result.response.header("Persimmonfield-Response-Signature")->c_str());
    const HttpRequest& run = serverOf(1).runs().front();
    STRCMP_EQUAL("order", run.body.text().c_str());
    STRCMP_EQUAL("gallery", run.header("Persimmonfield-Caller-Service")->c_str());
    STRCMP_EQUAL("team", run.header("Persimmonfield-Tenant")->c_str());
    CHECK(!run.header("Authorization"));
}

TEST(Sidecar, EachKeyIsHeldByOneServer)
{
    startInstances({ "gallery", "gallery" });
    for (int key = 0; key <= 65'535; key += 6'553) {
        LONGS_EQUAL(200, statusOf(key % 2, cardRequest(key)));
        CHECK(serverOf(0).holds(key) != serverOf(1).holds(key));
    }
    LONGS_EQUAL(400, statusOf(0, cardRequest(70'000)));
}

TEST(Sidecar, KeysOfALeavingServerMoveWithTheirHandover)
{
    startInstances({ "gallery", "gallery" });
    serverOf(0).setDraining();
    CHECK(runUntil([this] { return serverOf(1).holds(0) && serverOf(1).holds(65'535); }));
    CHECK(!serverOf(0).holds(0));
    const auto table = store->value(fleetKind, keyTableObjectName("gallery")).dump();
    CHECK(table.find("left-by-server-i0") != std::string::npos);
    LONGS_EQUAL(200, statusOf(0, cardRequest(0)));
}

// The next owner's server reports once while the current owner's server still holds the keys, and sends no
// further report.
TEST(Sidecar, MovedKeysAreGrantedWithTheReportThatCameBeforeTheirRelease)
{
    startInstances({ "gallery", "gallery" });
    serverOf(0).stopReports();
    serverOf(1).stopReports();
    CHECK(runUntil([this] { return serverOf(1).isReportAnswered(); }));
    serverOf(0).setDraining();
    serverOf(0).report();
    // The other instance knows of the move once it defers the answer to a report.
    for (int i = 0; i < 20 && serverOf(1).isReportAnswered(); ++i) {
        serverOf(1).report();
        runFor(Milliseconds(100));
    }
    CHECK(!serverOf(1).isReportAnswered());
    const int64_t reports = serverOf(1).reports();
    CHECK(runUntil([this] {
        if (serverOf(0).isReportAnswered())
            serverOf(0).report();
        return serverOf(1).holds(0) && serverOf(1).holds(65'535);
    }));
    LONGS_EQUAL(reports, serverOf(1).reports());
}

TEST(Sidecar, AGateThatLostAKeyNamesItsNewOwner)
{
    FaultProxy storeProxy(loop, proxiedStoreAddress, storeAddress);
    startInstances({ "gallery", "gallery", "orders" });
    for (const int key : { 0, 65'535 })
        LONGS_EQUAL(200, statusOf(2, cardRequest(key)));
    // The third instance cannot learn of the move from the store.
    storeProxy.setBlocked(true, true);
    serverOf(0).setDraining();
    CHECK(runUntil([this] { return serverOf(1).holds(0) && serverOf(1).holds(65'535); }));
    for (const int key : { 0, 65'535 })
        LONGS_EQUAL(200, statusOf(2, cardRequest(key)));
}

TEST(Sidecar, KeysStayServedWhileTheStoreIsAway)
{
    startInstances({ "gallery", "orders" });
    store->setDown(true);
    runFor(Milliseconds(1'500));
    LONGS_EQUAL(200, statusOf(1, cardRequest(1)));
    store->setDown(false);
    LONGS_EQUAL(200, statusOf(1, cardRequest(1)));
}

TEST(Sidecar, TheOutcomeOfAWriteWithALostAnswerIsDetermined)
{
    store->dropNextWriteResponses(3);
    startInstances({ "gallery", "orders" });
    LONGS_EQUAL(200, statusOf(1, cardRequest(1)));
}

// Another program has overwritten the leases with invalid objects. Each instance writes its own lease again
// and ignores the lease of the other one.
TEST(Sidecar, InvalidLeasesAreReplaced)
{
    startInstances({ "gallery", "gallery" });
    store->put(leaseKind, "i0", { { "sequence", "none" } });
    store->put(leaseKind, "i1", { { "sequence", "none" } });
    CHECK(runUntil([this] {
        return store->value(leaseKind, "i0").contains("incarnation")
            && store->value(leaseKind, "i1").contains("incarnation");
    }));
    // An invalid lease does not show whether another instance has marked it as lapsed. Therefore the ranges
    // were given up, and are granted again.
    for (const int key : { 0, 65'535 })
        CHECK(runUntil([this, key] { return statusOf(0, cardRequest(key)) == 200; }));
}

TEST(Sidecar, UnknownCallerKeysAndRoutesAreRefused)
{
    startInstances({ "orders" });
    HttpRequest request = orderRequest();
    request.headers[1].value = "Token other";
    LONGS_EQUAL(401, statusOf(0, request));
    request = orderRequest();
    request.target = "/nowhere/";
    LONGS_EQUAL(404, statusOf(0, request));
    LONGS_EQUAL(0, runsOfAll());
}

TEST(Sidecar, OlderConfigurationVersionsAreIgnored)
{
    startInstances({ "orders" });
    store->put("config", "main", configuration(3, false));
    CHECK(runUntil([this] { return statusOf(0, orderRequest()) == 404; }));
    store->put("config", "main", configuration(2));
    for (int i = 0; i < 5; ++i)
        LONGS_EQUAL(404, statusOf(0, orderRequest()));
}

// The instance's own watch has gone silent without a connection reset. Other instances notify it.
TEST(Sidecar, AnInstanceWhoseWatchesHangLearnsOfAConfigurationFromOthers)
{
    FaultProxy storeProxy(loop, proxiedStoreAddress, storeAddress);
    startInstances({ "orders", "orders", "orders" });
    // The first instance knows the third one once it has sent it a request.
    CHECK(runUntil([this] {
        LONGS_EQUAL(200, statusOf(0, orderRequest()));
        return !serverOf(2).runs().empty();
    }));
    storeProxy.blackholeConnections();
    store->put("config", "main", configuration(3, false));
    CHECK(runUntil([this] { return statusOf(2, orderRequest()) == 404; }));
}

TEST(Sidecar, AnEvacuatedZoneReceivesNoRequestsUntilItIsBack)
{
    startInstances({ "orders", "orders" });
    store->put("evacuations", "zone-1", nlohmann::json::object());
    CHECK(runUntil([this] {
        const size_t before = serverOf(1).runs().size();
        for (int i = 0; i < 10; ++i)
            LONGS_EQUAL(200, statusOf(1, orderRequest()));
        return serverOf(1).runs().size() == before;
    }));
    store->remove("evacuations", "zone-1");
    CHECK(runUntil([this] {
        const size_t before = serverOf(1).runs().size();
        LONGS_EQUAL(200, statusOf(1, orderRequest()));
        return serverOf(1).runs().size() > before;
    }));
}

TEST(Sidecar, KeyedRequestsToAnEvacuatedZoneStopWithinTheBoundThoughNobodyTakesItsKeys)
{
    startInstances({ "gallery", "orders" });
    store->put("evacuations", "zone-0", nlohmann::json::object());
    const TimePoint end = BootClock::now() + SidecarSettings().evacuationTime;
    size_t runsAtEnd = 0;
    while (BootClock::now() < end) {
        statusOf(1, cardRequest(1));
        runsAtEnd = serverOf(0).runs().size();
        runFor(Milliseconds(20));
    }
    for (const int index : { 0, 1 })
        LONGS_EQUAL(503, statusOf(index, cardRequest(1)));
    LONGS_EQUAL(runsAtEnd, serverOf(0).runs().size());
    store->remove("evacuations", "zone-0");
    CHECK(runUntil([this] { return statusOf(1, cardRequest(1)) == 200; }));
}

TEST(Sidecar, AnInstanceThatDoesNotKnowTheEvacuatedZonesYetServesNoRequests)
{
    store->withhold("evacuations");
    store->put("evacuations", "zone-0", nlohmann::json::object());
    startInstances({ "orders", "orders" });
    HttpClient readiness { loop, { instances[0]->settings.readinessAddress, longTime, longTime, false, {} } };
    std::optional<int> ready;
    readiness.call({ "GET", "/readyz", {}, {} }, longTime,
        [&ready](const CallResult& result) { ready = result.response.status; });
    CHECK(runUntil([&ready] { return ready.has_value(); }));
    LONGS_EQUAL(503, *ready);
    LONGS_EQUAL(503, statusOf(0, orderRequest()));
    LONGS_EQUAL(0, runsOfAll());
    store->withhold({});
    CHECK(runUntil([this] { return statusOf(0, orderRequest()) == 200; }));
    LONGS_EQUAL(0, serverOf(0).runs().size());
}

TEST(Sidecar, ARequestThatIsNotIdempotentIsNotRetriedAfterItsServerFailed)
{
    startInstances({ "orders", "orders" });
    serverOf(0).holdResponses(true);
    serverOf(1).holdResponses(true);
    std::optional<CallResult> result;
    instances[0]->caller.call(
        orderRequest(), longTime, [&result](CallResult ended) { result = std::move(ended); });
    CHECK(runUntil([this] { return runsOfAll() == 1; }));
    serverOf(0).stop();
    serverOf(1).stop();
    CHECK(runUntil([&result] { return result.has_value(); }));
    LONGS_EQUAL(502, result->response.status);
    LONGS_EQUAL(1, runsOfAll());
}

// Requests whose callers disconnect take both slots of the server. The next request is served only if the
// slots are freed.
TEST(Sidecar, ARequestIsCancelledAtTheServerWhenItsCallerDisconnects)
{
    startInstances({ "gallery", "orders" });
    serverOf(0).holdResponses(true);
    std::vector<HttpClient::CallId> calls;
    for (int i = 0; i < 2; ++i)
        calls.push_back(instances[1]->caller.call(cardRequest(1), longTime, [](const CallResult&) {}));
    CHECK(runUntil([this] { return runsOfAll() == 2; }));
    for (const auto id : calls)
        instances[1]->caller.cancel(id);
    serverOf(0).holdResponses(false);
    LONGS_EQUAL(200, statusOf(1, cardRequest(1)));
}

// The request and the end of its connection have both arrived before the event loop reads the connection.
TEST(Sidecar, ARequestWhoseCallerHasDisconnectedIsNotForwarded)
{
    startInstances({ "gallery", "orders" });
    for (const auto& instance : instances) {
        asio::ip::tcp::socket caller(loop);
        const Address& address = instance->settings.callerAddress;
        caller.connect({ asio::ip::make_address(address.host), static_cast<uint16_t>(address.port) });
        asio::write(caller, asio::buffer(encodeRequest(orderRequest()) + encodeRequest(orderRequest())));
    }
    for (const int index : { 0, 1 })
        LONGS_EQUAL(200, statusOf(index, orderRequest()));
    LONGS_EQUAL(2, runsOfAll());
}

TEST(Sidecar, APlannedStopCutsNoRequest)
{
    startInstances({ "orders", "orders" });
    serverOf(0).holdResponses(true);
    serverOf(1).holdResponses(true);
    std::optional<CallResult> result;
    instances[0]->caller.call(
        orderRequest(), longTime, [&result](CallResult ended) { result = std::move(ended); });
    CHECK(runUntil([this] { return runsOfAll() == 1; }));
    bool isStopped = false;
    instances[0]->sidecar->stop([&isStopped] { isStopped = true; });
    runFor(Milliseconds(200));
    serverOf(0).answerHeldRequests();
    serverOf(1).answerHeldRequests();
    CHECK(runUntil([&result] { return result.has_value(); }));
    LONGS_EQUAL(200, result->response.status);
    CHECK(runUntil([&isStopped] { return isStopped; }));
}

TEST(Sidecar, AStopAnswersARequestThatHasArrivedOnAKeepAliveConnection)
{
    startInstances({ "orders" });
    LONGS_EQUAL(200, statusOf(0, orderRequest()));
    std::optional<CallResult> result;
    instances[0]->caller.call(
        orderRequest(), longTime, [&result](CallResult ended) { result = std::move(ended); });
    instances[0]->sidecar->stop([] {});
    CHECK(runUntil([&result] { return result.has_value(); }));
    CHECK(result->outcome == CallOutcome::Answered);
    LONGS_EQUAL(1, instances[0]->caller.connectionsOpened());
    LONGS_EQUAL(200, result->response.status);
}

TEST(Sidecar, ARequestThatOutlastsAPlannedStopIsAnsweredWithAnError)
{
    startInstances({ "orders" });
    serverOf(0).holdResponses(true);
    std::optional<CallResult> result;
    instances[0]->caller.call(
        orderRequest(), longTime, [&result](CallResult ended) { result = std::move(ended); });
    CHECK(runUntil([this] { return runsOfAll() == 1; }));
    bool isStopped = false;
    instances[0]->sidecar->stop([&isStopped] { isStopped = true; });
    CHECK(runUntil([&isStopped] { return isStopped; }));
    instances[0]->sidecar.reset();
    CHECK(runUntil([&result] { return result.has_value(); }));
    CHECK(result->outcome == CallOutcome::Answered);
    LONGS_EQUAL(502, result->response.status);
    LONGS_EQUAL(1, runsOfAll());
}

TEST(Sidecar, ALateStopAcceptsOnlyTheCallsThatItsServerMakesForRunningRequests)
{
    startInstances({ "gallery", "orders" });
    serverOf(0).holdResponses(true);
    std::optional<CallResult> result;
    instances[0]->caller.call(
        cardRequest(1), longTime, [&result](CallResult ended) { result = std::move(ended); });
    CHECK(runUntil([this] { return runsOfAll() == 1; }));
    bool isStopped = false;
    instances[0]->sidecar->stop([&isStopped] { isStopped = true; });
    runFor(Milliseconds(2'400));
    HttpRequest callOfServer = orderRequest();
    callOfServer.target = "/calls/1";
    callOfServer.headers.erase(callOfServer.headers.begin() + 1);
    callOfServer.headers[2].value = "500";
    LONGS_EQUAL(200, statusOf(0, callOfServer));
    LONGS_EQUAL(503, statusOf(0, orderRequest()));
    LONGS_EQUAL(2, runsOfAll());
    serverOf(0).answerHeldRequests();
    CHECK(runUntil([&isStopped] { return isStopped; }));
    CHECK(result.has_value());
    LONGS_EQUAL(200, result->response.status);
}

TEST(Sidecar, ARequestThatCannotEndBeforeItsInstanceDoesIsRefused)
{
    startInstances({ "gallery", "orders" }, true);
    serverOf(0).setWorkTime(Milliseconds(600));
    LONGS_EQUAL(200, statusOf(1, albumRequest()));
    const auto statuses = statusesDuringStopOfFirst(Milliseconds(0), Milliseconds(500));
    LONGS_EQUAL(0, std::count(statuses.begin(), statuses.end(), 502));
    LONGS_EQUAL(200, statuses.front());
    LONGS_EQUAL(503, statuses.back());
}

TEST(Sidecar, AStoppingInstanceIsNotChosenByThoseThatCannotReadTheStore)
{
    FaultProxy storeProxy(loop, proxiedStoreAddress, storeAddress);
    startInstances({ "orders", "orders", "gallery" });
    CHECK(runUntil([this] {
        LONGS_EQUAL(200, statusOf(2, orderRequest()));
        return !serverOf(0).runs().empty();
    }));
    store->setDown(true);
    instances[0]->sidecar->stop([] {});
    runFor(Milliseconds(200));
    const size_t before = serverOf(0).runs().size();
    for (int i = 0; i < 20; ++i)
        LONGS_EQUAL(200, statusOf(2, orderRequest()));
    LONGS_EQUAL(before, serverOf(0).runs().size());
}

TEST(Sidecar, ARequestInTransitToAnInstanceThatEndsIsKnownNotToHaveRun)
{
    FaultProxy peerProxy(loop, proxiedPeerAddress, settingsOf(0, {}).peerAddress);
    peerProxy.setDelay(Milliseconds(30));
    reachFirstThrough(proxiedPeerAddress);
    startInstances({ "gallery", "orders" }, true);
    LONGS_EQUAL(200, statusOf(1, albumRequest()));
    const size_t before = serverOf(0).runs().size();
    const auto statuses = statusesDuringStopOfFirst(Milliseconds(2'000), Milliseconds(5));
    LONGS_EQUAL(0, std::count(statuses.begin(), statuses.end(), 502));
    const auto answered = std::count(statuses.begin(), statuses.end(), 200);
    LONGS_EQUAL(serverOf(0).runs().size() - before, answered);
    LONGS_EQUAL(statuses.size() - answered, std::count(statuses.begin(), statuses.end(), 503));
}

TEST(Sidecar, AStopCompletesThoughALinkIsSilent)
{
    FaultProxy peerProxy(loop, proxiedPeerAddress, settingsOf(0, {}).peerAddress);
    reachFirstThrough(proxiedPeerAddress);
    startInstances({ "gallery", "orders" });
    LONGS_EQUAL(200, statusOf(1, albumRequest()));
    peerProxy.blackholeConnections();
    bool isStopped = false;
    instances[0]->sidecar->stop([&isStopped] { isStopped = true; });
    CHECK(runUntil([&isStopped] { return isStopped; }));
}

TEST(Sidecar, ARequestThatRunsWhenItsInstanceEndsIsNotReportedAsNotRun)
{
    startInstances({ "gallery", "orders" }, true);
    serverOf(0).holdResponses(true);
    std::optional<CallResult> result;
    instances[1]->caller.call(
        albumRequest(), longTime, [&result](CallResult ended) { result = std::move(ended); });
    CHECK(runUntil([this] { return runsOfAll() == 1; }));
    bool isStopped = false;
    instances[0]->sidecar->stop([&isStopped] { isStopped = true; });
    CHECK(runUntil([&isStopped] { return isStopped; }));
    instances[0]->endProcess();
    CHECK(runUntil([&result] { return result.has_value(); }));
    LONGS_EQUAL(502, result->response.status);
}

// The event loop is late: the report has already arrived when the server's silence timer expires.
TEST(Sidecar, AnArrivedReportKeepsItsServerFromCountingAsSilent)
{
    startInstances({ "orders" });
    serverOf(0).stopReports();
    CHECK(runUntil([this] { return serverOf(0).isReportAnswered(); }));
    serverOf(0).holdResponses(true);
    std::optional<CallResult> result;
    instances[0]->caller.call(
        orderRequest(), longTime, [&result](CallResult ended) { result = std::move(ended); });
    CHECK(runUntil([this] { return runsOfAll() == 1; }));
    serverOf(0).report();
    std::this_thread::sleep_for(instances[0]->settings.reportInterval * 4);
    CHECK(runUntil([this] { return serverOf(0).isReportAnswered(); }));
    runFor(Milliseconds(50));
    serverOf(0).answerHeldRequests();
    CHECK(runUntil([&result] { return result.has_value(); }));
    LONGS_EQUAL(200, result->response.status);
}

TEST(Sidecar, OddEntriesOfOtherWritersDoNotKeepInstancesFromServing)
{
    store->put(fleetKind, "secret", { { "secret", 17 } });
    store->put(fleetKind, "instance.odd", 17);
    store->put(fleetKind, "instance.far",
        { { "name", "far" }, { "incarnation", "a" }, { "zone", "z" }, { "service", "orders" },
            { "peerAddress", "127.0.0.1:99999/path" }, { "departing", false },
            { "server",
                { { "id", "s" }, { "startedMs", 1 }, { "slots", 1e300 }, { "readiness", "ready" } } } });
    store->put(fleetKind, "keys.gallery", { { "ranges", "none" } });
    instances.push_back(std::make_unique<Instance>(loop, settingsOf(0, "orders")));
    CHECK(runUntil([this] { return !store->value(fleetKind, "instance.odd").is_null(); }));
    runFor(Milliseconds(500));
    store->put(fleetKind, "secret", { { "secret", "of the links" } });
    CHECK(runUntil([this] { return isServing(); }));
    for (int i = 0; i < 10; ++i)
        LONGS_EQUAL(200, statusOf(0, orderRequest()));
}
