// Answers whose status, length, coding, version or field names are none of HTTP/1.x.

#include "standins/answerheads.h"
#include "http/httpclient.h"
#include "standins/scriptedserver.h"

#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;

namespace {

const Address address { "127.0.0.1", 18'759 };
constexpr Milliseconds callTimeout { 5'000 };

std::string textOf(const CallResult& result)
{
    if (result.outcome == CallOutcome::Answered)
        return std::to_string(result.response.status) + " '" + result.response.body + "'";
    return "no answer: " + result.detail;
}

}

TEST_GROUP(AnswerHeads)
{
    asio::io_context loop { 1 };
    std::string bytes;
    ScriptedServer server { loop, address, [this](ScriptedConnection& connection, const std::string&) {
                               isSentByteByByte ? sendByteByByte(connection) : connection.send(bytes);
                               connection.shutdownSend();
                           } };
    bool isSentByteByByte = false;
    std::optional<CallResult> result;

    // Lets the client read each byte before the next one is sent.
    void sendByteByByte(ScriptedConnection & connection)
    {
        for (size_t i = 0; i < bytes.size() && !result; ++i) {
            connection.send(bytes.substr(i, 1));
            loop.poll();
        }
    }

    CallResult callWith(const std::string& answer)
    {
        bytes = answer;
        HttpClientOptions options;
        options.address = address;
        HttpClient client(loop, options);
        result.reset();
        client.call(
            { "GET", "/", {}, {} }, callTimeout, [this](CallResult ended) { result = std::move(ended); });
        while (!result) {
            loop.restart();
            loop.run_one();
        }
        return *result;
    }

    // What the calls got whose result is not the expected one, a line each.
    std::string wrongResults(const std::vector<AnswerHead>& heads)
    {
        std::string wrong;
        for (const AnswerHead& head : heads) {
            const CallResult ended = callWith(head.bytes);
            if (std::getenv("SHOW_ANSWER_HEADS"))
                std::cout << head.name << ": " << textOf(ended) << '\n';
            const bool isLost = ended.outcome == CallOutcome::Lost;
            const bool isAnswered
                = ended.outcome == CallOutcome::Answered && ended.response.status == head.status;
            if (head.status == 0 ? !isLost : !isAnswered)
                wrong += head.name + " -> " + textOf(ended) + "\n";
        }
        return wrong;
    }
};

TEST(AnswerHeads, WhatIsNoFinalAnswerIsLost)
{
    STRCMP_EQUAL("", wrongResults(answerHeads()).c_str());
}

TEST(AnswerHeads, AnswerWithAFieldNameThatIsNoneIsLost)
{
    STRCMP_EQUAL("", wrongResults(answerFieldNames()).c_str());
}

// Whether a field is valid must not depend on how the answer is divided into packets.
TEST(AnswerHeads, AnswerWithAFieldNameThatIsNoneIsLostIfItComesByteByByte)
{
    isSentByteByByte = true;
    STRCMP_EQUAL("", wrongResults(answerFieldNames()).c_str());
}

TEST(AnswerHeads, TheNextCallGetsItsOwnAnswer)
{
    std::vector<AnswerHead> heads = answerHeads();
    for (const AnswerHead& head : answerFieldNames())
        heads.push_back(head);
    for (const AnswerHead& head : heads) {
        callWith(head.bytes);
        const CallResult ended = callWith("HTTP/1.1 201 Made\r\nContent-Length: 4\r\n\r\nnext");
        CHECK_TEXT(ended.outcome == CallOutcome::Answered, head.name.c_str());
        LONGS_EQUAL(201, ended.response.status);
        STRCMP_EQUAL("next", ended.response.body.c_str());
    }
}
