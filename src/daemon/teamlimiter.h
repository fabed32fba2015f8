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
    Unavailable, // The team's home could not be reached in time.
};

struct RateDecision {
    RateVerdict verdict = RateVerdict::Unavailable;
    Duration retryAfter { 0 };
};

// Charges teams' rates: spends this instance's shares, asks the teams' homes for more, and answers for the
// homes that this daemon owns. Thread-safe; one thread gives unused
// tokens back and keeps the homes ready.
class TeamLimiter {
public:
    explicit TeamLimiter(TeamLimiterOptions options);
    ~TeamLimiter();

    void start();
    void stop();

    // Takes one token of the team, waiting for the home's answer where there is none, at most until
    // `deadline`.
    RateDecision acquire(const std::string& team, TimePoint deadline);

    // Called on the network's thread.
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
    // The four below: call with the mutex held.
    ShareState& shareOf(const FleetView& view, const std::string& team);
    void sendDemand(const FleetView& view, const std::string& team, ShareState& state, TimePoint now);
    HomeState* ownHome(const FleetView& view, const std::string& team, TimePoint now);
    std::optional<TokenGrant> answerAsHome(
        const std::string& team, const std::string& instance, const TokenRequest& demand, TimePoint now);
    void runUpkeep();

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
