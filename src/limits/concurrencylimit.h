#pragma once

#include "base/time.h"
#include "limits/usualwork.h"

#include <optional>
#include <string>
#include <vector>

namespace persimmonfield {

// A change of the learned concurrency, with the figures that decided it.
struct ConcurrencyChange {
    int from = 0;
    int to = 0;
    double gainBefore = 0; // Throughput at `to` relative to that at `from` just before, minus 1.
    double gainAfter = 0; // Likewise, relative to that at `from` just after.
    double slowness = 0; // Latency at `from` relative to that at `to`, minus 1.
};

// Limit on the number of concurrent requests to a backend server, learned from its answers alone.
//
// The best concurrency is the one with the highest throughput. While requests run at the limit, the
// throughput is the limit divided by the latency (Little's law), so it is compared by trials: the limit is
// changed for some answers and then set back, and the change is kept only if the throughput was higher than
// both before and after. So a disturbance, or a lasting slowdown, that happens to coincide with a trial is
// not mistaken for its effect. Latencies are compared within each route and at the pace that the server
// tells, see UsualWork. A lower limit is tried only while the latency at the limit is so much higher than at
// low concurrency that less concurrency may pay off.
//
// Bounds for a server with requests always waiting, once it has answered 300 of them: its throughput is 85 %
// of the best on average over all servers, 70 % over those whose throughput at all slots is below 75 %, and
// for each server at least 70 % of that at all slots. Servers that do not slow down with their concurrency
// keep 98 % of their slots, and 90 % during disturbances or a lasting slowdown. A change of the server starts
// new trials at once; otherwise, trials that fail are repeated after 1 s at first and after 8 s at most.
// `usualWork` follows a lasting change within 2 s, see UsualWork.
//
// Beneath the learned limit, the limit shrinks to half when the server sheds load, and to one request at a
// time when requests remain without an answer; it grows again with the answers. It never exceeds the slots or
// the capacity that a cold server reports, and is never less than 1. Does no I/O and reads no clock; not
// thread-safe.
class ConcurrencyLimit {
public:
    // A request that is sent to the server.
    struct Call {
        TimePoint startedAt;
        double startLoad = 0;
        double startPace = 1;
    };

    // `initialLimit` is the limit until answers arrive.
    explicit ConcurrencyLimit(int slots, int initialLimit = 1);

    // The number of requests that may run now.
    int limit() const;
    // The same without the trial that goes on.
    int settledLimit() const { return bounded(learned_); }
    int inFlight() const { return inFlight_; }
    bool hasRoom() const { return inFlight_ < limit(); }

    // A request is sent to the server. Each call is followed by one of the five functions below.
    Call begin(TimePoint now);

    // The server answered. `pace` is the time that work takes on its machine, relative to the usual one.
    void succeed(const Call& call, const std::string& route, double pace, TimePoint now);

    // The server refused the request because it is overloaded.
    void shed(const Call& call, TimePoint now);

    // The request ended without an answer from the server.
    void fail(const Call& call, TimePoint now);

    // The caller no longer waits for the answer. Counts as a failure if the server took much longer than is
    // usual for the route.
    void abandon(const Call& call, const std::string& route, TimePoint now);

    // The request ended in a way that says nothing about the server.
    void release(TimePoint now) { end(now); }

    // The connection to the server was lost, or the server restarted. Forgets what was learned. Allows one
    // request at a time until the server reports its capacity.
    void reset();

    // Sets the upper bound: the capacity that the server reports while it is cold, or the number of slots
    // when it is warm.
    void setServerCapacity(int requests);

    // See UsualWork::work().
    Duration usualWork(const std::string& route) const { return usualWork_.work(route); }

    // The last change of the learned limit that has not been taken yet.
    std::optional<ConcurrencyChange> takeChange();

private:
    enum class Phase { Hold, Trial, Return };

    // The slowness of answers to requests that ran at the limit.
    struct Recent {
        std::vector<double> slowness;
        TimePoint last;
    };

    double loadUntil(TimePoint now) const;
    void end(TimePoint now);
    int highestLimit() const;
    int bounded(int limit) const;
    void grow();
    void observe(double slowness, double concurrency, TimePoint now);
    void startTrial(TimePoint now);
    bool mayGainBelow() const;
    int lowerLimit() const;
    void enter(Phase phase, int limit, TimePoint now);
    void endTrial(bool isConclusive, TimePoint now);
    double gainOver(const Recent& held) const;

    int slots_;
    int initialLimit_;
    int serverCapacity_;
    int inFlight_ = 0;
    double load_ = 0; // Requests in flight, integrated over the time, in nanoseconds.
    TimePoint loadAt_;
    double pace_ = 1;
    Duration meanLatency_ { 0 };
    UsualWork usualWork_;

    double ramp_; // Limit due to shedding, failures and starts.
    int rampGoal_; // Up to here `ramp_` grows quickly.
    TimePoint shedAt_;
    int failuresInRow_ = 0;

    int learned_;
    Phase phase_ = Phase::Hold;
    int trialLimit_ = 0;
    TimePoint phaseBegan_;
    Recent before_;
    Recent during_;
    Recent after_;
    std::optional<double> calmSlowness_; // Mean slowness at low concurrency.
    double settledSlowness_ = 0; // UsualWork::slowness() at the end of the last trial.
    Duration lowerInterval_;
    Duration raiseInterval_;
    TimePoint nextLower_;
    TimePoint nextRaise_;
    std::optional<ConcurrencyChange> change_;
};

}
