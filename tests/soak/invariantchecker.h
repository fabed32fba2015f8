#pragma once

#include "base/time.h"
#include "http/httpmessage.h"
#include "standins/loopback.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace persimmonfield::soak {

// Checks what callers and servers observe against the invariants of the platform and records each violation
// as a line of text.
class InvariantChecker {
public:
    using Servers = std::vector<const StandInServer*>;

    // Rate limit of the limited team in requests per second, which is also its burst size.
    static constexpr int limitedRate = 20;
    static constexpr const char* limitedTeam = "limited";

    // Called when a request starts to run. `others` are the other current servers.
    void onRequestStarted(
        const StandInServer& server, const HttpRequest& request, const Servers& others, TimePoint now);

    // Called when a server acquires a range that it did not hold before.
    void onRangeAcquired(
        const StandInServer& server, const StandInServer::HeldRange& range, const Servers& others);

    // Called when a caller receives the response to its request.
    void onResponse(const HttpRequest& request, const HttpResponse& response);

    void reportViolation(const std::string& what);
    const std::vector<std::string>& violations() const { return violations_; }

    bool hasRun(const std::string& requestId) const { return runs_.count(requestId) > 0; }
    int64_t runCount() const { return static_cast<int64_t>(runs_.size()); }
    int64_t servedCount() const { return served_; }

private:
    struct Acquisition {
        StandInServer::HeldRange range;
        const StandInServer* server = nullptr;
    };

    void checkRateLimit(TimePoint now);

    std::map<std::string, std::multiset<std::string>> runs_; // Ids of the servers that ran it, by request id.
    std::set<std::string> rejected_; // Ids of requests that must not run.
    std::vector<Acquisition> acquisitions_;
    std::deque<TimePoint> limitedRuns_;
    std::vector<std::string> violations_;
    int64_t served_ = 0;
};

}
