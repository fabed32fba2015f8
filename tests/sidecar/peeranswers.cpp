// Answers that another instance, such as one of an earlier version, passes on although they are none.

#include "sidecar/peercalls.h"
#include "sidecar/storerelay.h"
#include "standins/answerheads.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace persimmonfield;

namespace {

constexpr Milliseconds testTimeout { 10'000 };
const Address callerAddress { "127.0.0.1", 18'767 };
const Address standInAddress { "127.0.0.1", 18'768 };
const Address storeAddress { "127.0.0.1", 18'769 };
const std::vector<int64_t> invalidStatuses { -200, 0, 1, 99, 100, 101, 199, 600, 999, 4'294'967'496 };

}

// An instance that calls a stand-in of another instance over a link.
TEST_GROUP(PeerAnswers)
{
    asio::io_context loop { 1 };
    Counters counters;
    peer::ForwardedAnswer answer {}; // What the stand-in sends, but for the id.
    peer::StoreAnswer storeAnswer {};
    std::unique_ptr<PeerNetwork> standIn;
    std::unique_ptr<PeerNetwork> network;
    std::unique_ptr<PeerCalls> calls;
    FleetDirectory directory;
    StoreTransport transport { loop, storeAddress };
    std::unique_ptr<StoreRelay> relay;

    void setup() override
    {
        standIn = startNetwork(
            standInAddress, [this](LinkId link, const Frame& frame) { respond(link, frame.message); });
        network = startNetwork(callerAddress, [this](LinkId link, const Frame& frame) {
            if (frame.message.forwardedAnswer)
                calls->onAnswer(link, *frame.message.forwardedAnswer, frame.body);
            else if (frame.message.storeAnswer)
                relay->onAnswer(link, *frame.message.storeAnswer);
        });
        calls = std::make_unique<PeerCalls>(*network);
        relay = std::make_unique<StoreRelay>(loop, "caller", directory, *network, transport, "Era");
        answer.status = 200;
        answer.bodyLength = 5;
    }

    std::unique_ptr<PeerNetwork> startNetwork(
        const Address& address, std::function<void(LinkId, const Frame&)> onFrame)
    {
        PeerNetworkOptions options;
        options.listenAddress = address;
        options.counters = &counters;
        options.loop = &loop;
        options.onFrame = std::move(onFrame);
        options.onClosed = [](LinkId, bool) {};
        auto started = std::make_unique<PeerNetwork>(std::move(options));
        CHECK(started->start("secret").ok());
        return started;
    }

    void respond(LinkId link, const peer::PeerMessage& request)
    {
        peer::PeerMessage message;
        if (request.storeCall) {
            message.storeAnswer = storeAnswer;
            message.storeAnswer->id = request.storeCall->id;
            standIn->send(link, { message, {} });
        } else if (request.forwardedRequest) {
            message.forwardedAnswer = answer;
            message.forwardedAnswer->id = request.forwardedRequest->id;
            standIn->send(link, { message, "whole" });
        }
    }

    template <typename Result> Result waitFor(const std::optional<Result>& result)
    {
        const TimePoint end = BootClock::now() + testTimeout;
        while (!result && BootClock::now() < end)
            loop.run_one_for(testTimeout);
        CHECK(result.has_value());
        return *result;
    }

    Reply call()
    {
        std::optional<Reply> reply;
        calls->send(standInAddress.text(), peer::ForwardedRequest {}, {},
            [&reply](Reply ended) { reply = std::move(ended); });
        return waitFor(reply);
    }

    CallResult callStore()
    {
        std::optional<CallResult> result;
        relay->prefer(network->linkTo(standInAddress.text()));
        CHECK(relay->call({ "GET", "/objects/config", {}, {} }, testTimeout,
            [&result](CallResult ended) { result = std::move(ended); }));
        return waitFor(result);
    }
};

TEST(PeerAnswers, AnswerWithAStatusThatIsNoneIsOfUnknownOutcome)
{
    for (const int64_t status : invalidStatuses) {
        answer.status = status;
        const Reply reply = call();
        CHECK_TEXT(!reply.isAnswer && !reply.isNotRun(), std::to_string(status).c_str());
    }
    for (const int64_t status : { 200, 204, 404, 599 }) {
        answer.status = status;
        const Reply reply = call();
        CHECK(reply.isAnswer);
        LONGS_EQUAL(status, reply.status);
        STRCMP_EQUAL("whole", reply.body.c_str());
    }
}

TEST(PeerAnswers, AnswerWithAFieldNameThatIsNoneIsOfUnknownOutcome)
{
    for (const std::string& name : invalidFieldNames()) {
        answer.headers = { { "Id", "1" }, { name, "4" } };
        const Reply reply = call();
        CHECK_TEXT(!reply.isAnswer && !reply.isNotRun(), printable(name).c_str());
    }
    answer.headers = { { "Id", "1" }, { "x_note.2", "a b" } };
    const Reply reply = call();
    CHECK(reply.isAnswer);
    LONGS_EQUAL(2, reply.headers.size());
}

TEST(PeerAnswers, StoreAnswerWithAStatusThatIsNoneIsLost)
{
    for (const int64_t status : invalidStatuses) {
        storeAnswer.status = status;
        CHECK_TEXT(callStore().outcome == CallOutcome::Lost, std::to_string(status).c_str());
    }
    for (const int64_t status : { 200, 409, 503 }) {
        storeAnswer.status = status;
        const CallResult result = callStore();
        CHECK(result.outcome == CallOutcome::Answered);
        LONGS_EQUAL(status, result.response.status);
    }
}
