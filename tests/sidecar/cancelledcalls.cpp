// Requests whose callers leave before a server has begun to work on them.

#include "http/httpserver.h"
#include "platformedges.h"
#include "sidecar/peercalls.h"
#include "sidecar/peergate.h"

#include <absl/strings/str_join.h>

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;

namespace {

constexpr Milliseconds longTime { 10'000 };
const Address callingAddress { "127.0.0.1", 18'790 };
const Address gateAddress { "127.0.0.1", 18'791 };
const Address serverAddress { "127.0.0.1", 18'792 };

ServerGateOptions gateOptions(
    asio::io_context& loop, const ProtocolAdapter& edges, Counters& counters, EvacuatedZones& zones)
{
    zones.apply({ {}, false, 1 }, true, BootClock::now());
    ServerGateOptions options;
    options.loop = &loop;
    options.protocol = &edges;
    options.settings.serverAddress = serverAddress;
    options.counters = &counters;
    options.zones = &zones;
    return options;
}

peer::ForwardedRequest orderRequest(const std::string& id)
{
    peer::ForwardedRequest request {};
    request.requestId = id;
    request.service = "orders";
    request.partition = -1;
    request.method = "POST";
    request.target = "/orders/1";
    request.timeoutMs = longTime.count();
    request.objectiveMs = longTime.count();
    return request;
}

}

// A gate beside its server, and another instance that calls it over a link. Each has a loop of its own, so
// that the one can be late while the other goes on.
TEST_GROUP(CancelledCalls)
{
    std::unique_ptr<asio::io_context> loop = std::make_unique<asio::io_context>(1);
    asio::io_context gateLoop { 1 };
    Counters counters;
    const ProtocolAdapter edges = platform::platformEdges();
    EvacuatedZones zones { longTime };
    std::vector<std::string> forwarded; // Ids of the requests that came over the link.
    std::vector<std::string> runs; // Ids of those that reached the server.
    bool isClosed = false; // Whether the gate has seen the link end.
    HttpServer server { gateLoop, [this](const auto& exchange) { run(*exchange); } };
    ServerGate gate { gateOptions(gateLoop, edges, counters, zones) };
    std::unique_ptr<PeerNetwork> gateNetwork;
    std::unique_ptr<PeerGate> peerGate;
    std::unique_ptr<PeerNetwork> network;
    std::unique_ptr<PeerCalls> calls;

    void setup() override
    {
        CHECK(server.listen(serverAddress).ok());
        gate.setServer(GatedServer { { "server", 1 }, "orders", 2, {}, {} });
        PeerNetworkOptions options = networkOptions(gateLoop, gateAddress);
        options.onFrame = [this](LinkId link, Frame frame) {
            if (frame.message.forwardedRequest) {
                forwarded.push_back(frame.message.forwardedRequest->requestId);
                peerGate->onRequest(link, *frame.message.forwardedRequest, frame.body);
            } else if (frame.message.cancel)
                peerGate->onCancel(link, *frame.message.cancel);
        };
        options.onClosed = [this](LinkId link, bool) {
            isClosed = true;
            peerGate->onClosed(link);
        };
        gateNetwork = std::make_unique<PeerNetwork>(std::move(options));
        peerGate = std::make_unique<PeerGate>(gate, *gateNetwork);
        CHECK(gateNetwork->start("secret").ok());
        options = networkOptions(*loop, callingAddress);
        options.onFrame = [this](LinkId link, const Frame& frame) {
            if (frame.message.forwardedAnswer)
                calls->onAnswer(link, *frame.message.forwardedAnswer, frame.body);
        };
        options.onClosed = [this](LinkId link, bool wasOpen) { calls->onClosed(link, wasOpen); };
        network = std::make_unique<PeerNetwork>(std::move(options));
        calls = std::make_unique<PeerCalls>(*network);
        CHECK(network->start("secret").ok());
    }

    PeerNetworkOptions networkOptions(asio::io_context & ownLoop, const Address& address)
    {
        PeerNetworkOptions options;
        options.listenAddress = address;
        options.counters = &counters;
        options.loop = &ownLoop;
        return options;
    }

    void run(HttpExchange & exchange)
    {
        runs.push_back(*exchange.request().header("Persimmonfield-Request-Id"));
        HttpResponse response;
        response.status = 200;
        response.headers = { { "Persimmonfield-Request-Id", runs.back() } };
        exchange.respond(std::move(response));
    }

    void send(const std::string& id, bool& isAnswered)
    {
        calls->send(gateAddress.text(), orderRequest(id), {},
            [&isAnswered](const Reply& reply) { isAnswered = reply.isAnswer; });
    }

    void sendAndCancel(const std::string& id)
    {
        calls->cancel(calls->send(gateAddress.text(), orderRequest(id), {}, [](const Reply&) {}));
    }

    // Straight to the gate, without a link.
    ServerGate::CallId submit(const std::string& id, bool& isAnswered)
    {
        GateCall call;
        call.request = orderRequest(id);
        call.deadline = call.objectiveEnd = BootClock::now() + longTime;
        call.reply = [&isAnswered](const Reply& reply) { isAnswered = reply.isAnswer; };
        return gate.submit(std::move(call));
    }

    void runCallingLoop()
    {
        do
            loop->restart();
        while (loop->poll() > 0);
    }

    void runUntil(const bool& condition)
    {
        const TimePoint end = BootClock::now() + longTime;
        while (!condition && BootClock::now() < end) {
            if (loop)
                runCallingLoop();
            gateLoop.restart();
            gateLoop.run_one_for(Milliseconds(1));
        }
        CHECK(condition);
    }

    static void checkIds(const std::vector<std::string>& expected, const std::vector<std::string>& actual)
    {
        STRCMP_EQUAL(absl::StrJoin(expected, " ").c_str(), absl::StrJoin(actual, " ").c_str());
    }
};

TEST(CancelledCalls, WhatWasCancelledWhileItsLinkWasDialedIsNotSent)
{
    sendAndCancel("cancelled");
    bool isAnswered = false;
    send("kept", isAnswered);
    runUntil(isAnswered);
    checkIds({ "kept" }, forwarded);
    checkIds({ "kept" }, runs);
}

// It must not run twice, so once it was sent it is left to its end.
TEST(CancelledCalls, WhatWasCancelledWhileItsServerWasDialedIsNotSent)
{
    bool isCancelledAnswered = false;
    bool isAnswered = false;
    const auto id = submit("cancelled", isCancelledAnswered);
    while (counters.counter("server_requests_total") == 0)
        gateLoop.run_one();
    gate.cancel(id);
    submit("kept", isAnswered);
    runUntil(isAnswered);
    CHECK(!isCancelledAnswered);
    checkIds({ "kept" }, runs);
}
