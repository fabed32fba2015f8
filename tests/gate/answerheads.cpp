// Answers whose status, length, coding, version or field names are none of HTTP/1.x, on the path of the
// threaded daemon.

#include "standins/answerheads.h"
#include "gate/backendserver.h"
#include "standins/scriptedserver.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;

namespace {

const Address address { "127.0.0.1", 18'761 };
constexpr Milliseconds requestTimeout { 5'000 };

}

TEST_GROUP(ServerAnswerHeads)
{
    asio::io_context loop { 1 };
    std::string bytes;
    ScriptedServer standIn { loop, address, [this](ScriptedConnection& connection, const std::string&) {
                                connection.send(bytes);
                                connection.shutdownSend();
                            } };

    // What came of the requests whose answer is not the expected one, a line each.
    std::string wrongAnswers(const std::vector<AnswerHead>& heads)
    {
        std::string wrong;
        for (const AnswerHead& head : heads) {
            bytes = head.bytes;
            BackendServer server(loop, address, std::make_shared<std::atomic<size_t>>(0));
            ServerRequest request;
            request.requestId = "r1";
            request.method = "GET";
            request.target = "/";
            request.timeout = requestTimeout;
            const ServerAnswer answer = server.execute(request);
            const bool isUnknown = answer.outcome == ServerOutcome::Unknown;
            const bool isAnswered = answer.outcome == ServerOutcome::Answered && answer.status == head.status;
            if (head.status == 0 ? !isUnknown : !isAnswered)
                wrong += head.name + " -> " + std::to_string(answer.status) + " " + answer.body + "\n";
        }
        return wrong;
    }
};

TEST(ServerAnswerHeads, WhatIsNoFinalAnswerIsOfUnknownOutcome)
{
    STRCMP_EQUAL("", wrongAnswers(answerHeads()).c_str());
}

TEST(ServerAnswerHeads, AnswerWithAFieldNameThatIsNoneIsOfUnknownOutcome)
{
    STRCMP_EQUAL("", wrongAnswers(answerFieldNames()).c_str());
}
