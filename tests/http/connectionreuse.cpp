// Reuse of idle connections. A connection on which the server has sent bytes or that it has closed must not
// be reused: the bytes would be taken for the answer to the next request, or the request would be lost.

#include "http/httpclient.h"
#include "standins/scriptedserver.h"

#include <optional>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;

namespace {

const Address address { "127.0.0.1", 18'754 };
constexpr Milliseconds callTimeout { 2'000 };
constexpr Milliseconds testTimeout { 10'000 };
// Size of the client's read buffer.
constexpr size_t clientReadSize = 8'192;

const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

std::string answerWith(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// An answer of exactly this size, including its header.
std::string answerOfSize(size_t size)
{
    std::string answer;
    for (size_t body = size; answer.size() != size; --body)
        answer = answerWith(std::string(body, 'x'));
    return answer;
}

}

TEST_GROUP(ConnectionReuse)
{
    asio::io_context loop { 1 };
    // The server's answer to the first request. All other requests are answered with "second".
    std::string firstAnswer = answerWith("first");
    ScriptedServer server { loop, address,
        [this](ScriptedConnection& connection, const std::string& request) {
            const bool isFirst = request.find(" /first ") != std::string::npos;
            connection.send(isFirst ? firstAnswer : answerWith("second"));
        } };
    HttpClient client { loop, clientOptions() };
    std::optional<CallResult> result;

    static HttpClientOptions clientOptions()
    {
        HttpClientOptions options;
        options.address = address;
        return options;
    }

    void runUntil(const std::function<bool()>& condition)
    {
        const TimePoint end = BootClock::now() + testTimeout;
        while (!condition() && BootClock::now() < end) {
            loop.restart();
            loop.run_one_for(Milliseconds(20));
        }
        CHECK(condition());
    }

    // Waits without running the event loop, so that the client doesn't handle input in the meantime.
    static void waitWithoutLoop(const std::function<bool()>& condition)
    {
        const TimePoint end = BootClock::now() + testTimeout;
        while (!condition() && BootClock::now() < end) { }
        CHECK(condition());
    }

    void call(const std::string& target)
    {
        result.reset();
        client.call(
            { "GET", target, {}, {} }, callTimeout, [this](CallResult ended) { result = std::move(ended); });
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

TEST(ConnectionReuse, ConnectionIsReused)
{
    callFirst();
    call("/second");
    runUntil([this] { return result.has_value(); });
    STRCMP_EQUAL("second", result->response.body.c_str());
    LONGS_EQUAL(1, client.connectionsOpened());
}

TEST(ConnectionReuse, CallThatForbidsReuseOpensAConnection)
{
    callFirst();
    result.reset();
    client.call(
        { "GET", "/second", {}, {} }, callTimeout, [this](CallResult ended) { result = std::move(ended); },
        Reuse::Forbidden);
    checkSecondIsAnsweredOnAnotherConnection();
    CHECK(!connection(0).isClosed());
}

TEST(ConnectionReuse, BytesReceivedBeforeARequestAreNotItsAnswer)
{
    callFirst();
    connection(0).send(refusal);
    waitWithoutLoop([this] { return connection(0).isAcknowledged(); });
    call("/second");
    checkSecondIsAnsweredOnAnotherConnection();
}

// The first answer fills exactly one read of the client, so the bytes after it are still in the socket when
// the callback starts the next call.
TEST(ConnectionReuse, BytesAfterAnAnswerAreNotTheAnswerToAnImmediateNextRequest)
{
    firstAnswer = answerOfSize(clientReadSize) + refusal;
    client.call({ "GET", "/first", {}, {} }, callTimeout, [this](const CallResult&) { call("/second"); });
    checkSecondIsAnsweredOnAnotherConnection();
}

TEST(ConnectionReuse, RequestIsNotSentOnAConnectionThatTheServerClosed)
{
    callFirst();
    connection(0).shutdownSend();
    waitWithoutLoop([this] { return connection(0).isAcknowledged(); });
    call("/second");
    checkSecondIsAnsweredOnAnotherConnection();
}
