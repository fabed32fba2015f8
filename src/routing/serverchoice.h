#pragma once

#include "base/time.h"
#include "membership/instance.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace persimmonfield {

// Load balancer for the servers of a service that is not partitioned by key. Takes the cheapest of a few
// random servers, by requests in flight, recent latency and the load that the server reports. Relies mainly
// on what this instance observes itself, because load reports lag behind.
//
// Outlier detection: a server that fails repeatedly or is much slower than the others is ejected, with a
// backoff that grows each time. Copies of idempotent requests then probe whether it has recovered; they do
// not delay any caller. Does no I/O; not thread-safe.
class ServerChoice {
public:
    // `random` returns uniformly distributed numbers.
    explicit ServerChoice(std::function<uint64_t()> random);

    // Chooses one of the servers that are not in `excluded`. Returns nullopt if there is none.
    std::optional<InstanceId> choose(
        const std::vector<InstanceId>& servers, const std::vector<InstanceId>& excluded, TimePoint now);

    // Returns an ejected server that is due for a probe, and schedules its next probe.
    std::optional<InstanceId> nextProbe(const std::vector<InstanceId>& servers, TimePoint now);

    // The load that a server reports.
    struct Load {
        int pendingRequests = 0; // Running and queued requests.
        int slots = 1;
        double pace = 1; // Current service time relative to the usual one.
        Duration usualWork { 0 }; // Service time, scaled like the latency in succeeded(); zero if unknown.
    };
    void recordLoad(const InstanceId& server, const Load& load, TimePoint now);

    // Sets the factor by which the distance to a server raises its cost; 1 for a near server.
    void setDistance(const InstanceId& server, double factor) { stats_[server].distance = factor; }

    void began(const InstanceId& server);

    // The server answered; `latency` is the time it took.
    void succeeded(const InstanceId& server, Duration latency, TimePoint now);

    // The request ended without an answer from the server.
    void failed(const InstanceId& server, TimePoint now);

    // The request was abandoned after `elapsed`, before an answer. Not counted as a failure, but `elapsed` is
    // a lower bound of the latency: it can eject the server as an outlier.
    void abandoned(const InstanceId& server, Duration elapsed, TimePoint now);

    // Returns the delay after which a hedged copy is worth sending, which is far above the average latency.
    Duration hedgeDelay() const;

private:
    struct ServerStats {
        int inFlight = 0;
        Duration peakLatency { 0 }; // Rises immediately and decays slowly.
        TimePoint lastSample;
        int consecutiveFailures = 0;
        int consecutiveOutliers = 0; // Outlier samples since the last good sample.
        TimePoint ejectedUntil;
        Load load; // `usualWork` is kept until it is reported again; the other fields expire soon.
        TimePoint loadTime;
        int startedSinceLoad = 0; // Requests sent since the last load report.
        double distance = 1;
        bool isSuspect = false; // Has been ejected and has had no good sample since.
    };

    std::vector<InstanceId> nearestServers(const std::vector<InstanceId>& pool);
    double cost(const InstanceId& server, TimePoint now);
    static double loadFactor(const ServerStats& stats, TimePoint now);
    bool isEligible(const InstanceId& server, TimePoint now);
    // The latency above which a server is an outlier among the observed servers.
    Duration outlierThreshold() const;
    void recordSample(ServerStats& stats, Duration latency, TimePoint now);
    static void eject(ServerStats& stats, Duration baseTime, int doublings, TimePoint now);

    std::function<uint64_t()> random_;
    std::map<InstanceId, ServerStats> stats_;
    Duration averageLatency_ { 0 };
    Duration averageDeviation_ { 0 };
};

}
