#pragma once

#include "base/time.h"
#include "sidecar/changefeedserver.h"
#include "sidecar/feedchoice.h"
#include "sidecar/fleetdirectory.h"
#include "store/storesession.h"
#include "transport/peernetwork.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <map>
#include <string>

namespace persimmonfield {

// Follows another instance of the availability zone, which passes the changes of the store on, in place of
// watching the store. Watches continue until the other instance has answered, and begin again as soon as it
// fails, refuses or falls silent. They also begin again when it can no longer say that it misses no change,
// while the store responds to this instance.
class ChangeFeedFollower {
public:
    ChangeFeedFollower(asio::io_context& loop, std::string self, std::string zone,
        const FleetDirectory& directory, PeerNetwork& network, StoreSession& store, ChangeFeedServer& server);

    // Starts to follow. To be called once the network is started.
    void start();

    // Follows another instance if the fleet has changed so.
    void onDirectoryChange();

    void onPage(LinkId link, const peer::FeedPage& page, const std::string& body);
    void onStatus(LinkId link, const peer::FeedStatus& status);
    void onRefusal(LinkId link);
    void onClosed(LinkId link);

private:
    void step();
    void choose(TimePoint now);
    void request(TimePoint now);
    void leave(Duration avoidedFor, const char* cause);
    void setFollowing(bool isFollowing);
    TimePoint currentAt() const { return formerLink_ != 0 ? formerCurrentAt_ : linkCurrentAt_; }
    void checkAfter(Duration time);
    void checkCurrent();
    void onStoreChecked(bool hasResponded);

    FeedChoice choice_;
    std::string zone_;
    const FleetDirectory& directory_;
    PeerNetwork& network_;
    StoreSession& store_;
    ChangeFeedServer& server_;
    asio::steady_timer timer_;
    asio::steady_timer currentTimer_;
    bool isStarted_ = false;
    int64_t instancesVersion_ = 0; // Of the directory at the last choice.
    std::string followed_; // Empty if this instance watches the store, or has to.
    LinkId link_ = 0;
    LinkId formerLink_ = 0; // To the instance that was followed before, until the new one has answered.
    // No change is missing that was made before this time, as the instance at the end of the link says.
    TimePoint linkCurrentAt_;
    TimePoint formerCurrentAt_;
    bool isCheckingStore_ = false;
    bool wasStoreSilent_ = false; // At the last check.
    TimePoint requestedAt_;
    bool isAwaitingPage_ = false; // The last request has not been answered.
    std::map<std::string, TimePoint> avoidedUntil_; // By instance.
};

}
