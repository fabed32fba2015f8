#pragma once

#include "base/time.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <mutex>
#include <string>

namespace persimmonfield {

// A timestamp of a hybrid logical clock. It orders events of several processes so that no effect comes before
// its cause, and stays close to the wall clock.
struct HybridTime {
    Milliseconds wall { 0 };
    int64_t logical = 0;

    bool operator<(const HybridTime& other) const
    {
        return wall != other.wall ? wall < other.wall : logical < other.logical;
    }
};

// A decision that is relevant to operators.
struct TimelineEvent {
    HybridTime time;
    std::string instance;
    std::string kind;
    nlohmann::json fields;
};

// Holds the most recent events of one process in memory.
class Timeline {
public:
    // Keeps at most `capacity` events.
    Timeline(std::string instance, size_t capacity);

    // Adds an event with the current time and logs it.
    void record(std::string kind, nlohmann::json fields);

    // Advances the clock to a time received from another process, unless that is implausibly far ahead.
    void observe(HybridTime remote);

    HybridTime now();

    // The events as one JSON object per line, oldest first.
    std::string jsonLines() const;

private:
    HybridTime advance();

    mutable std::mutex mutex_;
    std::string instance_;
    size_t capacity_;
    HybridTime clock_;
    std::deque<TimelineEvent> events_;
};

}
