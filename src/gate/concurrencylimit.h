#pragma once

#include "base/time.h"

namespace persimmonfield {

// Adaptive limit on the number of concurrent requests to a backend server. The limit starts at one, grows
// with each success, and shrinks when the server sheds load or slows down. It never exceeds the number of
// slots or the capacity that a cold server reports. Not thread-safe.
class ConcurrencyLimit {
public:
    explicit ConcurrencyLimit(int slots);

    int limit() const;
    int inFlight() const { return inFlight_; }
    bool hasRoom() const { return inFlight_ < limit(); }

    // A request is sent to the server. Call only if hasRoom().
    void begin();

    // The server answered a request; `latency` is the time it took.
    void succeed(Duration latency);

    // The server refused a request because it is overloaded.
    void shed();

    // A request ended without an answer.
    void fail();

    // The connection to the server was lost, or the server restarted. Allows one request at a time until the
    // server reports its capacity.
    void reset();

    // Sets the upper bound: the capacity that the server reports while it is cold, or the number of slots
    // when it is warm.
    void setServerCapacity(int requests);

private:
    void end();

    int slots_;
    int serverCapacity_;
    int inFlight_ = 0;
    double limit_;
    Duration baselineLatency_ { 0 };
    Duration recentLatency_ { 0 };
};

}
