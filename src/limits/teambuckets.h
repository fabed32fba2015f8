#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace persimmonfield {

// A team's rate limit over the whole fleet.
struct TeamRate {
    int64_t perSecond = 0;
    int64_t burst = 0;
};

// This instance's token buckets, one for each team with a rate limit. The team's rate and burst are divided
// by the number of instances that hold the team's tokens, and each of their buckets is deeper by its fraction
// of the slack. The bucket of any other instance does not refill. Tokens move between instances only by being
// taken out of one bucket and put into another. The fleet-wide limit therefore holds when messages are lost
// and when instances cannot reach each other. Does no I/O and reads no clock.
class TeamBuckets {
public:
    // Replaces all rates. A team's remaining tokens are kept up to the new burst. The bucket of a new team
    // starts to refill now.
    void setRates(std::map<std::string, TeamRate> rates, TimePoint now);

    // Sets the fraction of the team's tokens that this instance holds, from 0 to 1. When the fraction rises
    // from 0, the bucket starts to refill only after a delay, when the previous holder has learned of the
    // change.
    void setFraction(const std::string& team, double fraction, TimePoint now);

    // Sets the number of requests by which the fleet may exceed a team's burst because its rate is divided
    // among many instances.
    void setSlack(int64_t requests) { slack_ = static_cast<double>(requests); }

    // Returns the team's rate, or null if it has none.
    const TeamRate* rate(const std::string& team) const;

    std::vector<std::string> limitedTeams() const;

    // Whether the team has a rate limit.
    bool isLimited(const std::string& team) const;

    // Spends one token if one is available. Always succeeds for a team without a rate.
    bool trySpend(const std::string& team, TimePoint now);

    // Takes out up to `wanted` tokens for another instance, but none that this instance will need soon.
    // Returns their number.
    int64_t lend(const std::string& team, int64_t wanted, TimePoint now);

    // Adds tokens that another instance lent. Tokens more than a few above the capacity are discarded.
    void addBorrowed(const std::string& team, int64_t tokens, TimePoint now);

    // How many tokens to borrow in addition to those for the requests that wait now.
    int64_t shortage(const std::string& team, TimePoint now);

    // How long the whole fleet takes to gain this many tokens.
    Milliseconds refillTime(const std::string& team, int64_t tokens) const;

private:
    struct Bucket {
        double level = 0;
        double fraction = 0; // Of the team's rate and burst.
        bool isFractionKnown = false;
        TimePoint refilledAt; // In the future while the bucket must not refill yet.
        double usedPerSecond = 0;
        int64_t usedRecently = 0;
        TimePoint usedSince;
    };

    Bucket& refilled(const std::string& team, TimePoint now);
    double capacity(const Bucket& bucket, const TeamRate& rate) const;

    std::map<std::string, TeamRate> rates_;
    double slack_ = 0;
    std::map<std::string, Bucket> buckets_; // By team.
};

}
