// Answers whose connection is reset while the threaded daemon is still writing the request to its server.

#include "gate/backendserver.h"
#include "standins/scriptedserver.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;

namespace {

const Address address { "127.0.0.1", 18'765 };
constexpr Milliseconds requestTimeout { 10'000 };
// More than the buffers of both sockets take.
constexpr size_t uploadBytes = 16UL * 1'024 * 1'024;

}

TEST_GROUP(EarlyServerAnswers)
{
    asio::io_context loop { 1 };
    std::string bytes;
    bool endsInOrder = false;
    ScriptedServer standIn { loop, address, [this](ScriptedConnection& connection, const std::string&) {
                                connection.send(bytes);
                                if (endsInOrder)
                                    connection.shutdownSend();
                                connection.resetOnceAcknowledged();
                            } };

    // Sends a long upload to a server that answers while it is written and resets the connection, at once or
    // after it has ended it in order.
    ServerAnswer upload(const std::string& answer, bool isEndedInOrder)
    {
        standIn.leaveBodiesUnread();
        bytes = answer;
        endsInOrder = isEndedInOrder;
        BackendServer server(loop, address, std::make_shared<std::atomic<size_t>>(0));
        ServerRequest request;
        request.requestId = "r1";
        request.method = "POST";
        request.target = "/";
        request.body = std::string(uploadBytes, 'x');
        request.timeout = requestTimeout;
        return server.execute(request);
    }
};

TEST(EarlyServerAnswers, AnswerWithoutLengthIsOfUnknownOutcomeIfItsConnectionIsReset)
{
    for (const char* version : { "HTTP/1.1", "HTTP/1.0" }) {
        const ServerAnswer answer = upload(std::string(version) + " 200 OK\r\n\r\npart", false);
        CHECK_TEXT(answer.outcome == ServerOutcome::Unknown, answer.body.c_str());
    }
}

TEST(EarlyServerAnswers, AnswerWithoutLengthIsCompleteIfItsConnectionIsClosedInOrder)
{
    const ServerAnswer answer = upload("HTTP/1.1 200 OK\r\n\r\nwhole", true);
    CHECK(answer.outcome == ServerOutcome::Answered);
    STRCMP_EQUAL("whole", answer.body.c_str());
}
