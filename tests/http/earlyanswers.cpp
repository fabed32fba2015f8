// Answers that come, and whose connection ends, while the client is still writing the request.

#include "http/httpclient.h"
#include "standins/scriptedserver.h"

#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;

namespace {

const Address address { "127.0.0.1", 18'764 };
constexpr Milliseconds callTimeout { 10'000 };
// More than the buffers of both sockets take.
constexpr size_t uploadBytes = 16UL * 1'024 * 1'024;

// How the connection ends after the answer.
enum class Ending {
    End, // Closed in order.
    Reset, // Reset once the client's kernel has the answer.
    EndAndReset, // Closed in order, then reset once the client's kernel has the end.
};

// Heads of answers without a length, whose body ends with the connection.
const std::vector<std::string> headsWithoutLength {
    "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
    "HTTP/1.0 200 OK\r\n\r\n",
    "HTTP/1.1 500 Failed\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
};

}

TEST_GROUP(EarlyAnswers)
{
    asio::io_context loop { 1 };
    std::string bytes;
    Ending ending = Ending::End;
    ScriptedServer server { loop, address,
        [this](ScriptedConnection& connection, const std::string& head) { answer(connection, head); } };

    void setup() override
    {
        server.leaveBodiesUnread();
    }

    void answer(ScriptedConnection & connection, const std::string& head)
    {
        if (head.find("GET") == 0)
            return connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        connection.send(bytes);
        if (ending != Ending::Reset)
            connection.shutdownSend();
        if (ending != Ending::End)
            connection.resetOnceAcknowledged();
    }

    CallResult call(HttpClient & client, HttpRequest request)
    {
        std::optional<CallResult> result;
        client.call(
            std::move(request), callTimeout, [&result](CallResult ended) { result = std::move(ended); });
        while (!result) {
            loop.restart();
            loop.run_one();
        }
        return *result;
    }

    // Sends a long upload on a new connection, or on one that has already carried a request.
    CallResult upload(bool isKept)
    {
        HttpClientOptions options;
        options.address = address;
        HttpClient client(loop, options);
        if (isKept)
            CHECK(call(client, { "GET", "/", {}, {} }).outcome == CallOutcome::Answered);
        const size_t connections = server.connections().size();
        const CallResult result = call(client, { "POST", "/", {}, std::string(uploadBytes, 'x') });
        LONGS_EQUAL(isKept ? connections : connections + 1, server.connections().size());
        return result;
    }

    void checkLost(const std::string& answer, Ending how)
    {
        bytes = answer;
        ending = how;
        for (const bool isKept : { false, true }) {
            const CallResult result = upload(isKept);
            CHECK_TEXT(result.outcome == CallOutcome::Lost, answer.c_str());
        }
    }

    void checkAnswered(const std::string& answer, Ending how)
    {
        bytes = answer;
        ending = how;
        for (const bool isKept : { false, true }) {
            const CallResult result = upload(isKept);
            CHECK_TEXT(result.outcome == CallOutcome::Answered, answer.c_str());
            STRCMP_EQUAL("whole", result.response.body.c_str());
        }
    }
};

TEST(EarlyAnswers, AnswerWithoutLengthIsLostIfItsConnectionIsReset)
{
    for (const std::string& head : headsWithoutLength) {
        checkLost(head + "part", Ending::Reset);
        checkLost(head, Ending::Reset);
    }
}

TEST(EarlyAnswers, AnswerWithoutLengthIsCompleteIfItsConnectionIsClosedInOrder)
{
    for (const std::string& head : headsWithoutLength)
        checkAnswered(head + "whole", Ending::End);
}

// The end of the stream comes before the reset, which only refuses the rest of the request.
TEST(EarlyAnswers, AnswerWithoutLengthIsCompleteIfItsConnectionIsResetAfterItsEnd)
{
    for (const std::string& head : headsWithoutLength)
        checkAnswered(head + "whole", Ending::EndAndReset);
}

TEST(EarlyAnswers, AnswerWithLengthIsCompleteWithItsLastByte)
{
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
    checkAnswered(answer, Ending::End);
    checkAnswered(answer, Ending::EndAndReset);
    for (const Ending how : { Ending::End, Ending::Reset, Ending::EndAndReset })
        checkLost(answer.substr(0, answer.size() - 1), how);
}

TEST(EarlyAnswers, ChunkedAnswerIsCompleteWithItsLastChunk)
{
    const std::string answer
        = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nSum: 1\r\n\r\n";
    checkAnswered(answer, Ending::End);
    checkAnswered(answer, Ending::EndAndReset);
    for (const Ending how : { Ending::End, Ending::Reset, Ending::EndAndReset })
        checkLost(answer.substr(0, answer.size() - 1), how);
}
