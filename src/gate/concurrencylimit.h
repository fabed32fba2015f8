#pragma once

#include "base/time.h"

namespace persimmonfield {

// How many requests a backend server is given at once. Starts low, grows with success, shrinks when the
// server sheds load or slows down, and never exceeds the slots or what a cold server says it bears. Not
// thread-safe.
class ConcurrencyLimit {
public:
    explicit ConcurrencyLimit(int slots);

    int limit() const;
    int inFlight() const { return inFlight_; }
    bool hasRoom() const { return inFlight_ < limit(); }

    // A request is given to the server; only when there is room.
    void begin();

    // A request came back from the server after that time.
    void succeed(Duration latency);

    // The server refused a request because it has too much to do.
    void shed();

    // A request ended without an answer.
    void fail();

    // The server was lost, or its process is a new one: begin anew, with one request at a time until the
    // server says what it bears.
    void turnCold();

    // What the server says it bears while cold; the slots when it is warm.
    void setBearable(int requests);

private:
    void end();

    int slots_;
    int bearable_;
    int inFlight_ = 0;
    double limit_;
    Duration usualLatency_ { 0 };
    Duration smoothedLatency_ { 0 };
};

}
