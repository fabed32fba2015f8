// The platform adapter: decodes the platform's messages into types of the sidecar, and encodes responses and
// requests in the platform's formats.

#include "configurationwire.h"
#include "duration.h"
#include "platformsettings.h"
#include "reportwire.h"
#include "requestwire.h"
#include "storewire.h"

#include "base/hashing.h"

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;

namespace {

const char* const settingsText = R"([instance]
name = side-1
zone = a
service = gallery
caller-address = 10.1.0.26:8548
report-address = 10.1.0.26:8540
readiness-address = 10.1.0.26:8546
host = 10.1.0.26
internal-ports = 7000,7015
server-address = 10.1.0.26:8547
store-address = 10.200.1.7:8545
report-interval = 870ms

[bounds]
drain = 2000ms
evacuation = 4s
grace = 6s
retryBudgetRatio = 0.2
somethingNew = 1
)";

HttpRequest put(const std::string& body)
{
    return { "PUT", "/instances/i-1", {}, body };
}

}

TEST_GROUP(Duration) {};

TEST(Duration, RequiresAUnit)
{
    LONGS_EQUAL(1'500, platform::parseDuration("1500ms")->count());
    LONGS_EQUAL(2'500, platform::parseDuration("2.5s")->count());
    for (const char* text : { "", "5", "ms", "1m", "nans", "1 h" })
        CHECK(!platform::parseDuration(text).has_value());
}

TEST_GROUP(PlatformSettings) {};

TEST(PlatformSettings, AreReadFromAGeneratedFile)
{
    const auto read = platform::readSettings({ "node.conf", settingsText });
    CHECK(read.errors.empty());
    STRCMP_EQUAL("side-1", read.settings.name.c_str());
    LONGS_EQUAL(870, read.settings.reportInterval.count());
    STRCMP_EQUAL("10.1.0.26:7000", read.settings.peerAddress.text().c_str());
    LONGS_EQUAL(4'000, read.settings.evacuationTime.count());
    LONGS_EQUAL(6'000, read.settings.stopTime.count());
}

TEST(PlatformSettings, ErrorsContainFileLineAndCause)
{
    std::string text = settingsText;
    text.replace(text.find("870ms"), 5, "often");
    const auto read = platform::readSettings({ "node.conf", text });
    LONGS_EQUAL(1, read.errors.size());
    STRCMP_EQUAL("node.conf", read.errors.front().file.c_str());
    LONGS_EQUAL(12, read.errors.front().line);
    CHECK(read.errors.front().cause.find("report-interval") != std::string::npos);
}

TEST(PlatformSettings, MissingSettingsAreReportedByName)
{
    std::string text = settingsText;
    text.erase(text.find("name = side-1\n"), std::string("name = side-1\n").size());
    const auto read = platform::readSettings({ "node.conf", text });
    LONGS_EQUAL(1, read.errors.size());
    CHECK(read.errors.front().cause.find("instance.name") != std::string::npos);
}

TEST(PlatformSettings, TheLimitsOfTheMachineMayBeLeftOut)
{
    const auto readWith = [](const std::string& machine) {
        return platform::readSettings({ "node.conf", std::string(settingsText) + "[machine]\n" + machine });
    };
    const SidecarSettings defaults;
    const auto given = readWith("memory = 260\ndescriptors = 4100\n");
    CHECK(given.errors.empty());
    DOUBLES_EQUAL(260, given.settings.memoryMb, 0);
    LONGS_EQUAL(4'100, given.settings.descriptors);
    const auto empty = readWith("memory =\ndescriptors =\n");
    CHECK(empty.errors.empty());
    DOUBLES_EQUAL(defaults.memoryMb, empty.settings.memoryMb, 0);
    LONGS_EQUAL(defaults.descriptors, empty.settings.descriptors);
    LONGS_EQUAL(2, readWith("memory = 0\ndescriptors = many\n").errors.size());
}

TEST_GROUP(RequestWire)
{
    ProtocolAdapter protocol;

    void setup() override
    {
        platform::setRequestFunctions(protocol);
    }
};

TEST(RequestWire, StatusTellsWhetherTheRequestMayHaveRun)
{
    Reply mayHaveRun = unknownOutcome(RefusalReason::LinkLost);
    LONGS_EQUAL(502, protocol.writeReply(mayHaveRun, "id").status);
    mayHaveRun.reason = RefusalReason::DeadlinePassed;
    LONGS_EQUAL(504, protocol.writeReply(mayHaveRun, "id").status);
    Reply busy = notRun(RefusalReason::QueueFull);
    busy.retryAfter = Milliseconds(250);
    const HttpResponse response = protocol.writeReply(busy, "id");
    LONGS_EQUAL(503, response.status);
    STRCMP_EQUAL("0.250", response.header("Retry-After")->c_str());
    LONGS_EQUAL(429, protocol.writeReply(notRun(RefusalReason::RateExceeded), "id").status);
    LONGS_EQUAL(401, protocol.writeReply(notRun(RefusalReason::UnknownKey), "id").status);
    LONGS_EQUAL(404, protocol.writeReply(notRun(RefusalReason::NoRoute), "id").status);
}

TEST(RequestWire, ServerRequestNamesTheCallerAndTheExpectedServer)
{
    peer::ForwardedRequest request {};
    request.requestId = "id";
    request.method = "GET";
    request.target = "/x";
    request.team = "team";
    request.callerService = "orders";
    request.partition = 7;
    request.key = "7";
    const HttpRequest sent = protocol.makeServerRequest(request, {}, { "i-1", 5 }, Milliseconds(900));
    STRCMP_EQUAL("id", sent.header("Persimmonfield-Request-Id")->c_str());
    STRCMP_EQUAL("900", sent.header("Persimmonfield-Deadline-Ms")->c_str());
    STRCMP_EQUAL("i-1", sent.header("Persimmonfield-Expect-Instance")->c_str());
    STRCMP_EQUAL("team", sent.header("Persimmonfield-Tenant")->c_str());
    STRCMP_EQUAL("orders", sent.header("Persimmonfield-Caller-Service")->c_str());
    STRCMP_EQUAL("7", sent.header("Persimmonfield-Shard-Key")->c_str());
}

TEST(RequestWire, OnlyAnExplicitStatementMarksAResponseAsNotRun)
{
    CHECK(protocol.readServerResponse({ 503, { { "Persimmonfield-Not-Executed", "1" } }, {} }).isNotRun);
    CHECK(protocol.readServerResponse({ 421, {}, {} }).isNotRun);
    CHECK(!protocol.readServerResponse({ 503, {}, {} }).isNotRun);
    const auto info
        = protocol.readServerResponse({ 200, { { "Persimmonfield-Server-Load", "3,1,12,140" } }, {} });
    LONGS_EQUAL(140, info.load->pacePercent);
    CHECK(!protocol.readServerResponse({ 200, { { "Persimmonfield-Server-Load", "x" } }, {} })
               .load.has_value());
}

TEST(RequestWire, RefusalWithoutARequestIdDoesNotMatchARequestWithOne)
{
    const auto isAnswer = [this](const HeaderFields& requestHeaders, HeaderFields responseHeaders) {
        responseHeaders.push_back({ "Persimmonfield-Not-Executed", "1" });
        return protocol.isAnswerTo({ "GET", "/", requestHeaders, {} }, { 503, responseHeaders, {} });
    };
    const HeaderFields idA { { "Persimmonfield-Request-Id", "a" } };
    const HeaderFields idB { { "Persimmonfield-Request-Id", "b" } };
    CHECK(isAnswer(idA, idA));
    CHECK(!isAnswer(idA, idB));
    CHECK(!isAnswer(idA, {}));
    CHECK(!isAnswer({}, idA));
    CHECK(isAnswer({ { "Persimmonfield-Request-Id", "" } }, {}));
}

TEST(RequestWire, AnInvalidDeadlineIsAnError)
{
    HttpRequest request;
    request.headers = { { "Persimmonfield-Deadline-Ms", "soon" } };
    CHECK(!protocol.readCaller(request).ok());
}

TEST_GROUP(ReportWire)
{
    ProtocolAdapter protocol;

    void setup() override
    {
        platform::setReportFunctions(protocol);
    }
};

TEST(ReportWire, AllFieldsOfAReportAreRead)
{
    const auto message = protocol.readReport(put(
        R"({"service":"s","address":"1.2.3.4:5","zone":"a","version":"v1","slots":9,"state":"draining","warmupLeft":"1.5s","sequence":4,"born":17,"holds":[[0,4095,7]],"released":[[4096,8191,"5c0e"]]})"));
    CHECK(message.ok());
    const auto& report = std::get<ServerReport>(*message);
    STRCMP_EQUAL("i-1", report.incarnation.id.c_str());
    LONGS_EQUAL(17, report.incarnation.startedMs);
    CHECK(report.isDraining);
    LONGS_EQUAL(1'500, report.coldFor.count());
    LONGS_EQUAL(7, report.holds.front().fence);
    STRCMP_EQUAL("5c0e", report.released.front().handover.c_str());
}

TEST(ReportWire, MalformedReportsAreRejected)
{
    for (const char* body : { "", "no json", "[]", "{}", R"({"service":1})" })
        CHECK(!protocol.readReport(put(body)).ok());
    const auto sound = nlohmann::json::parse(
        R"({"service":"s","address":"1.2.3.4:5","zone":"a","version":"v1","slots":9,"state":"ready","warmupLeft":"0ms","sequence":1,"born":17})");
    CHECK(protocol.readReport(put(sound.dump())).ok());
    for (const char* fault : { R"({"state":"asleep"})", R"({"slots":0})", R"({"sequence":1.5})",
             R"({"holds":[[1,2]]})", R"({"warmupLeft":"x"})", R"({"warmupLeft":"-1ms"})",
             R"({"warmupLeft":"1e300s"})", R"({"born":0})", R"({"slots":4294967305})" }) {
        nlohmann::json report = sound;
        report.update(nlohmann::json::parse(fault));
        CHECK_TEXT(!protocol.readReport(put(report.dump())).ok(), fault);
    }
    for (const auto& [field, value] : sound.items()) {
        nlohmann::json report = sound;
        report.erase(field);
        CHECK_TEXT(!protocol.readReport(put(report.dump())).ok(), field.c_str());
    }
    CHECK(!protocol.readReport({ "PUT", "/instances/", {}, "{}" }).ok());
    CHECK(std::holds_alternative<ServerLeave>(*protocol.readReport({ "DELETE", "/instances/i-1", {}, {} })));
}

// Only an answer of the expected server that says how it is proves that the server is warm.
TEST(ReportWire, AHealthAnswerTellsHowLongItsServerStaysCold)
{
    const auto coldFor = [this](int status, const HeaderFields& headers) {
        return protocol.readHealth({ status, headers, {} }, { "i-1", 17 });
    };
    LONGS_EQUAL(1'200,
        coldFor(200, { { "Persimmonfield-Instance-Id", "i-1" }, { "Persimmonfield-Warmup-Ms", "1200" } })
            ->count());
    LONGS_EQUAL(900, coldFor(503, { { "Persimmonfield-Warmup-Ms", "900" } })->count());
    LONGS_EQUAL(0, coldFor(200, { { "Persimmonfield-Instance-Id", "i-1" } })->count());
    CHECK(!coldFor(200, { { "Persimmonfield-Instance-Id", "i-2" } }));
    CHECK(!coldFor(503, { { "Persimmonfield-Not-Executed", "1" } }));
    CHECK(!coldFor(200, { { "Persimmonfield-Warmup-Ms", "soon" } }));
    CHECK(!coldFor(200, { { "Persimmonfield-Warmup-Ms", "-1" } }));
}

TEST(ReportWire, AnAnswerThatRenewsNoGrantsContainsNoHolds)
{
    ServerReportAnswer answer;
    STRCMP_EQUAL("{}", protocol.writeReportAnswer(answer).body.c_str());
    answer.keys = KeyAnswer { { { 0, 9, 3, "h" } }, Milliseconds(2'610) };
    STRCMP_EQUAL(
        R"({"hold_time":"2610ms","holds":[[0,9,3,"h"]]})", protocol.writeReportAnswer(answer).body.c_str());
    answer.outcome = ReportOutcome::Refused;
    LONGS_EQUAL(400, protocol.writeReportAnswer(answer).status);
    answer.outcome = ReportOutcome::NotRecorded;
    LONGS_EQUAL(503, protocol.writeReportAnswer(answer).status);
}

TEST_GROUP(StoreWire)
{
    const StoreDialect dialect = platform::storeDialect();
};

TEST(StoreWire, WritesCreateOrConditionallyReplace)
{
    const HttpRequest create = dialect.write({ "kind", "n", { { "a", 1 } }, 0 });
    STRCMP_EQUAL("POST", create.method.c_str());
    STRCMP_EQUAL("/objects/kind", create.target.c_str());
    const HttpRequest replace = dialect.write({ "kind", "n", { { "a", 1 } }, 12 });
    STRCMP_EQUAL("/objects/kind/n", replace.target.c_str());
    CHECK(replace.body.text().find("\"revision\":12") != std::string::npos);
}

TEST(StoreWire, PagesAndEventsAreDecoded)
{
    const auto page = dialect.readPage("kind",
        R"({"items":[{"metadata":{"name":"n","revision":3},"spec":{"a":1},"status":null}],"hasMore":true,"atRev":9})");
    CHECK(page->hasMore);
    LONGS_EQUAL(9, page->revision);
    LONGS_EQUAL(3, page->objects.front().revision);
    const auto events = dialect.readEvents("kind",
        R"({"events":[{"object":{"metadata":{"name":"n","revision":4},"spec":1},"deleted":true}],"atRev":10})");
    CHECK(events->objects.front().isDeleted);
    CHECK(!dialect.readPage("kind", "no json").ok());
    CHECK(!dialect.readObject("kind", "{}").ok());
}

// A page of events holds each object once, as it is after the last of them.
TEST(StoreWire, OfSeveralEventsOfAnObjectTheNewestIsRead)
{
    const auto event = [](const char* name, int revision, bool isDeleted) {
        return nlohmann::json {
            { "object",
                { { "metadata", { { "name", name }, { "revision", revision } } }, { "spec", revision } } },
            { "deleted", isDeleted }
        };
    };
    const nlohmann::json body { { "atRev", 9 },
        { "events",
            { event("a", 1, false), event("b", 2, false), event("a", 4, false), event("a", 3, false),
                event("b", 5, true), event("c", 6, true), event("c", 7, false) } } };
    const auto page = platform::storeDialect().readEvents("kind", body.dump());
    CHECK(page.ok());
    LONGS_EQUAL(3, page->objects.size());
    LONGS_EQUAL(4, page->objects[0].value.get<int>());
    LONGS_EQUAL(4, page->objects[0].revision);
    CHECK(page->objects[1].isDeleted);
    LONGS_EQUAL(7, page->objects[2].value.get<int>());
    CHECK_FALSE(page->objects[2].isDeleted);
}

TEST_GROUP(ConfigurationWire)
{
    ProtocolAdapter protocol;

    void setup() override
    {
        platform::setConfigurationFunctions(protocol);
    }
};

TEST(ConfigurationWire, ReadsAConfigurationObject)
{
    const auto value = nlohmann::json::parse(
        R"({"version":"r7","limits":{"maxHeaderBytes":100,"idleTimeout":"15000ms"},"tenants":[{"name":"t","apiKeys":["k"],"priority":1,"ratePerS":128,"burst":64}],"listeners":[{"host":"h.example","routingRules":[{"name":"r","type":"idempotent","targetLatency":"300ms","priority":2,"match":{"pathPrefix":"/p/"},"action":{"weightedTargets":[{"service":"s","weight":90},{"service":"u","weight":10}],"timeout":"1200ms","maxAttempts":2}}]}],"clusters":[{"name":"s","sharded":true,"warmupPerS":23.0,"healthPath":"/healthz","learnConcurrency":true},{"name":"u"}]})");
    const auto read = protocol.readConfiguration(value);
    CHECK(read.ok());
    LONGS_EQUAL(7, read->version);
    LONGS_EQUAL(100, read->headerBytes);
    const RouteConfig& route = read->configuration->routes.front();
    LONGS_EQUAL(2, route.targets.size());
    LONGS_EQUAL(1'200, route.timeout.count());
    CHECK(route.isIdempotent() && !route.allowsAnonymous);
    CHECK(read->configuration->services.at("s").isRangeKeyed);
    DOUBLES_EQUAL(23, read->configuration->services.at("s").coldRate, 0);
    STRCMP_EQUAL("/healthz", read->configuration->services.at("s").healthPath.c_str());
    CHECK(read->configuration->services.at("u").healthPath.empty());
    CHECK(read->configuration->services.at("s").learnsConcurrency);
    CHECK_FALSE(read->configuration->services.at("u").learnsConcurrency);
    STRCMP_EQUAL("t", read->configuration->keys.at(sha256Hex("k")).team.c_str());
}

// Requests of a type that is not known run at most once.
TEST(ConfigurationWire, ReadsTheTypesOfRoutes)
{
    const std::map<std::string, RouteType> types { { "idempotent", RouteType::Idempotent },
        { "download", RouteType::Download }, { "non_idempotent", RouteType::Once },
        { "upload", RouteType::Once }, { "", RouteType::Once }, { "Download", RouteType::Once } };
    for (const auto& [word, type] : types) {
        const nlohmann::json rule { { "name", "r" }, { "type", word },
            { "match", { { "pathPrefix", "/p/" } } }, { "action", { { "service", "s" } } } };
        const auto read = protocol.readConfiguration(
            { { "version", "r7" }, { "listeners", { { { "host", "h" }, { "routingRules", { rule } } } } },
                { "clusters", { { { "name", "s" } } } } });
        CHECK(read.ok());
        const RouteConfig& route = read->configuration->routes.front();
        CHECK_TEXT(route.type == type, word.c_str());
        CHECK_EQUAL(type != RouteType::Once, route.isIdempotent());
    }
}

TEST(ConfigurationWire, MalformedConfigurationsAreErrors)
{
    for (const char* text : { "{}", R"({"version":"7","listeners":[],"clusters":[]})",
             R"({"version":"r7","listeners":[{"host":"h"}],"clusters":[]})" })
        CHECK(!protocol.readConfiguration(nlohmann::json::parse(text)).ok());
}
