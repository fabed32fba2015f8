#pragma once

#include "base/time.h"
#include "limits/teambuckets.h"
#include "limits/teamtokenholders.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace persimmonfield {

// Decides which requests of a team are charged to its rate at once, wait for tokens of other instances, or
// are refused, and which instances are asked for tokens. It answers two loads: a large fleet in which a
// team's requests come to each instance rarely, so that nearly each one needs a token from one of a few
// holders; and a team far beyond its rate, which must neither overload these nor hold its callers up. Does no
// I/O and reads no clock.
class TeamTokens {
public:
    explicit TeamTokens(std::string self);

    void setRates(const std::map<std::string, TeamRate>& rates, TimePoint now);
    // Sets the number of requests by which the fleet may exceed a team's burst.
    void setSlack(int64_t requests) { buckets_.setSlack(requests); }
    // Sets all instances with the cores that each may use (0 if unknown), and those that are departing, which
    // are not asked.
    void setInstances(
        const std::map<std::string, double>& cores, std::set<std::string> departing, TimePoint now);

    // Returns the team's rate, or null if it has none.
    const TeamRate* rate(const std::string& team) const { return buckets_.rate(team); }

    using RequestId = uint64_t;
    // A question for tokens.
    struct Question {
        std::string holder;
        int64_t wanted = 0;
    };
    // What follows for one team.
    struct Decision {
        std::vector<RequestId> charged;
        std::vector<RequestId> refused;
        std::vector<Question> questions; // To be sent now.
    };

    // A request arrives. If it is neither charged nor refused, it waits.
    Decision charge(const std::string& team, RequestId request, TimePoint now);
    // A holder has answered a question.
    Decision onTokens(const std::string& team, const std::string& holder, int64_t tokens, TimePoint now);
    // A question could not be sent.
    Decision onUnreachable(const std::string& team, const std::string& holder, TimePoint now);
    // To be called in short intervals for each of waitingTeams().
    Decision step(const std::string& team, TimePoint now);
    std::vector<std::string> waitingTeams() const;

    // Answers another instance's question: takes out up to `wanted` tokens.
    int64_t lend(const std::string& team, int64_t wanted, TimePoint now);

    // The time after which a refused caller may find tokens.
    Milliseconds retryAfter(const std::string& team) const;

private:
    // The last known token level of another instance.
    struct Lender {
        double level = 0;
        TimePoint seenAt;
    };
    struct OpenQuestion {
        TimePoint at;
        int64_t wanted = 0;
    };
    struct Waiter {
        RequestId request = 0;
        TimePoint since;
    };
    struct Team {
        std::vector<std::string> holders;
        std::deque<Waiter> waiting;
        std::map<std::string, Lender> lenders; // By instance.
        std::map<std::string, OpenQuestion> questions; // By instance.
        TimePoint exhaustedUntil; // No instance had any tokens; none is asked until then.
    };

    void assignHolders(TimePoint now);
    void chargeWaiting(const std::string& name, Team& team, TimePoint now, Decision& decision);
    void ask(const std::string& name, Team& team, TimePoint now, Decision& decision);
    std::string likeliestLender(const std::string& name, const Team& team, TimePoint now) const;
    double holderRate(const std::string& name, const Team& team) const;
    Milliseconds exhaustedBackoff() const;

    std::string self_;
    TeamBuckets buckets_;
    TeamTokenHolders holders_;
    std::set<std::string> departing_;
    size_t instanceCount_ = 0;
    std::map<std::string, Team> teams_;
};

}
