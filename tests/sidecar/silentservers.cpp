// Requests at which a server works while it no longer reports: it has left, it cannot reach its instance, or
// its successor has started.

#include "sidecarfleet.h"

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;
using namespace persimmonfield::testing;

namespace {

constexpr int64_t laterStart = 1'000;

struct FleetWithHeldRequest : public SidecarFleet {
    std::optional<CallResult> result;

    // Starts a request and returns once the first server, which holds its answer back, works on it.
    void holdRequest(const std::vector<std::string>& services)
    {
        startInstances(services);
        serverOf(0).holdResponses(true);
        instances.back()->caller.call(
            albumRequest(), longTime, [this](CallResult ended) { result = std::move(ended); });
        CHECK(runUntil([this] { return serverOf(0).runs().size() == 1; }));
    }

    std::string readinessOfFirst() const
    {
        const auto entry = store->value(fleetKind, instanceObjectName("i0"));
        return entry.contains("server") ? entry.at("server").value("readiness", "") : "";
    }

    void awaitReadinessOfFirst(const std::string& readiness)
    {
        CHECK(runUntil([&] { return readinessOfFirst() == readiness; }));
    }

    // The first server answers now. Its answer must reach the caller.
    void checkAnswerArrives()
    {
        CHECK(!result);
        serverOf(0).answerHeldRequests();
        CHECK(runUntil([this] { return result.has_value(); }));
        LONGS_EQUAL(200, result->response.status);
    }

    // Reports as the next incarnation of the first server, which still runs.
    std::unique_ptr<StandInServer> startSuccessor()
    {
        const SidecarSettings& settings = instances[0]->settings;
        StandInServerOptions options = serverOptionsOf(settings, "successor", laterStart);
        options.reportedAddress = settings.serverAddress;
        options.address.port += 1;
        return std::make_unique<StandInServer>(loop, options);
    }
};

}

TEST_GROUP_BASE(SilentServers, FleetWithHeldRequest) {};

// A server that leaves reports no more and continues to serve; its silence must not cut the requests at which
// it works.
TEST(SilentServers, ARequestIsAnsweredThoughItsServerHasLeft)
{
    holdRequest({ "gallery", "orders" });
    serverOf(0).leave();
    serverOf(0).stopReports();
    awaitReadinessOfFirst("absent");
    checkAnswerArrives();
}

// The same for a server whose reports are lost, and when they arrive again.
TEST(SilentServers, ARequestIsAnsweredThoughTheReportsOfItsServerWereInterrupted)
{
    holdRequest({ "gallery", "orders" });
    serverOf(0).stopReports();
    awaitReadinessOfFirst("absent");
    serverOf(0).report();
    awaitReadinessOfFirst("ready");
    checkAnswerArrives();
}

// A server that has announced its exit may work on while its successor reports.
TEST(SilentServers, ARequestAtALeavingServerIsAnsweredThoughItsSuccessorReports)
{
    holdRequest({ "gallery", "orders" });
    serverOf(0).leave();
    serverOf(0).stopReports();
    awaitReadinessOfFirst("draining");
    const auto successor = startSuccessor();
    awaitReadinessOfFirst("ready");
    checkAnswerArrives();
}

// A server that is followed by its next incarnation without having left has crashed: its requests are lost.
TEST(SilentServers, ARequestAtACrashedServerEndsWhenItsSuccessorReports)
{
    holdRequest({ "gallery", "orders" });
    serverOf(0).stopReports();
    const auto successor = startSuccessor();
    CHECK(runUntil([this] { return result.has_value(); }));
    LONGS_EQUAL(502, result->response.status);
}

// The same if its silence was noticed first, and its requests are known to have been there when it crashed.
TEST(SilentServers, ACrashIsKnownThoughTheServerWasSilentBefore)
{
    holdRequest({ "gallery", "orders" });
    serverOf(0).stopReports();
    awaitReadinessOfFirst("absent");
    CHECK(!result);
    const auto successor = startSuccessor();
    CHECK(runUntil([this] { return result.has_value(); }));
    LONGS_EQUAL(502, result->response.status);
    LONGS_EQUAL(1, instances[0]->sidecar->counters().counter("server_crashes_total"));
}
