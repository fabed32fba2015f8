// Kept connections on which the server wrote or ended before they are used again.

#include "http/httpclient.h"
#include "standins/scriptedserver.h"

#include <optional>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;

namespace {

const Address address { "127.0.0.1", 18'754 };
constexpr Milliseconds patience { 2'000 };
constexpr Milliseconds longTime { 10'000 };
// What the client reads at once.
constexpr size_t readSize = 8'192;

const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

std::string answerWith(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// An answer of just so many bytes.
std::string answerOfSize(size_t size)
{
    std::string answer;
    for (size_t body = size; answer.size() != size; --body)
        answer = answerWith(std::string(body, 'x'));
    return answer;
}

}

TEST_GROUP(KeptConnections)
{
    asio::io_context loop { 1 };
    // What the server says to the first request; it answers all others.
    std::string first = answerWith("first");
    ScriptedServer server { loop, address,
        [this](ScriptedConnection& connection, const std::string& request) {
            const bool isFirst = request.find(" /first ") != std::string::npos;
            connection.send(isFirst ? first : answerWith("second"));
        } };
    HttpClient client { loop, optionsFor() };
    std::optional<CallResult> result;

    static HttpClientOptions optionsFor()
    {
        HttpClientOptions options;
        options.address = address;
        return options;
    }

    void runUntil(const std::function<bool()>& condition)
    {
        const TimePoint end = BootClock::now() + longTime;
        while (!condition() && BootClock::now() < end) {
            loop.restart();
            loop.run_one_for(Milliseconds(20));
        }
        CHECK(condition());
    }

    // Waits without running the loop, so that nothing that comes is handled.
    static void waitUntil(const std::function<bool()>& condition)
    {
        const TimePoint end = BootClock::now() + longTime;
        while (!condition() && BootClock::now() < end) { }
        CHECK(condition());
    }

    void call(const std::string& target)
    {
        result.reset();
        client.call(
            { "GET", target, {}, {} }, patience, [this](CallResult ended) { result = std::move(ended); });
    }

    ScriptedConnection& connection(size_t index)
    {
        return *server.connections().at(index);
    }

    void callFirst()
    {
        call("/first");
        runUntil([this] { return result.has_value(); });
        CHECK(result->outcome == CallOutcome::Answered);
    }

    void checkSecondIsAnsweredOnAnotherConnection()
    {
        runUntil([this] { return result.has_value(); });
        STRCMP_EQUAL("", result->detail.c_str());
        LONGS_EQUAL(200, result->response.status);
        STRCMP_EQUAL("second", result->response.body.c_str());
        LONGS_EQUAL(2, client.connectionsOpened());
        LONGS_EQUAL(1, connection(0).requests().size());
    }
};

TEST(KeptConnections, AreUsedAgain)
{
    callFirst();
    call("/second");
    runUntil([this] { return result.has_value(); });
    STRCMP_EQUAL("second", result->response.body.c_str());
    LONGS_EQUAL(1, client.connectionsOpened());
}

TEST(KeptConnections, AreLeftAloneByACallThatForbidsIt)
{
    callFirst();
    result.reset();
    client.call(
        { "GET", "/second", {}, {} }, patience, [this](CallResult ended) { result = std::move(ended); },
        Reuse::Forbidden);
    checkSecondIsAnsweredOnAnotherConnection();
    CHECK(!connection(0).isClosed());
}

TEST(KeptConnections, BytesThatCameBeforeARequestAreNotItsAnswer)
{
    callFirst();
    connection(0).send(refusal);
    waitUntil([this] { return connection(0).isAcknowledged(); });
    call("/second");
    checkSecondIsAnsweredOnAnotherConnection();
}

// The first answer fills one read of the client, which calls again as soon as it has it.
TEST(KeptConnections, BytesBehindAnAnswerAreNotTheAnswerToARequestThatFollowsAtOnce)
{
    first = answerOfSize(readSize) + refusal;
    client.call({ "GET", "/first", {}, {} }, patience, [this](const CallResult&) { call("/second"); });
    checkSecondIsAnsweredOnAnotherConnection();
}

TEST(KeptConnections, ARequestIsNotWrittenToAServerThatHasEnded)
{
    callFirst();
    connection(0).shutdownSend();
    waitUntil([this] { return connection(0).isAcknowledged(); });
    call("/second");
    checkSecondIsAnsweredOnAnotherConnection();
}
