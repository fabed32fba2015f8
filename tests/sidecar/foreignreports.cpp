// Status reports of another writer at the address that the server next to an instance reports to. They name
// no server to use, and the server that is known stays in use.

#include "sidecarfleet.h"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace persimmonfield;
using namespace persimmonfield::testing;

namespace {

constexpr int64_t laterStart = Instance::firstServerStart + 1;

struct ForeignReports : public SidecarFleet {
    std::unique_ptr<HttpClient> writer;
    std::optional<CallResult> heldCall;

    // Starts instances of which the first one's server works on a request until endHeldCall().
    void start(const std::vector<std::string>& services, const HttpRequest& request)
    {
        startInstances(services);
        writer = std::make_unique<HttpClient>(loop,
            HttpClientOptions {
                instances[0]->settings.reportAddress, Milliseconds(1'000), longTime, false, {} });
        serverOf(0).holdResponses(true);
        instances[0]->caller.call(
            request, longTime, [this](CallResult result) { heldCall = std::move(result); });
        CHECK(runUntil([this] { return serverOf(0).runs().size() == 1; }));
    }

    void checkHeldCallIsAnswered()
    {
        CHECK(!heldCall);
        serverOf(0).answerHeldRequests();
        CHECK(runUntil([this] { return heldCall.has_value(); }));
        LONGS_EQUAL(200, heldCall->response.status);
        serverOf(0).holdResponses(false);
    }

    // A report as a server that started later than the one in use would send it.
    nlohmann::json soundReport() const
    {
        const SidecarSettings& settings = instances[0]->settings;
        return { { "service", settings.service }, { "address", settings.serverAddress.text() },
            { "zone", settings.zone }, { "version", "v1" }, { "slots", 2 }, { "state", "ready" },
            { "warmupLeft", "0ms" }, { "sequence", 1'000 }, { "born", laterStart },
            { "holds", nlohmann::json::array() }, { "released", nlohmann::json::array() } };
    }

    int statusOfReport(const std::string& id, const std::string& body)
    {
        std::optional<CallResult> result;
        writer->call({ "PUT", "/instances/" + id, {}, body }, longTime,
            [&result](CallResult ended) { result = std::move(ended); });
        CHECK(runUntil([&result] { return result.has_value(); }));
        return result->outcome == CallOutcome::Answered ? result->response.status : 0;
    }

    void checkIsRefused(const std::string& body, const std::string& form)
    {
        for (const std::string& id : { std::string("stranger"), serverOf(0).id() }) {
            CHECK_EQUAL_TEXT(400, statusOfReport(id, body), (form + " of " + id).c_str());
            CHECK_TEXT(!heldCall, (form + " of " + id).c_str());
        }
    }

    nlohmann::json serverEntry() const
    {
        return store->value(fleetKind, instanceObjectName("i0")).at("server");
    }

    void checkServerIsStillUsed()
    {
        runFor(Milliseconds(300));
        STRCMP_EQUAL(serverOf(0).id().c_str(), serverEntry().value("id", "").c_str());
        STRCMP_EQUAL("ready", serverEntry().value("readiness", "").c_str());
        checkHeldCallIsAnswered();
    }
};

}

TEST_GROUP_BASE(ForeignReports, ForeignReports) {};

// review/6: a report without an address ended the requests at the real server, whose reports were stale then.
TEST(ForeignReports, AReportWithoutAFieldChangesNothing)
{
    start({ "orders" }, orderRequest());
    for (const char* field :
        { "service", "address", "zone", "version", "slots", "state", "warmupLeft", "sequence", "born" }) {
        nlohmann::json report = soundReport();
        report.erase(field);
        checkIsRefused(report.dump(), std::string("without ") + field);
    }
    checkServerIsStillUsed();
    LONGS_EQUAL(200, statusOf(0, orderRequest()));
    LONGS_EQUAL(2, serverOf(0).runs().size());
}

TEST(ForeignReports, AReportWithAFieldOfAnotherTypeChangesNothing)
{
    start({ "orders" }, orderRequest());
    const nlohmann::json sound = soundReport();
    for (const auto& [field, value] : sound.items()) {
        for (const nlohmann::json& other : { nlohmann::json(), nlohmann::json(true), nlohmann::json(1.5),
                 nlohmann::json(-1), nlohmann::json::object(), nlohmann::json({ 1 }) }) {
            nlohmann::json report = sound;
            report[field] = other;
            checkIsRefused(report.dump(), field + " " + other.dump());
        }
        if (value.is_string())
            continue;
        nlohmann::json report = sound;
        report[field] = value.dump();
        checkIsRefused(report.dump(), field + " as a text");
    }
    checkServerIsStillUsed();
}

TEST(ForeignReports, AReportWithAValueThatIsNotPossibleChangesNothing)
{
    start({ "orders" }, orderRequest());
    const int64_t tomorrow = (wallClockNow() + std::chrono::hours(24)).count();
    const std::vector<std::pair<std::string, nlohmann::json>> values { { "service", "gallery" },
        { "service", "" }, { "address", "" }, { "address", "127.0.0.1" }, { "address", "127.0.0.1:1" },
        { "address", "10.0.0.1:" + std::to_string(instances[0]->settings.serverAddress.port) },
        { "zone", "" }, { "zone", "another" }, { "slots", 0 }, { "slots", 1'000'001 },
        { "slots", 4'294'967'298 }, { "state", "" }, { "state", "Ready" }, { "state", "stopped" },
        { "warmupLeft", "" }, { "warmupLeft", "0" }, { "warmupLeft", "-1ms" }, { "warmupLeft", "1e300s" },
        { "sequence", std::numeric_limits<uint64_t>::max() }, { "born", 0 }, { "born", tomorrow },
        { "born", std::numeric_limits<int64_t>::max() }, { "born", std::numeric_limits<uint64_t>::max() } };
    for (const auto& [field, value] : values) {
        nlohmann::json report = soundReport();
        report[field] = value;
        checkIsRefused(report.dump(), field + " " + value.dump());
    }
    for (const std::string& body : { std::string(), std::string("{"), std::string("[]"), std::string("null"),
             soundReport().dump().substr(0, 40), soundReport().dump() + "}", std::string("\xff\xfe") })
        checkIsRefused(body, body);
    checkServerIsStillUsed();
}

// The id would become part of the entry in the store, which cannot hold such bytes.
TEST(ForeignReports, AReportOrADepartureWithAnInvalidIdChangesNothing)
{
    start({ "orders" }, orderRequest());
    for (const std::string& id : { std::string(), std::string("\xff"), std::string("a/b"),
             std::string("a%2f"), std::string("a?b"), std::string(300, 'a') }) {
        CHECK_EQUAL_TEXT(400, statusOfReport(id, soundReport().dump()), id.c_str());
        std::optional<CallResult> result;
        writer->call({ "DELETE", "/instances/" + id, {}, {} }, longTime,
            [&result](CallResult ended) { result = std::move(ended); });
        CHECK(runUntil([&result] { return result.has_value(); }));
        CHECK_EQUAL_TEXT(400, result->response.status, id.c_str());
    }
    checkServerIsStillUsed();
}

// review/7: a report without keys let keys go at once that the real server still held.
TEST(ForeignReports, AReportWithoutKeysChangesNothingIfTheServiceIsDividedByKey)
{
    start({ "gallery" }, albumRequest());
    for (const char* field : { "holds", "released" }) {
        nlohmann::json report = soundReport();
        report.erase(field);
        checkIsRefused(report.dump(), std::string("without ") + field);
    }
    for (const char* rows : { "17", "null", "{}", R"({"a":[0,1,2]})", "[[0,1]]", "[[1,0,2]]", "[[-1,0,2]]",
             "[[0,65536,2]]", "[[0,1,-2]]", R"([["0",1,2]])", R"([{"a":0,"b":1,"c":2}])" }) {
        nlohmann::json report = soundReport();
        report["holds"] = nlohmann::json::parse(rows);
        checkIsRefused(report.dump(), rows);
    }
    checkServerIsStillUsed();
    CHECK(serverOf(0).holds(0));
    LONGS_EQUAL(200, statusOf(0, albumRequest()));
}

// The forms above are refused for their fault, not because of what they share.
TEST(ForeignReports, ASoundReportOfALaterStartIsUsed)
{
    startInstances({ "orders" });
    serverOf(0).stopReports();
    writer = std::make_unique<HttpClient>(loop,
        HttpClientOptions { instances[0]->settings.reportAddress, Milliseconds(1'000), longTime, false, {} });
    LONGS_EQUAL(200, statusOfReport("successor", soundReport().dump()));
    CHECK(runUntil([this] { return serverEntry().value("id", "") == "successor"; }));
}
