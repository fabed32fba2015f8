#include "base/address.h"
#include "base/boundedqueue.h"
#include "base/counters.h"
#include "base/hashing.h"
#include "base/logger.h"
#include "base/timeline.h"

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;

TEST_GROUP(Base) {};

TEST(Base, BoundedQueueKeepsOrderRejectsWhenFullAndDrainsWhenClosed)
{
    BoundedQueue<int> queue(2);
    CHECK(queue.tryPush(1));
    CHECK(queue.tryPush(2));
    CHECK_FALSE(queue.tryPush(3));
    LONGS_EQUAL(1, *queue.pop(Duration::zero()));
    queue.close();
    CHECK_FALSE(queue.tryPush(4));
    LONGS_EQUAL(2, *queue.pop(Duration::zero()));
    CHECK_FALSE(queue.pop(std::chrono::hours(1)).has_value());
}

TEST(Base, ParsesAddressesAndRejectsInvalidOnes)
{
    LONGS_EQUAL(80, parseAddress("10.0.0.1:80")->port);
    for (const char* invalid : { "", "10.0.0.1", "host:80", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:8x" })
        CHECK(absl::IsInvalidArgument(parseAddress(invalid).status()));
}

TEST(Base, HashesMatchKnownValues)
{
    STRCMP_EQUAL("e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855", sha256Hex("").c_str());
    CHECK(equalsInConstantTime("same", "same"));
    CHECK_FALSE(equalsInConstantTime("same", "other"));
    LONGS_EQUAL(32, randomHex(16).size());
}

TEST(Base, CountersAreExposedAsText)
{
    Counters counters;
    counters.counter("refusals_total", "reason", "no-key") += 2;
    STRCMP_EQUAL("persimmonfield_refusals_total{reason=\"no-key\"} 2\n", counters.exposition().c_str());
}

TEST(Base, HistogramsAreExposedAsCumulativeBuckets)
{
    Counters counters;
    Histogram& histogram = counters.histogram("request_seconds", "service", "orders");
    for (const int milliseconds : { 1, 3, 20, 60'000 })
        histogram.observe(Milliseconds(milliseconds));
    const std::string text = counters.exposition();
    for (const char* line : { "persimmonfield_request_seconds_bucket{service=\"orders\",le=\"0.001\"} 1\n",
             "_bucket{service=\"orders\",le=\"0.005\"} 2\n", "_bucket{service=\"orders\",le=\"0.02\"} 3\n",
             "_bucket{service=\"orders\",le=\"10\"} 3\n", "_bucket{service=\"orders\",le=\"+Inf\"} 4\n",
             "persimmonfield_request_seconds_sum{service=\"orders\"} 60.024\n",
             "persimmonfield_request_seconds_count{service=\"orders\"} 4\n" })
        STRCMP_CONTAINS(line, text.c_str());
}

TEST(Base, TimelineIsMonotonicAndKeepsNewestEvents)
{
    setLogLevel(LogLevel::Error);
    Timeline timeline("one", 2);
    const HybridTime remote { wallClockNow() + std::chrono::seconds(30), 5 };
    timeline.observe(remote);
    CHECK(remote < timeline.now());
    const HybridTime wrong { wallClockNow() + std::chrono::hours(1), 0 };
    timeline.observe(wrong);
    CHECK(timeline.now() < wrong);
    for (const char* kind : { "first", "second", "third" })
        timeline.record(kind, nlohmann::json::object());
    const std::string lines = timeline.jsonLines();
    CHECK(lines.find("first") == std::string::npos);
    CHECK(lines.find("second") < lines.find("third"));
}
