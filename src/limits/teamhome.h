#pragma once

#include "base/time.h"
#include "limits/tokenrequest.h"

#include <cstdint>
#include <list>
#include <map>
#include <string>

namespace persimmonfield {

// A team's home: the only place that holds the team's token bucket. Tokens granted to instances are
// outstanding until they are reported as spent or returned, or expire. `level + outstanding <= burst` always
// holds, and the bucket refills at the rate only below that limit. So the fleet admits no more than burst +
// rate * window over any window, even if messages are lost. Does no I/O and reads no clock; not thread-safe.
class TeamHome {
public:
    // A new home starts empty and counts the most tokens that the previous home may have granted as
    // outstanding.
    TeamHome(int64_t ratePerSecond, int64_t burst, TimePoint now);

    // Applies a changed configuration. Tokens above the new burst are discarded.
    void reconfigure(int64_t ratePerSecond, int64_t burst, TimePoint now);

    // Answers an instance's request. A late or repeated request, by its sequence number, gets no tokens.
    TokenGrant grantTokens(const std::string& instance, const TokenRequest& request, TimePoint now);

    double level() const { return level_; }
    int64_t outstanding() const { return outstanding_; }

    // The most tokens of one home that may be outstanding at once.
    static int64_t maxOutstanding(int64_t burst);

    // How long granted tokens may be spent.
    static constexpr Milliseconds shareLifetime { 500 };

private:
    struct Share {
        std::string instance;
        int64_t tokens = 0;
        TimePoint expires;
        bool isExpired = false; // No longer outstanding; kept to match a late report of spent tokens.
    };

    void refill(TimePoint now);
    void expire(TimePoint now);
    int64_t settle(const std::string& instance, int64_t tokens);
    int64_t grantSize(int64_t wanted) const;

    int64_t rate_;
    int64_t burst_;
    double level_ = 0;
    int64_t outstanding_ = 0; // Granted tokens, including those of the previous home.
    int64_t inherited_ = 0; // Unexpired tokens that the previous home may have granted.
    TimePoint lastRefill_;
    std::list<Share> shares_; // Oldest first; the first one represents the previous home's grants.
    std::map<std::string, int64_t> lastSequence_; // By instance.
};

}
