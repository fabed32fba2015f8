#include "messages/frame.h"
#include "messages/reply.h"
#include "standins/answerheads.h"

#include <random>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;

TEST_GROUP(Frame) {};

TEST(Frame, RoundTripPreservesMessageAndBody)
{
    Frame frame;
    frame.message.bodyChunk = peer::BodyChunk { 7, true };
    for (int i = 0; i < 256; ++i)
        frame.body += static_cast<char>(i);
    const auto decoded = decodeFrame(encodeFrame(frame));
    CHECK(decoded.ok());
    CHECK(decoded->body == frame.body);
    LONGS_EQUAL(7, decoded->message.bodyChunk->id);
    CHECK_FALSE(decoded->message.digest.has_value());
    frame.message.clock = peer::HybridClock { 3, 4 };
    LONGS_EQUAL(7, decodeFrame(encodeFrame(frame))->message.bodyChunk->id);
    Frame onlyClock;
    onlyClock.message.clock = peer::HybridClock { 3, 4 };
    CHECK_FALSE(decodeFrame(encodeFrame(onlyClock)).ok());
}

TEST(Frame, MalformedBytesAreRejected)
{
    Frame frame;
    frame.message.cancel = peer::Cancel { 1 };
    const std::string valid = encodeFrame(frame);
    const bool isTrue = rc::check("mutated frames are decoded or rejected", [&](uint64_t seed) {
        std::mt19937_64 random(seed);
        std::string bytes = valid;
        for (int i = 0; i < 3; ++i)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        bytes.resize(random() % (bytes.size() + 1));
        const auto decoded = decodeFrame(bytes);
        RC_ASSERT(decoded.ok() || absl::IsInvalidArgument(decoded.status()));
    });
    CHECK(isTrue);
    CHECK_FALSE(decodeFrame(encodeFrame({})).ok());
    CHECK_FALSE(decodeFrame(std::string(maxFrameBytes + 1, 'x')).ok());
}

// A frame whose nesting would overflow the stack of the process that reads it.
TEST(Frame, DeeplyNestedBytesAreRejected)
{
    const std::string arrayOfOne(1, '\x81');
    const std::string mapOfOne = "\xA1\x61m";
    for (const std::string& opening : { arrayOfOne, mapOfOne }) {
        std::string bytes;
        while (bytes.size() + opening.size() < maxFrameBytes)
            bytes += opening;
        CHECK_FALSE(decodeFrame(bytes).ok());
        bytes.back() = '\x01';
        CHECK_FALSE(decodeFrame(bytes).ok());
    }
    // Of indefinite length.
    CHECK_FALSE(decodeFrame(std::string(maxFrameBytes, '\x9F')).ok());
}

TEST_GROUP(ReplyMessage) {};

TEST(ReplyMessage, CarriesAllFieldsOfARefusal)
{
    Reply refused = notRun(RefusalReason::QueueFull, "too busy");
    refused.retryAfter = std::chrono::milliseconds(70);
    refused.load = peer::ServerLoad {};
    refused.load->slots = 9;
    refused.owner = peer::KeyOwner {};
    refused.owner->revision = 12;
    const auto message = replyMessage(3, refused);
    LONGS_EQUAL(3, message.refusal->id);
    const Reply reply = replyFrom(*message.refusal);
    CHECK(reply.isNotRun() && reply.reason == RefusalReason::QueueFull);
    STRCMP_EQUAL("too busy", reply.detail.c_str());
    LONGS_EQUAL(70, reply.retryAfter.count());
    LONGS_EQUAL(9, reply.load->slots);
    LONGS_EQUAL(12, reply.owner->revision);
    CHECK_FALSE(replyFrom(*replyMessage(4, unknownOutcome(RefusalReason::LinkLost)).refusal).isNotRun());
}

TEST(ReplyMessage, CarriesAnAnswerWithItsBodyLength)
{
    Reply answered;
    answered.isAnswer = true;
    answered.status = 204;
    answered.headers = { { "Name", "value" } };
    answered.body = "four";
    const auto message = replyMessage(5, answered);
    LONGS_EQUAL(4, message.forwardedAnswer->bodyLength);
    const Reply reply = replyFrom(*message.forwardedAnswer, "four");
    LONGS_EQUAL(204, reply.status);
    STRCMP_EQUAL("four", reply.body.c_str());
    STRCMP_EQUAL("value", reply.headers.front().value.c_str());
}

TEST(ReplyMessage, AnswerWithAStatusThatIsNoneIsOfUnknownOutcome)
{
    for (const int64_t status : { -200L, 0L, 99L, 101L, 199L, 600L, 999L, 4'294'967'496L }) {
        peer::ForwardedAnswer answer {};
        answer.status = status;
        const Reply reply = replyFrom(answer, {});
        CHECK_TEXT(!reply.isAnswer && !reply.isNotRun(), std::to_string(status).c_str());
    }
}

TEST(ReplyMessage, AnswerWithAFieldNameThatIsNoneIsOfUnknownOutcome)
{
    for (const std::string& name : invalidFieldNames()) {
        peer::ForwardedAnswer answer {};
        answer.status = 200;
        answer.headers = { { "Id", "1" }, { name, "4" } };
        const Reply reply = replyFrom(answer, {});
        CHECK_TEXT(!reply.isAnswer && !reply.isNotRun(), printable(name).c_str());
    }
}

TEST_GROUP(Refusal) {};

TEST(Refusal, EveryReasonHasAUniqueToken)
{
    for (int i = 0; i <= static_cast<int>(RefusalReason::Internal); ++i) {
        const auto reason = static_cast<RefusalReason>(i);
        CHECK(refusalReason(refusalToken(reason)) == reason);
    }
}
