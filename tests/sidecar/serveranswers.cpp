// What callers get if a server's answers are truncated or cannot be matched with their requests. Runs
// complete sidecars on loopback.

#include "platformprotocol.h"
#include "sidecar/sidecar.h"
#include "standins/answerheads.h"
#include "standins/loopback.h"
#include "standins/scriptedserver.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;

namespace {

constexpr Milliseconds testTimeout { 20'000 };
constexpr int firstPort = 18'860;
constexpr int portsPerInstance = 10;
// More than the buffers of the sockets between a gate and its server take.
constexpr size_t longBodyBytes = 8UL * 1'024 * 1'024;
const Address storeAddress { "127.0.0.1", 18'899 };

nlohmann::json configuration()
{
    nlohmann::json rules = nlohmann::json::array();
    const auto addRule = [&rules](const char* name, const char* type, const char* service) {
        rules.push_back({ { "name", name }, { "type", type }, { "targetLatency", "2s" }, { "priority", 1 },
            { "match", { { "pathPrefix", "/" + std::string(name) + "/" } } },
            { "action", { { "service", service }, { "timeout", "4s" }, { "maxAttempts", 2 } } } });
    };
    addRule("orders", "non_idempotent", "orders");
    addRule("views", "idempotent", "orders");
    addRule("downloads", "download", "orders");
    addRule("cards", "non_idempotent", "gallery");
    return { { "version", "r1" }, { "limits", { { "maxBodyBytes", 2 * longBodyBytes } } },
        { "listeners", { { { "host", "h" }, { "routingRules", rules } } } },
        { "clusters",
            { { { "name", "gallery" }, { "sharded", true } }, { { "name", "orders" } },
                { { "name", "none" } } } } };
}

SidecarSettings settingsOf(int index, const std::string& service)
{
    const int port = firstPort + index * portsPerInstance;
    SidecarSettings settings;
    settings.name = "i" + std::to_string(index);
    settings.zone = "zone-" + std::to_string(index);
    settings.service = service;
    settings.callerAddress = { "127.0.0.1", port };
    settings.reportAddress = { "127.0.0.1", port + 1 };
    settings.readinessAddress = { "127.0.0.1", port + 2 };
    settings.peerAddress = { "127.0.0.1", port + 3 };
    settings.serverAddress = { "127.0.0.1", port + 4 };
    settings.storeAddress = storeAddress;
    settings.reportInterval = Milliseconds(300);
    settings.reportTimeout = testTimeout;
    return settings;
}

std::string idOf(const std::string& request)
{
    static const std::string field = "Persimmonfield-Request-Id: ";
    const size_t begin = request.find(field) + field.size();
    return request.substr(begin, request.find('\r', begin) - begin);
}

// An instance next to a server whose answers are scripted by the test. A stand-in sends the server's reports.
struct Instance {
    Instance(
        asio::io_context& loop, int index, const std::string& service, ScriptedConnection::Handler handler)
        : settings(settingsOf(index, service))
        , server(loop, settings.serverAddress, std::move(handler))
        , sidecar(
              Sidecar::Builder().setSettings(settings).setProtocol(platform::platformProtocol()).build(loop))
        , caller(loop, { settings.callerAddress, Milliseconds(1'000), Milliseconds(5'000), false, {} })
    {
        if (!sidecar->start().ok())
            std::abort();
        const Address unused { settings.serverAddress.host, settings.serverAddress.port + 1 };
        reporter = std::make_unique<StandInServer>(loop,
            StandInServerOptions { "server-" + settings.name, service, settings.zone, unused,
                settings.reportAddress, settings.serverAddress });
    }

    SidecarSettings settings;
    ScriptedServer server;
    std::unique_ptr<Sidecar> sidecar;
    std::unique_ptr<StandInServer> reporter;
    HttpClient caller;
};

}

TEST_GROUP(ServerAnswers)
{
    asio::io_context loop { 1 };
    std::unique_ptr<StandInStore> store;
    std::vector<std::unique_ptr<Instance>> instances;
    int64_t requests = 0;
    std::string statusLine; // Of the answers, if not empty.
    std::string field; // With its line break; empty for none.

    void setup() override
    {
        store = std::make_unique<StandInStore>(loop, storeAddress);
        store->put("config", "main", configuration());
    }

    void add(const std::string& service, ScriptedConnection::Handler handler)
    {
        instances.push_back(std::make_unique<Instance>(
            loop, static_cast<int>(instances.size()), service, std::move(handler)));
    }

    bool runUntil(const std::function<bool()>& condition)
    {
        const TimePoint end = BootClock::now() + testTimeout;
        while (!condition()) {
            if (BootClock::now() >= end)
                return false;
            loop.restart();
            loop.run_one_for(Milliseconds(20));
        }
        return true;
    }

    HttpRequest requestFor(const std::string& method, const std::string& target)
    {
        HttpRequest request { method, target, {}, method == "POST" ? "order" : "" };
        request.headers
            = { { "Host", "h" }, { "Persimmonfield-Request-Id", "r" + std::to_string(++requests) },
                  { "Persimmonfield-Deadline-Ms", "4000" } };
        return request;
    }

    CallResult call(size_t index, const HttpRequest& request)
    {
        std::optional<CallResult> result;
        instances[index]->caller.call(
            request, testTimeout, [&result](CallResult ended) { result = std::move(ended); });
        CHECK(runUntil([&result] { return result.has_value(); }));
        CHECK(result->outcome == CallOutcome::Answered);
        return *result;
    }

    // Waits until a caller of the instance gets an answer from a server.
    void awaitAnswers(size_t index, const std::string& target)
    {
        CHECK(runUntil([&] { return call(index, requestFor("GET", target)).response.status == 200; }));
    }

    // Adds an instance that forwards orders over a link, and one next to a server whose answers have the
    // test's status line and its additional field.
    void addOrdersWithHeads()
    {
        add("none", [](ScriptedConnection&, const std::string&) {});
        add("orders", [this](ScriptedConnection& connection, const std::string& request) {
            std::string answer = answerTo(request);
            if (!statusLine.empty())
                answer.replace(0, answer.find("\r\n") + 2, statusLine);
            connection.send(answer.insert(answer.find("Content-Length"), field));
        });
        awaitAnswers(0, "/views/1");
    }

    static std::string refusalWith(const std::string& field)
    {
        return "HTTP/1.1 503 Service Unavailable\r\n" + field
            + "Persimmonfield-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    }

    static std::string answerTo(const std::string& request)
    {
        return "HTTP/1.1 200 OK\r\nPersimmonfield-Request-Id: " + idOf(request)
            + "\r\nPersimmonfield-Response-Signature: signed\r\nContent-Length: 5\r\n\r\nwhole";
    }
};

// The answer is cut after each of its bytes, with the connection closed or reset. The first instance forwards
// the request over a link, the second one sends it to the server next to it.
TEST(ServerAnswers, TruncatedAnswerIsNeverASuccess)
{
    size_t size = 0;
    bool isCut = false;
    bool isReset = false;
    add("none", [](ScriptedConnection&, const std::string&) {});
    add("orders", [&](ScriptedConnection& connection, const std::string& request) {
        const std::string answer = answerTo(request);
        connection.send(isCut ? answer.substr(0, std::min(size, answer.size() - 1)) : answer);
        if (isCut && isReset)
            connection.reset();
        else if (isCut)
            connection.shutdownSend();
    });
    awaitAnswers(0, "/views/1");
    const size_t wholeSize = answerTo("Persimmonfield-Request-Id: r100\r\n").size();
    for (size = 0; size < wholeSize; ++size) {
        for (const size_t instance : { 0, 1 }) {
            isCut = true;
            LONGS_EQUAL(502, call(instance, requestFor("POST", "/orders/1")).response.status);
            isReset = !isReset;
            isCut = false;
            const CallResult whole = call(instance, requestFor("POST", "/orders/1"));
            LONGS_EQUAL(200, whole.response.status);
            STRCMP_EQUAL("whole", whole.response.body.c_str());
        }
    }
}

// The server answers a long upload while it is still being sent, without a length, and resets the connection.
TEST(ServerAnswers, AnswerWithoutLengthWhoseConnectionIsResetDuringTheUploadIsNeverASuccess)
{
    bool isReset = false;
    add("none", [](ScriptedConnection&, const std::string&) {});
    add("orders", [&isReset](ScriptedConnection& connection, const std::string& request) {
        connection.send("HTTP/1.1 200 OK\r\nPersimmonfield-Request-Id: " + idOf(request)
            + "\r\nPersimmonfield-Response-Signature: signed\r\n\r\n" + (isReset ? "part" : "whole"));
        if (!isReset)
            connection.shutdownSend();
        connection.resetOnceAcknowledged();
    });
    instances[1]->server.leaveBodiesUnread();
    awaitAnswers(0, "/views/1");
    HttpRequest upload = requestFor("POST", "/orders/1");
    upload.body = std::string(longBodyBytes, 'x');
    for (const size_t instance : { 0, 1 }) {
        isReset = true;
        upload.headers[1].value = "reset" + std::to_string(instance);
        LONGS_EQUAL(502, call(instance, upload).response.status);
        isReset = false;
        upload.headers[1].value = "closed" + std::to_string(instance);
        const CallResult whole = call(instance, upload);
        LONGS_EQUAL(200, whole.response.status);
        STRCMP_EQUAL("whole", whole.response.body.c_str());
    }
}

TEST(ServerAnswers, AnswerWithAStatusThatIsNoneIsNeverPassedOn)
{
    addOrdersWithHeads();
    for (const size_t instance : { 0, 1 }) {
        for (const char* status : { "000", "099", "600", "999" }) {
            statusLine = "HTTP/1.1 " + std::string(status) + " Trouble\r\n";
            LONGS_EQUAL(502, call(instance, requestFor("POST", "/orders/1")).response.status);
        }
        statusLine.clear();
        LONGS_EQUAL(200, call(instance, requestFor("POST", "/orders/1")).response.status);
    }
}

TEST(ServerAnswers, AnswerWithAFieldNameThatIsNoneIsNeverPassedOn)
{
    addOrdersWithHeads();
    for (const size_t instance : { 0, 1 }) {
        for (const std::string& name : invalidFieldNames()) {
            field = name + ": 4\r\n";
            const int status = call(instance, requestFor("POST", "/orders/1")).response.status;
            LONGS_EQUAL_TEXT(502, status, printable(name).c_str());
        }
        field.clear();
        LONGS_EQUAL(200, call(instance, requestFor("POST", "/orders/1")).response.status);
    }
}

TEST(ServerAnswers, IdempotentRequestIsRetriedAtAnotherServerAfterATruncatedHead)
{
    size_t cuts = 0;
    add("orders", [&cuts](ScriptedConnection& connection, const std::string& request) {
        connection.send(answerTo(request).substr(0, 40));
        connection.shutdownSend();
        ++cuts;
    });
    add("orders", [](ScriptedConnection& connection, const std::string& request) {
        connection.send(answerTo(request));
    });
    awaitAnswers(0, "/views/1");
    CHECK(runUntil([&] {
        const CallResult result = call(0, requestFor("GET", "/views/1"));
        LONGS_EQUAL(200, result.response.status);
        STRCMP_EQUAL("whole", result.response.body.c_str());
        return cuts > 0;
    }));
}

TEST(ServerAnswers, DownloadWhoseAnswerIsLostIsServedByAnotherServer)
{
    size_t resets = 0;
    add("orders", [&resets](ScriptedConnection& connection, const std::string&) {
        connection.reset();
        ++resets;
    });
    add("orders", [](ScriptedConnection& connection, const std::string& request) {
        connection.send(answerTo(request));
    });
    awaitAnswers(0, "/views/1");
    resets = 0;
    CHECK(runUntil([&] {
        const CallResult result = call(0, requestFor("GET", "/downloads/1"));
        LONGS_EQUAL(200, result.response.status);
        STRCMP_EQUAL("whole", result.response.body.c_str());
        return resets > 0;
    }));
}

// The server runs the order, but sends a refusal without a request id first. Such a refusal may belong to
// another request, so it is no proof that the order did not run.
TEST(ServerAnswers, RefusalWithoutRequestIdDoesNotProveThatTheRequestDidNotRun)
{
    bool isAnswering = true;
    add("none", [](ScriptedConnection&, const std::string&) {});
    add("orders", [&isAnswering](ScriptedConnection& connection, const std::string& request) {
        if (request.find("POST") == 0)
            connection.send(refusalWith({}));
        if (isAnswering)
            connection.send(answerTo(request));
        else
            connection.shutdownSend();
    });
    awaitAnswers(0, "/views/1");
    LONGS_EQUAL(200, call(0, requestFor("POST", "/orders/1")).response.status);
    isAnswering = false;
    LONGS_EQUAL(502, call(0, requestFor("POST", "/orders/1")).response.status);
}

// A refused request for a key is retried at the same owner. The server repeats the refusal of the first
// attempt on the old connection, which must not be taken for the answer to the retry.
TEST(ServerAnswers, RepeatedRefusalIsNotTakenForTheAnswerToTheRetry)
{
    std::map<std::string, size_t> arrivals;
    add("gallery", [this, &arrivals](ScriptedConnection& connection, const std::string& request) {
        const std::string refusal = refusalWith("Persimmonfield-Request-Id: " + idOf(request) + "\r\n");
        if (++arrivals[idOf(request)] == 1)
            return connection.send(refusal);
        instances[0]->server.connections().front()->send(refusal);
        connection.send(answerTo(request));
    });
    CHECK(runUntil([this] { return instances[0]->reporter->holds(1); }));
    HttpRequest request = requestFor("POST", "/cards/1");
    request.headers.push_back({ "Persimmonfield-Shard-Key", "1" });
    const CallResult result = call(0, request);
    LONGS_EQUAL(200, result.response.status);
    LONGS_EQUAL(2, arrivals.begin()->second);
}
