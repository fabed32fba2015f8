#include "limits/loadmeter.h"

#include <CppUTest/TestHarness.h>

using namespace persimmonfield;

TEST_GROUP(LoadMeter)
{
    LoadMeter meter;
    TimePoint now { std::chrono::hours(1) };

    void pass(Milliseconds time)
    {
        now += time;
    }
};

TEST(LoadMeter, AConstantLevelBecomesTheMean)
{
    meter.set(0.8, now);
    pass(std::chrono::seconds(10));
    DOUBLES_EQUAL(0.8, meter.mean(now), 0.001);
}

TEST(LoadMeter, LevelsAreWeightedByTheirDuration)
{
    for (int i = 0; i < 100; ++i) {
        meter.set(1, now);
        pass(Milliseconds(30));
        meter.set(0, now);
        pass(Milliseconds(10));
    }
    DOUBLES_EQUAL(0.75, meter.mean(now), 0.05);
}

TEST(LoadMeter, AnOldLevelHasNoEffect)
{
    meter.set(4, now);
    pass(std::chrono::seconds(1));
    meter.set(0, now);
    pass(std::chrono::seconds(5));
    DOUBLES_EQUAL(0, meter.mean(now), 0.01);
}

TEST(LoadMeter, AddedTimeCountsAsALevelOfOne)
{
    for (int i = 0; i < 100; ++i) {
        meter.add(Milliseconds(120), now);
        pass(Milliseconds(40));
    }
    DOUBLES_EQUAL(3, meter.mean(now), 0.2);
}
