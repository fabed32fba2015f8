// Replies between instances that come twice, late, or for another call.

#include "sidecar/peercalls.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <vector>

using namespace persimmonfield;

namespace {

const Address callerAddress { "127.0.0.1", 18'793 };
const Address gateAddress { "127.0.0.1", 18'794 };

}

TEST_GROUP(RepeatedReplies)
{
    asio::io_context loop { 1 };
    Counters counters;
    std::unique_ptr<PeerNetwork> network;
    std::unique_ptr<PeerCalls> calls;
    std::vector<std::string> answers; // Bodies in the order in which the calls got them.

    void setup() override
    {
        PeerNetworkOptions options;
        options.listenAddress = callerAddress;
        options.secret = "secret";
        options.counters = &counters;
        options.loop = &loop;
        options.onFrame = [](LinkId, const Frame&) {};
        options.onClosed = [](LinkId, bool) {};
        network = std::make_unique<PeerNetwork>(std::move(options));
        CHECK(network->start().ok());
        calls = std::make_unique<PeerCalls>(*network);
    }

    PeerCalls::CallId send()
    {
        return calls->send(gateAddress.text(), peer::ForwardedRequest {}, {},
            [this](const Reply& reply) { answers.push_back(reply.isAnswer ? reply.body : "refused"); });
    }

    void answer(const PeerCalls::CallId& call, const std::string& body)
    {
        peer::ForwardedAnswer message {};
        message.id = call.number;
        message.status = 200;
        message.bodyLength = static_cast<int64_t>(body.size());
        calls->onAnswer(call.link, message, body);
    }
};

TEST(RepeatedReplies, TheSecondCopyOfAnAnswerIsNotTakenForTheNextOne)
{
    const auto first = send();
    const auto second = send();
    CHECK(first.number != second.number);
    answer(first, "first");
    answer(first, "copy");
    peer::Refusal refusal {};
    refusal.id = first.number;
    calls->onRefusal(first.link, refusal);
    answer(second, "second");
    const auto third = send();
    answer(first, "late copy");
    answer(second, "late copy");
    answer(third, "third");
    CHECK(answers == std::vector<std::string>({ "first", "second", "third" }));
}

TEST(RepeatedReplies, AnAnswerToACancelledCallIsDropped)
{
    const auto first = send();
    calls->cancel(first);
    const auto second = send();
    CHECK(first.number != second.number);
    answer(first, "first");
    answer(second, "second");
    CHECK(answers == std::vector<std::string>({ "second" }));
}

// Numbers of calls are only compared together with the link.
TEST(RepeatedReplies, AnAnswerOnAnotherLinkIsDropped)
{
    const auto call = send();
    answer({ call.link + 1, call.number }, "other");
    CHECK(answers.empty());
    calls->onClosed(call.link, true);
    answer(call, "late");
    CHECK(answers == std::vector<std::string>({ "refused" }));
}
