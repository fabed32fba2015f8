#pragma once

#include "base/counters.h"
#include "config/configuration.h"
#include "limits/teamtokens.h"
#include "messages/reply.h"
#include "sidecar/fleetdirectory.h"
#include "transport/peernetwork.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace persimmonfield {

// Charges requests to the rates of their teams: carries out what TeamTokens decides.
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
    void setSlack(int64_t requests) { tokens_.setSlack(requests); }

    // Charges one request. `done` may be called before this function returns.
    void charge(const std::string& team, const Done& done);

    void onShareRequest(LinkId link, const peer::ShareRequest& request);
    void onShareGrant(const peer::ShareGrant& grant);

private:
    void carryOut(const std::string& team, const TeamTokens::Decision& decision);
    bool ask(const std::string& team, const TeamTokens::Question& question);
    void complete(TeamTokens::RequestId request, const std::optional<Reply>& refusal);
    void armTimer();

    asio::io_context& loop_;
    std::string self_;
    const FleetDirectory& directory_;
    PeerNetwork& network_;
    Counters& counters_;
    TeamTokens tokens_;
    std::map<TeamTokens::RequestId, Done> open_; // Requests that have not been decided.
    TeamTokens::RequestId nextRequest_ = 1;
    int64_t sequence_ = 0;
    int64_t instancesVersion_ = 0; // Of the directory at the last change of instances.
    asio::steady_timer timer_;
    bool isTimerArmed_ = false;
};

}
