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

// What callers and servers have seen, held against what must be true at every moment. Each break is kept as
// a line.
class Promises {
public:
    using Servers = std::vector<const StandInServer*>;

    // The requests a second that the limited team may have run, and as many at once.
    static constexpr int limitedRate = 20;
    static constexpr const char* limitedTeam = "limited";

    // A request has begun to run. `others` are the further servers of its service.
    void ran(const StandInServer& server, const HttpRequest& request, const Servers& others, TimePoint now);

    // A server has taken a range that it did not hold.
    void took(const StandInServer& server, const StandInServer::Held& range, const Servers& others);

    // A caller got an answer to its request.
    void answered(const HttpRequest& request, const HttpResponse& response);

    void broken(const std::string& what);
    const std::vector<std::string>& breaks() const { return breaks_; }

    bool hasRun(const std::string& requestId) const { return runs_.count(requestId) > 0; }
    int64_t runCount() const { return static_cast<int64_t>(runs_.size()); }
    int64_t servedCount() const { return served_; }

private:
    struct Taken {
        StandInServer::Held range;
        const StandInServer* server = nullptr;
    };

    void checkRate(TimePoint now);

    std::map<std::string, std::multiset<std::string>> runs_; // Servers by request id.
    std::set<std::string> refused_; // Ids that must not run.
    std::vector<Taken> taken_;
    std::deque<TimePoint> limitedRuns_;
    std::vector<std::string> breaks_;
    int64_t served_ = 0;
};

}
