#pragma once

#include "base/time.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <mutex>
#include <string>

namespace persimmonfield {

// A point in a hybrid logical clock: orders events of several processes so that an effect never stands
// before its cause, and stays close to the wall clock.
struct HybridTime {
    Milliseconds wall { 0 };
    int64_t logical = 0;

    bool operator<(const HybridTime& other) const
    {
        return wall != other.wall ? wall < other.wall : logical < other.logical;
    }
};

// One decision that matters to an operator.
struct TimelineEvent {
    HybridTime time;
    std::string instance;
    std::string kind;
    nlohmann::json fields;
};

// The newest events of one process, in memory.
class Timeline {
public:
    // Keeps at most `capacity` events.
    Timeline(std::string instance, size_t capacity);

    // Adds an event at the present time and logs it.
    void record(std::string kind, nlohmann::json fields);

    // Moves the clock past a time that another process sent, unless that is implausibly far ahead.
    void observe(HybridTime remote);

    HybridTime now();

    // The events, oldest first, one JSON object a line.
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
