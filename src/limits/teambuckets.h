#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace persimmonfield {

// A team's rate over the whole fleet.
struct TeamRate {
    int64_t perSecond = 0;
    int64_t burst = 0;
};

// This instance's part of each team's rate: a token bucket with the rate and burst divided by the number of
// instances that keep the team's tokens, and as much deeper as its part of the slack; nothing fills the
// bucket of an instance that does not. Tokens move between instances only by being taken out of one bucket
// and put into another, so the sum over the fleet holds whatever is lost, and also while instances cannot
// talk to one another. Pure.
class TeamBuckets {
public:
    // Replaces all rates; what is left of a team's tokens stays, up to the new burst. The bucket of a new
    // team fills from now on.
    void setRates(std::map<std::string, TeamRate> rates, TimePoint now);

    // This instance keeps that part of the team's tokens, from none to all. One that did not keep any begins
    // after a while, when the instance that kept them before has noticed.
    void setPart(const std::string& team, double part, TimePoint now);

    // Requests by which the fleet may exceed a team's burst because many instances keep its rate.
    void setSlack(int64_t requests) { slack_ = static_cast<double>(requests); }

    // The team's rate; null when it has none.
    const TeamRate* rate(const std::string& team) const;

    std::vector<std::string> limitedTeams() const;

    // Whether the team has a rate at all.
    bool isLimited(const std::string& team) const;

    // Spends one token if there is one. A team without a rate has always one.
    bool trySpend(const std::string& team, TimePoint now);

    // Takes tokens out for another instance: at most `wanted`, and none that this one will need soon itself.
    int64_t lend(const std::string& team, int64_t wanted, TimePoint now);

    // Puts tokens in that another instance lent; beyond a small stock they are lost.
    void add(const std::string& team, int64_t tokens, TimePoint now);

    // How many tokens are worth borrowing beyond the ones that are waited for now.
    int64_t shortage(const std::string& team, TimePoint now);

    // When the whole fleet will have gained so many tokens.
    Milliseconds refillTime(const std::string& team, int64_t tokens) const;

private:
    struct Bucket {
        double level = 0;
        double part = 0; // Of the team's rate and burst.
        bool hasPart = false; // Whether it is known which part.
        TimePoint filledAt; // In the future while it is not to be filled yet.
        double usedPerSecond = 0;
        int64_t usedLately = 0;
        TimePoint usedSince;
    };

    Bucket& filled(const std::string& team, TimePoint now);
    double capacity(const Bucket& bucket, const TeamRate& rate) const;

    std::map<std::string, TeamRate> rates_;
    double slack_ = 0;
    std::map<std::string, Bucket> buckets_; // By team.
};

}
