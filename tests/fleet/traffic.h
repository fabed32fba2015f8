#pragma once

#include "fleet/fleet.h"

#include <atomic>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace persimmonfield::testing {

enum class CallOutcome {
    Answered,
    NotRun,
    Unknown,
    NoAnswer, // The instance that received the request gave no answer.
};

// One request that was sent. Its target is unique so that its runs can be counted.
struct SentRequest {
    std::string target;
    std::string reason; // Reason of a refusal.
    CallOutcome outcome = CallOutcome::NoAnswer;
    TimePoint began;
    TimePoint ended;
};

struct TrafficSpec {
    std::string method = "POST";
    std::string pathPrefix = "/signatures/"; // The number of the request follows.
    std::string team = "large";
    std::vector<size_t> ingressInstances; // Indexes of the instances that receive the requests.
    int threads = 4;
    Milliseconds pause { 2 }; // Pause between the requests of one thread.
};

// Callers that send requests until they are stopped and record the outcome of each.
class Traffic {
public:
    Traffic(Fleet& fleet, TrafficSpec spec);
    ~Traffic();

    // Stops the callers and returns all requests in the order in which they ended.
    std::vector<SentRequest> stop();

    size_t sent() const { return sent_; }

private:
    void run(int thread);

    Fleet& fleet_;
    TrafficSpec spec_;
    std::atomic<bool> isStopping_ { false };
    std::atomic<size_t> sent_ { 0 };
    std::mutex mutex_;
    std::vector<SentRequest> requests_;
    std::vector<std::thread> threads_;
};

// The number of runs of each target, summed over the servers that answer.
std::map<std::string, int> countRuns(const Fleet& fleet);

// The indexes of all instances except the excluded ones.
std::vector<size_t> instancesExcept(const Fleet& fleet, const std::set<size_t>& excluded);

}
