#pragma once

#include "base/counters.h"
#include "config/configuration.h"
#include "limits/teambuckets.h"
#include "limits/teamtokenholders.h"
#include "messages/reply.h"
#include "sidecar/fleetdirectory.h"
#include "transport/peernetwork.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace persimmonfield {

// Charges requests to the rates of their teams. Uses the tokens of this instance's own share first, and
// tokens borrowed from the instances that are likely to have the most once these are used up.
class TeamLimits {
public:
    // Gets std::nullopt if the request was charged, otherwise its refusal.
    using Done = std::function<void(std::optional<Reply> refusal)>;

    TeamLimits(asio::io_context& loop, const std::string& self, const FleetDirectory& directory,
        PeerNetwork& network, Counters& counters);

    void setConfiguration(const Configuration& configuration);
    // Reassigns the holders of tokens if instances have joined or left.
    void onDirectoryChange();
    // Sets the number of requests by which the fleet may exceed a team's burst.
    void setSlack(int64_t requests) { buckets_.setSlack(requests); }

    // Charges one request. `done` may be called before this function returns.
    void charge(const std::string& team, const Done& done);

    void onShareRequest(LinkId link, const peer::ShareRequest& request);
    void onShareGrant(const peer::ShareGrant& grant);

private:
    // The last known token level of another instance for a team.
    struct Lender {
        double level = 0;
        TimePoint seenAt;
    };
    struct PendingTokenRequest {
        TimePoint at;
        int64_t wanted = 0;
    };
    struct Waiter {
        Done done;
        TimePoint since;
        TimePoint until;
    };
    struct Team {
        std::vector<std::string> holders; // The instances that hold its tokens.
        std::deque<Waiter> waiting;
        std::map<std::string, Lender> lenders; // By instance.
        std::map<std::string, PendingTokenRequest> tokenRequests; // Unanswered requests, by instance.
        int64_t sequence = 0;
        TimePoint exhaustedUntil; // No instance had any tokens; none is asked until then.
    };

    void assignHolders();
    Milliseconds exhaustedBackoff() const;
    void borrow(const std::string& name, Team& team, TimePoint now);
    double holderRate(const std::string& name, const Team& team) const;
    std::string likeliestLender(const std::string& name, const Team& team, TimePoint now) const;
    void chargeWaiting(const std::string& name, Team& team, TimePoint now);
    void refuseWaiting(const std::string& name, Team& team, TimePoint now, bool isAll);
    Reply refusal(const std::string& name, const Team& team) const;
    void armTimer();

    asio::io_context& loop_;
    std::string self_;
    const FleetDirectory& directory_;
    PeerNetwork& network_;
    Counters& counters_;
    TeamBuckets buckets_;
    std::map<std::string, Team> teams_;
    TeamTokenHolders holders_;
    int64_t instancesVersion_ = 0; // Of the directory when the holders were assigned.
    asio::steady_timer timer_;
    bool isTimerArmed_ = false;
};

}
