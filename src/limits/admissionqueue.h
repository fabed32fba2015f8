#pragma once

#include "limits/coldratelimit.h"
#include "limits/loadmeter.h"
#include "limits/workestimate.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace persimmonfield {

// What becomes of requests that cannot be answered within their latency objective.
enum class LatePolicy {
    Refuse,
    // They run after all requests that can be in time, as long as they can be answered before their deadline.
    Serve,
};

// A request that asks to run at the backend server.
struct QueuedRequest {
    int64_t id = 0; // Ascending in the order of arrival.
    int64_t asker = 0; // The instance that has sent it.
    std::string route;
    int64_t priority = 0; // 0 is the most urgent of callers' requests; less are calls of running work.
    TimePoint objectiveEnd; // The end of the latency objective.
    TimePoint deadline;
};

// The state of the backend server that a decision depends on.
struct ServerRoom {
    size_t slots = 1; // The requests that may run at a time.
    size_t running = 0;
    Duration runningWork { 0 }; // Expected work that is left of the running requests.
    Duration runningSuspectWork { 0 }; // The part of it that is left of suspects.
    StartLimit cold;
};

// The decision on a request that has arrived.
struct Admission {
    bool isAdmitted = false;
    bool isLate = false; // Whether it is not expected to be answered within its objective.
    Duration wait { 0 }; // The expected time until it starts.
    Milliseconds retryAfter { 0 }; // If refused: when there should be room for it.
};

struct AdmissionQueueOptions {
    LatePolicy latePolicy = LatePolicy::Refuse;
    // Whether the waiting request is suspected of crashing servers. Suspects run one at a time.
    std::function<bool(int64_t id)> isSuspect = [](int64_t) { return false; };
};

// The requests that wait for a backend server. Decides for each request whether it may wait, which one starts
// next, which ones are refused, and when their callers may come back. Answers an overload as follows:
//
// - Calls of running work start first, since what waits for them holds a slot.
// - Of callers' requests the more urgent ones start first; of equally urgent ones those that can still be in
//   time. Less urgent ones get a small share of the starts, so that none starves.
// - Equally urgent requests start in turn of the instances that have sent them.
// - A request that cannot be answered before its deadline is refused as soon as that is expected.
//
// The last two, and serving late requests, apply to LatePolicy::Serve only. Does no I/O and reads no clock.
class AdmissionQueue {
public:
    explicit AdmissionQueue(AdmissionQueueOptions options);

    void setLatePolicy(LatePolicy policy) { options_.latePolicy = policy; }

    // Decides on a request that has arrived and does not wait yet.
    Admission decide(const QueuedRequest& request, const ServerRoom& room, TimePoint now);

    void add(const QueuedRequest& request, TimePoint now);
    // Removes the request, since it is cancelled. Returns false if it does not wait.
    bool remove(int64_t id);

    // Removes and returns the request that starts next.
    std::optional<int64_t> takeNext(bool isSuspectRunning, size_t slots, TimePoint now);

    // Removes and returns the requests that cannot be answered in time any more, or not before `processEnd`.
    std::vector<int64_t> takeHopeless(const ServerRoom& room, TimePoint processEnd, TimePoint now);
    // Removes and returns all requests.
    std::vector<int64_t> takeAll();
    // When takeHopeless() should be called again; TimePoint::max() if nothing waits.
    TimePoint nextReview(TimePoint processEnd, TimePoint now) const;

    bool isEmpty() const { return waiting_.empty(); }
    size_t size() const { return waiting_.size(); }

    WorkEstimate& work() { return work_; }
    const WorkEstimate& work() const { return work_; }
    // The work that is expected of the request, also if its route has no samples yet.
    Duration expectedWork(const QueuedRequest& request, TimePoint now) const;

private:
    enum class Stage {
        RunningWork, // Calls of requests that run.
        InTime,
        Late,
    };

    // The order in which requests are expected to start.
    struct Rank {
        Stage stage = Stage::InTime;
        int64_t priority = 0;
        int turn = 0; // The number of requests of its asker that precede it at this stage and priority.
        TimePoint latestStart;
        int64_t id = 0;

        bool operator<(const Rank& other) const
        {
            return std::tie(stage, priority, turn, latestStart, id)
                < std::tie(other.stage, other.priority, other.turn, other.latestStart, other.id);
        }
    };

    struct Entry {
        QueuedRequest request;
        TimePoint latestStart; // The latest one that allows an answer within the objective.
    };

    struct Ranked {
        Rank rank;
        const Entry* entry = nullptr;
    };

    bool servesLate() const { return options_.latePolicy == LatePolicy::Serve; }
    TimePoint latestStartOf(const QueuedRequest& request, TimePoint now) const;
    Duration likelyWork(const QueuedRequest& request) const;
    Rank rankOf(const Entry& entry, TimePoint now) const;
    std::vector<Ranked> ranked(TimePoint now) const;
    static void setTurn(Rank& rank, int64_t asker, const std::vector<Ranked>& others);
    Duration waitOf(Rank rank, int64_t asker, const ServerRoom& room, TimePoint now) const;
    Duration suspectWait(const Rank& rank, const ServerRoom& room, TimePoint now) const;
    static Duration waitBehind(Duration work, size_t requests, double overtaken, const ServerRoom& room);
    double overtakenShare(const Rank& rank, TimePoint now) const;
    Milliseconds returnTime(
        const QueuedRequest& request, Duration untilRoom, const ServerRoom& room, TimePoint now);
    std::vector<int64_t> hopelessByProjection(const ServerRoom& room, TimePoint processEnd, TimePoint now);
    std::optional<int64_t> starvedPriority() const;
    void recordStart(const Entry& entry, size_t slots, TimePoint now);

    AdmissionQueueOptions options_;
    WorkEstimate work_;
    std::map<int64_t, Entry> waiting_; // By id.
    std::map<int64_t, LoadMeter> demand_; // Started work per slot, by priority, without late requests.
    std::map<int64_t, int> passedOver_; // Starts of more urgent requests while the priority waited.
    std::map<int64_t, Duration> workOfAskers_; // Started work, from an equal start for each one that waits.
    Duration turn_ { 0 }; // The work of the asker that was served last.
    TimePoint reviewedAt_; // When all waiting requests were last checked.
    TimePoint nextReturn_; // The latest time that a refused caller was told to return at.
};

}
