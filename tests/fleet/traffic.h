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
    NoAnswer, // The entrance itself gave no answer.
};

// One request that was sent, under a target of its own so that its runs can be counted.
struct SentRequest {
    std::string target;
    std::string reason; // Of a refusal.
    CallOutcome outcome = CallOutcome::NoAnswer;
    TimePoint began;
    TimePoint ended;
};

struct TrafficSpec {
    std::string method = "POST";
    std::string pathPrefix = "/signatures/"; // The number of the request follows.
    std::string team = "large";
    std::vector<size_t> entrances; // Indexes of instances.
    int threads = 4;
    Milliseconds pause { 2 }; // Between the requests of one thread.
};

// Callers that send requests until they are stopped and remember how each ended.
class Traffic {
public:
    Traffic(Fleet& fleet, TrafficSpec spec);
    ~Traffic();

    // Ends the callers and answers all requests in the order of their end.
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

// How often each target ran, summed over the servers that answer.
std::map<std::string, int> countRuns(const Fleet& fleet);

// The indexes of all instances but those, to send through.
std::vector<size_t> entrancesBut(const Fleet& fleet, const std::set<size_t>& left);

}
