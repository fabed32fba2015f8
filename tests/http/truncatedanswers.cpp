// Answers that are truncated after each of their bytes, with the connection closed in order or reset. The
// client may report only complete answers as Answered.

#include "http/httpclient.h"
#include "standins/scriptedserver.h"

#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;

namespace {

const Address address { "127.0.0.1", 18'755 };
constexpr Milliseconds callTimeout { 5'000 };
constexpr Milliseconds testTimeout { 10'000 };

enum class Ending {
    End,
    Reset, // Immediately after sending.
    ResetAfterReading, // After the client has read everything that was sent.
};

}

TEST_GROUP(TruncatedAnswers)
{
    asio::io_context loop { 1 };
    std::string bytes;
    Ending ending = Ending::End;
    ScriptedServer server { loop, address, [this](ScriptedConnection& connection, const std::string&) {
                               connection.send(bytes);
                               if (ending == Ending::End)
                                   connection.shutdownSend();
                               else if (ending == Ending::Reset)
                                   connection.reset();
                           } };
    std::string method = "GET";
    std::optional<CallResult> result;

    void runUntil(const std::function<bool()>& condition)
    {
        const TimePoint end = BootClock::now() + testTimeout;
        while (!condition() && BootClock::now() < end) {
            loop.restart();
            loop.run_one_for(Milliseconds(20));
        }
        CHECK(condition());
    }

    const CallResult& callWith(const std::string& answer, Ending how)
    {
        bytes = answer;
        ending = how;
        result.reset();
        const size_t before = server.connections().size();
        HttpClientOptions options;
        options.address = address;
        HttpClient client(loop, options);
        client.call(
            { method, "/", {}, {} }, callTimeout, [this](CallResult ended) { result = std::move(ended); });
        runUntil([this, before] {
            return server.connections().size() > before && !server.connections().back()->requests().empty();
        });
        if (how == Ending::ResetAfterReading) {
            while (!server.connections().back()->isAcknowledged())
                loop.poll();
            loop.restart();
            while (loop.poll() > 0) { }
            server.connections().back()->reset();
        }
        runUntil([this] { return result.has_value(); });
        return *result;
    }

    // The answer is complete with its last byte, however the connection ends afterwards.
    void checkCompleteAtLastByte(const std::string& answer, const std::string& body)
    {
        for (const Ending how : { Ending::End, Ending::Reset, Ending::ResetAfterReading }) {
            for (size_t size = 0; size < answer.size(); ++size) {
                const CallResult& ended = callWith(answer.substr(0, size), how);
                CHECK_TEXT(ended.outcome == CallOutcome::Lost, answer.substr(0, size).c_str());
            }
        }
        for (const Ending how : { Ending::End, Ending::ResetAfterReading }) {
            const CallResult& ended = callWith(answer, how);
            CHECK(ended.outcome == CallOutcome::Answered);
            STRCMP_EQUAL(body.c_str(), ended.response.body.c_str());
        }
    }

    // The answer has no length, so its body ends with the stream: it is complete if the connection is closed
    // in order.
    void checkCompleteAtEndOfStream(const std::string& answer)
    {
        const size_t headerSize = answer.rfind("\r\n\r\n") + 4;
        for (size_t size = 0; size <= answer.size(); ++size) {
            for (const Ending how : { Ending::Reset, Ending::ResetAfterReading }) {
                const CallResult& ended = callWith(answer.substr(0, size), how);
                CHECK_TEXT(ended.outcome == CallOutcome::Lost, answer.substr(0, size).c_str());
            }
            const CallResult& ended = callWith(answer.substr(0, size), Ending::End);
            CHECK_TEXT((ended.outcome == CallOutcome::Answered) == (size >= headerSize),
                answer.substr(0, size).c_str());
            if (size >= headerSize)
                STRCMP_EQUAL(
                    answer.substr(headerSize, size - headerSize).c_str(), ended.response.body.c_str());
        }
    }
};

TEST(TruncatedAnswers, WithContentLength)
{
    checkCompleteAtLastByte("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nwhole", "whole");
    checkCompleteAtLastByte(
        "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nId: 1\r\n\r\nwhole answer", "whole answer");
    checkCompleteAtLastByte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: 1\r\n\r\n", "");
}

TEST(TruncatedAnswers, WithContentLengthAndConnectionClose)
{
    checkCompleteAtLastByte(
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole", "whole");
    checkCompleteAtLastByte("HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "whole");
}

TEST(TruncatedAnswers, Chunked)
{
    checkCompleteAtLastByte(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n", "whole");
    checkCompleteAtLastByte("HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
                            "c;name=value\r\nwhole answer\r\n0;last\r\n\r\n",
        "whole answer");
    checkCompleteAtLastByte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n"
                            "5\r\nwhole\r\n0\r\nSum: 1\r\nOther: 2\r\n\r\n",
        "whole");
}

TEST(TruncatedAnswers, WithoutContentLength)
{
    checkCompleteAtEndOfStream("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole");
    checkCompleteAtEndOfStream("HTTP/1.1 200 OK\r\nConnection: close\r\nId: 1\r\n\r\nwhole");
    checkCompleteAtEndOfStream("HTTP/1.0 200 OK\r\nId: 1\r\n\r\nwhole");
}

TEST(TruncatedAnswers, WithoutABody)
{
    for (const std::string line : { "HTTP/1.1 204 No Content\r\n", "HTTP/1.1 304 Not Modified\r\n" }) {
        checkCompleteAtLastByte(line + "Id: 1\r\n\r\n", "");
        checkCompleteAtLastByte(line + "Connection: close\r\n\r\n", "");
    }
    checkCompleteAtLastByte("HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", "");
}

TEST(TruncatedAnswers, AfterAnInterimAnswer)
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    checkCompleteAtLastByte(interim + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "whole");
    checkCompleteAtLastByte(interim
            + "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              "5\r\nwhole\r\n0\r\n\r\n",
        "whole");
    checkCompleteAtEndOfStream(interim + "HTTP/1.1 200 OK\r\n\r\nwhole");
    checkCompleteAtLastByte(interim + "HTTP/1.1 204 No Content\r\n\r\n", "");
}

TEST(TruncatedAnswers, ToHead)
{
    method = "HEAD";
    checkCompleteAtLastByte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "");
    checkCompleteAtLastByte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "");
    checkCompleteAtLastByte("HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "");
}

TEST(TruncatedAnswers, ToHeadAfterAnInterimAnswer)
{
    method = "HEAD";
    checkCompleteAtLastByte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "");
}
