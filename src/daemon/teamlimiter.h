#pragma once

#include "limits/teamhome.h"
#include "limits/teamshare.h"
#include "ownership/authority.h"
#include "ownership/fleetview.h"
#include "transport/peernetwork.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace persimmonfield {

struct TeamLimiterOptions {
    Authority* authority = nullptr;
    PeerNetwork* network = nullptr;
    std::function<std::shared_ptr<const FleetView>()> view;
    std::function<InstanceId()> self;
};

enum class RateVerdict {
    Admitted,
    Exceeded,
    Unavailable, // The team's home did not answer in time.
};

struct RateDecision {
    RateVerdict verdict = RateVerdict::Unavailable;
    Duration retryAfter { 0 };
};

// Charges requests to the rates of their teams. Spends the tokens of this instance's shares, requests more
// from the teams' homes, and grants tokens for the homes that this daemon owns. Thread-safe. A thread of its
// own returns unused tokens and keeps the homes initialized.
class TeamLimiter {
public:
    explicit TeamLimiter(TeamLimiterOptions options);
    ~TeamLimiter();

    void start();
    void stop();

    // Takes one token of the team. If none is available, waits for the home's answer, at most until
    // `deadline`.
    RateDecision acquire(const std::string& team, TimePoint deadline);

    // The handlers below are called on the network's thread.
    void onShareRequest(LinkId link, const peer::ShareRequest& request);
    void onShareGrant(const peer::ShareGrant& grant);

private:
    struct HomeId {
        InstanceId owner;
        int64_t fence = 0;

        bool operator==(const HomeId& other) const { return fence == other.fence && owner == other.owner; }
    };
    struct ShareState {
        TeamShare share;
        HomeId home;
    };
    struct HomeState {
        TeamHome home;
        int64_t fence = 0;
        int64_t rate = 0;
        int64_t burst = 0;
    };

    static int partitionOf(const std::string& team);
    HomeId homeOf(const FleetView& view, const std::string& team) const;
    // The four functions below require the mutex to be held.
    ShareState& shareOf(const FleetView& view, const std::string& team);
    void sendTokenRequest(const FleetView& view, const std::string& team, ShareState& state, TimePoint now);
    HomeState* ownHome(const FleetView& view, const std::string& team, TimePoint now);
    std::optional<TokenGrant> grantTokens(const std::string& team, const std::string& instance,
        const TokenRequest& tokenRequest, TimePoint now);
    void runMaintenance();

    TeamLimiterOptions options_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, ShareState> shares_;
    std::map<std::string, HomeState> homes_;
    TimePoint nextHomeCheck_;
    bool isStopping_ = false;
    std::thread thread_;
};

}
