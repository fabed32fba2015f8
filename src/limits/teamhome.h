#pragma once

#include "base/time.h"
#include "limits/sharedemand.h"

#include <cstdint>
#include <list>
#include <map>
#include <string>

namespace persimmonfield {

// The one place that holds a team's token bucket. Tokens handed to instances count as outstanding until they
// are reported spent or returned, or have expired; `level + outstanding <= burst` always, and refill happens
// at the rate below that only. So over any window the fleet admits no more than burst + rate * window,
// whatever is lost. Pure; not thread-safe.
class TeamHome {
public:
    // A home begins empty and takes the most that an earlier home may have handed out as outstanding.
    TeamHome(int64_t ratePerSecond, int64_t burst, TimePoint now);

    // The configuration changed; tokens above the new burst are lost.
    void reconfigure(int64_t ratePerSecond, int64_t burst, TimePoint now);

    // Answers an instance's demand. One that came late or twice, by its sequence, is answered with nothing.
    ShareAnswer request(const std::string& instance, const ShareDemand& demand, TimePoint now);

    double level() const { return level_; }
    int64_t outstanding() const { return outstanding_; }

    // The most tokens that instances may hold of one home at once.
    static int64_t mostOutstanding(int64_t burst);

    // How long tokens handed out may be spent.
    static constexpr Milliseconds shareLifetime { 500 };

private:
    struct Share {
        std::string instance;
        int64_t tokens = 0;
        TimePoint expires;
        bool isExpired = false; // Not outstanding any more; kept to take a late report of what was spent.
    };

    void refill(TimePoint now);
    void expire(TimePoint now);
    int64_t settle(const std::string& instance, int64_t tokens);
    int64_t shareFor(int64_t wanted) const;

    int64_t rate_;
    int64_t burst_;
    double level_ = 0;
    int64_t outstanding_ = 0; // Tokens handed out, the earlier home's among them.
    int64_t inherited_ = 0; // What the earlier home may have handed out and has not expired.
    TimePoint lastRefill_;
    std::list<Share> shares_; // Oldest first; the first one stands for what an earlier home handed out.
    std::map<std::string, int64_t> lastSequence_; // By instance.
};

}
