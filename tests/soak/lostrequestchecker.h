#pragma once

#include "soak/invariantchecker.h"
#include "soak/keepalivecaller.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace persimmonfield::soak {

// Classifies the requests whose connection a daemon closed without a response. While only planned operations
// are in progress, such a loss is a violation if the request ran, or if it was sent well before the close.
class LostRequestChecker {
public:
    // The circumstances under which the connection was closed.
    struct Context {
        std::string machine;
        bool isUndisturbed = false; // No fault was active shortly before the request or since.
        TimePoint stoppedAt; // When the machine last received SIGTERM.
        Duration schedulingDelay {}; // How late the test process ran since the request was sent.
    };

    explicit LostRequestChecker(InvariantChecker& invariants)
        : invariants_(invariants)
    {
    }

    void recordRun(const std::string& requestId, TimePoint workUntil) { workUntil_[requestId] = workUntil; }
    void add(const KeepAliveCaller::InFlightRequest& inFlight, Context context);

    // Classifies the lost requests that have had enough time to start running since, or all of them.
    void classify(bool isAll);

    std::string summary() const;

private:
    struct LostRequest {
        KeepAliveCaller::InFlightRequest inFlight;
        Context context;
        TimePoint lostAt;
    };

    void classify(const LostRequest& lost);
    bool wasRunningUntilEndOfGrace(const LostRequest& lost) const;
    void reportViolation(const LostRequest& lost);

    InvariantChecker& invariants_;
    std::map<std::string, TimePoint> workUntil_; // When the last run of each request ends, by request id.
    std::vector<LostRequest> pending_;
    int64_t duringFaults_ = 0;
    int64_t raced_ = 0;
    int64_t afterClose_ = 0;
    int64_t late_ = 0;
    int64_t whileSending_ = 0;
};

}
