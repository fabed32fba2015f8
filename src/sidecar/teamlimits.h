#pragma once

#include "base/counters.h"
#include "config/configuration.h"
#include "limits/teambuckets.h"
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

// Charges requests to their teams' rates: from this instance's own part, and where that is used up, with
// tokens borrowed from the instances that seem to have most.
class TeamLimits {
public:
    // Nothing when the request is charged; otherwise its refusal.
    using Done = std::function<void(std::optional<Reply> refusal)>;

    TeamLimits(asio::io_context& loop, const std::string& self, const FleetDirectory& directory,
        PeerNetwork& network, Counters& counters);

    void setConfiguration(const Configuration& configuration);
    // Instances have come or gone.
    void onDirectoryChange();
    // Requests by which the fleet may exceed a team's burst.
    void setSlack(int64_t requests) { buckets_.setSlack(requests); }

    // Charges one request; `done` may be called before the return.
    void charge(const std::string& team, const Done& done);

    void onShareRequest(LinkId link, const peer::ShareRequest& request);
    void onShareGrant(const peer::ShareGrant& grant);

private:
    // What is known of the tokens that another instance has for a team.
    struct Lender {
        double level = 0;
        TimePoint seenAt;
    };
    struct Asked {
        TimePoint at;
        int64_t wanted = 0;
    };
    struct Waiter {
        Done done;
        TimePoint until;
    };
    struct Team {
        std::vector<std::string> keepers; // Instances that have its tokens.
        std::deque<Waiter> waiting;
        std::map<std::string, Lender> lenders; // By instance.
        std::map<std::string, Asked> asked; // Instances that have not answered yet.
        int64_t sequence = 0;
        TimePoint dryUntil; // No instance had any token: nobody is asked before.
    };

    void assignKeepers();
    void borrow(const std::string& name, Team& team, TimePoint now);
    std::string richestLender(const std::string& name, const Team& team, TimePoint now) const;
    void serveWaiting(const std::string& name, Team& team, TimePoint now);
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
    std::vector<std::string> instances_; // By which keepers were assigned.
    asio::steady_timer timer_;
    bool isTimerArmed_ = false;
};

}
