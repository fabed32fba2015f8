#include "messages/frame.h"
#include "messages/reply.h"

#include <random>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;

TEST_GROUP(Frame) {};

TEST(Frame, ComesBackWithItsBodyByteForByte)
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

TEST(Frame, MalformedBytesAreRefusedWithAnError)
{
    Frame frame;
    frame.message.cancel = peer::Cancel { 1 };
    const std::string valid = encodeFrame(frame);
    const bool isTrue = rc::check("any bytes decode or are refused", [&](uint64_t seed) {
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
    CHECK_FALSE(decodeFrame(std::string(largestFrame + 1, 'x')).ok());
}

TEST_GROUP(Refusal) {};

TEST(Refusal, EveryReasonHasATokenOfItsOwn)
{
    for (int i = 0; i <= static_cast<int>(RefusalReason::Internal); ++i) {
        const auto reason = static_cast<RefusalReason>(i);
        CHECK(refusalReason(refusalToken(reason)) == reason);
    }
}
