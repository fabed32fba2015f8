#pragma once

#include "base/time.h"
#include "membership/instance.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace persimmonfield {

// Chooses among the servers of one service that is not divided by key by what this entrance sees itself,
// since load reports lag: the best of some random ones by requests in flight, recent latency and what the
// server says of itself. A server
// that fails or lags far behind the others is left out, for longer each time; copies of idempotent requests,
// which delay nobody, probe whether it has recovered. Pure; not thread-safe.
class ServerChoice {
public:
    // `random` answers evenly spread numbers.
    explicit ServerChoice(std::function<uint64_t()> random);

    // One of the servers, none of those in `excluded`; nothing when there is no other.
    std::optional<InstanceId> choose(
        const std::vector<InstanceId>& servers, const std::vector<InstanceId>& excluded, TimePoint now);

    // A left-out server whose time for a probe has come.
    std::optional<InstanceId> dueProbe(const std::vector<InstanceId>& servers, TimePoint now);

    // How busy a server said it is: requests that run or wait, its slots, and how long work takes by the
    // usual.
    struct Load {
        int busy = 0;
        int slots = 1;
        double pace = 1;
        Duration usualWork { 0 }; // As in `succeeded`; zero when not known.
    };
    void noteLoad(const InstanceId& server, const Load& load, TimePoint now);

    // By how much the cost of a server rises for its distance; 1 for a near one.
    void setDistance(const InstanceId& server, double factor) { observed_[server].distance = factor; }

    void began(const InstanceId& server);

    // The server answered after that time.
    void succeeded(const InstanceId& server, Duration latency, TimePoint now);

    // The server gave no answer.
    void failed(const InstanceId& server, TimePoint now);

    // The request was given up before an answer; says nothing of the server's health.
    void abandoned(const InstanceId& server, Duration elapsed, TimePoint now);

    // A delay after which a second copy is worth sending: beyond the usual latency by far.
    Duration hedgeDelay() const;

private:
    struct Observed {
        int inFlight = 0;
        Duration peakLatency { 0 }; // Rises at once, falls slowly.
        TimePoint lastSample;
        int failuresInRow = 0;
        int slowInRow = 0; // Samples as an outlier since the last good one.
        TimePoint leftOutUntil;
        Load load; // Its usual work holds until another is told, the rest for a moment.
        TimePoint loadAt;
        int begunSinceLoad = 0; // Requests sent since the load was told.
        double distance = 1;
        bool isSuspect = false; // Left out, and no good sample since.
    };

    std::vector<InstanceId> nearest(const std::vector<InstanceId>& pool);
    double cost(const InstanceId& server, TimePoint now);
    static double loadFactor(const Observed& observed, TimePoint now);
    bool isFit(const InstanceId& server, TimePoint now);
    // The latency above which a server is an outlier among those seen.
    Duration slowBound() const;
    void sample(Observed& observed, Duration latency, TimePoint now);
    static void leaveOut(Observed& observed, Duration firstTime, int times, TimePoint now);

    std::function<uint64_t()> random_;
    std::map<InstanceId, Observed> observed_;
    Duration usualLatency_ { 0 };
    Duration usualDeviation_ { 0 };
};

}
