// Answers that are cut at each of their bytes, in order or by a reset: only whole ones count.

#include "http/httpclient.h"
#include "standins/scriptedserver.h"

#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;

namespace {

const Address address { "127.0.0.1", 18'755 };
constexpr Milliseconds patience { 5'000 };
constexpr Milliseconds longTime { 10'000 };

enum class Cut {
    End,
    Reset, // At once.
    ResetAfterReading, // Of what was sent.
};

}

TEST_GROUP(CutAnswers)
{
    asio::io_context loop { 1 };
    std::string bytes;
    Cut cut = Cut::End;
    ScriptedServer server { loop, address, [this](ScriptedConnection& connection, const std::string&) {
                               connection.send(bytes);
                               if (cut == Cut::End)
                                   connection.shutdownSend();
                               else if (cut == Cut::Reset)
                                   connection.reset();
                           } };
    std::string method = "GET";
    std::optional<CallResult> result;

    void runUntil(const std::function<bool()>& condition)
    {
        const TimePoint end = BootClock::now() + longTime;
        while (!condition() && BootClock::now() < end) {
            loop.restart();
            loop.run_one_for(Milliseconds(20));
        }
        CHECK(condition());
    }

    const CallResult& callWith(const std::string& answer, Cut how)
    {
        bytes = answer;
        cut = how;
        result.reset();
        const size_t before = server.connections().size();
        HttpClientOptions options;
        options.address = address;
        HttpClient client(loop, options);
        client.call(
            { method, "/", {}, {} }, patience, [this](CallResult ended) { result = std::move(ended); });
        runUntil([this, before] {
            return server.connections().size() > before && !server.connections().back()->requests().empty();
        });
        if (how == Cut::ResetAfterReading) {
            while (!server.connections().back()->isAcknowledged())
                loop.poll();
            loop.restart();
            while (loop.poll() > 0) { }
            server.connections().back()->reset();
        }
        runUntil([this] { return result.has_value(); });
        return *result;
    }

    // The answer is whole with its last byte, whatever follows.
    void checkIsWholeAtItsLastByte(const std::string& answer, const std::string& body)
    {
        for (const Cut how : { Cut::End, Cut::Reset, Cut::ResetAfterReading }) {
            for (size_t size = 0; size < answer.size(); ++size) {
                const CallResult& ended = callWith(answer.substr(0, size), how);
                CHECK_TEXT(ended.outcome == CallOutcome::Lost, answer.substr(0, size).c_str());
            }
        }
        for (const Cut how : { Cut::End, Cut::ResetAfterReading }) {
            const CallResult& ended = callWith(answer, how);
            CHECK(ended.outcome == CallOutcome::Answered);
            STRCMP_EQUAL(body.c_str(), ended.response.body.c_str());
        }
    }

    // The answer has no length: what came of its body is whole if the connection ends in order.
    void checkIsWholeAtItsEnd(const std::string& answer)
    {
        const size_t headSize = answer.rfind("\r\n\r\n") + 4;
        for (size_t size = 0; size <= answer.size(); ++size) {
            for (const Cut how : { Cut::Reset, Cut::ResetAfterReading }) {
                const CallResult& ended = callWith(answer.substr(0, size), how);
                CHECK_TEXT(ended.outcome == CallOutcome::Lost, answer.substr(0, size).c_str());
            }
            const CallResult& ended = callWith(answer.substr(0, size), Cut::End);
            CHECK_TEXT((ended.outcome == CallOutcome::Answered) == (size >= headSize),
                answer.substr(0, size).c_str());
            if (size >= headSize)
                STRCMP_EQUAL(answer.substr(headSize, size - headSize).c_str(), ended.response.body.c_str());
        }
    }
};

TEST(CutAnswers, WithALength)
{
    checkIsWholeAtItsLastByte("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nwhole", "whole");
    checkIsWholeAtItsLastByte(
        "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nId: 1\r\n\r\nwhole answer", "whole answer");
    checkIsWholeAtItsLastByte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: 1\r\n\r\n", "");
}

TEST(CutAnswers, WithALengthThatClose)
{
    checkIsWholeAtItsLastByte(
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole", "whole");
    checkIsWholeAtItsLastByte("HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "whole");
}

TEST(CutAnswers, InChunks)
{
    checkIsWholeAtItsLastByte(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n", "whole");
    checkIsWholeAtItsLastByte("HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
                              "c;name=value\r\nwhole answer\r\n0;last\r\n\r\n",
        "whole answer");
    checkIsWholeAtItsLastByte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n"
                              "5\r\nwhole\r\n0\r\nSum: 1\r\nOther: 2\r\n\r\n",
        "whole");
}

TEST(CutAnswers, WithoutALength)
{
    checkIsWholeAtItsEnd("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole");
    checkIsWholeAtItsEnd("HTTP/1.1 200 OK\r\nConnection: close\r\nId: 1\r\n\r\nwhole");
    checkIsWholeAtItsEnd("HTTP/1.0 200 OK\r\nId: 1\r\n\r\nwhole");
}

TEST(CutAnswers, WithoutABody)
{
    for (const std::string line : { "HTTP/1.1 204 No Content\r\n", "HTTP/1.1 304 Not Modified\r\n" }) {
        checkIsWholeAtItsLastByte(line + "Id: 1\r\n\r\n", "");
        checkIsWholeAtItsLastByte(line + "Connection: close\r\n\r\n", "");
    }
    checkIsWholeAtItsLastByte("HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", "");
}

TEST(CutAnswers, BehindAnInterimAnswer)
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    checkIsWholeAtItsLastByte(interim + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "whole");
    checkIsWholeAtItsLastByte(interim
            + "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              "5\r\nwhole\r\n0\r\n\r\n",
        "whole");
    checkIsWholeAtItsEnd(interim + "HTTP/1.1 200 OK\r\n\r\nwhole");
    checkIsWholeAtItsLastByte(interim + "HTTP/1.1 204 No Content\r\n\r\n", "");
}

TEST(CutAnswers, ToHead)
{
    method = "HEAD";
    checkIsWholeAtItsLastByte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "");
    checkIsWholeAtItsLastByte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "");
    checkIsWholeAtItsLastByte("HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "");
}

TEST(CutAnswers, ToHeadBehindAnInterimAnswer)
{
    method = "HEAD";
    checkIsWholeAtItsLastByte(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "");
}
