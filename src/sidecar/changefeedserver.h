#pragma once

#include "base/time.h"
#include "store/storedialect.h"
#include "transport/peernetwork.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace persimmonfield {

// Changes that come from another instance are relied on for this long after the store's answer that has shown
// that none is missing. It is longer than the interval at which a quiet store is probed, and short enough
// that a change can still be read from the store within the two seconds for a configuration.
inline constexpr Milliseconds maxFeedAge { 1'500 };

// Passes the changes that this instance's watches of the store deliver on to the instances that follow it, so
// that the number of watches does not grow with the fleet. Recent changes are kept for instances that begin
// to follow.
class ChangeFeedServer {
public:
    ChangeFeedServer(PeerNetwork& network, std::string self);

    // Records a page that a watch has received, and passes it on.
    void record(const std::string& kind, const StorePage& page, bool isFullListing);

    // Whether this instance watches the store itself. If not, it refuses to be followed.
    void setServing(bool isServing);

    // No change is missing that was made before `at`. The followers are told.
    void setCurrentAt(TimePoint at);

    void onRequest(LinkId link, const peer::FeedRequest& request);
    void onClosed(LinkId link) { followers_.erase(link); }

private:
    // All changes after one revision up to another one, as the body of a FeedPage.
    struct Change {
        int64_t after = 0;
        int64_t revision = 0;
        std::string body;
    };
    struct KindLog {
        int64_t revision = 0; // Of the latest page.
        std::map<std::string, int64_t> objects; // Revisions of the existing objects, by name.
        std::deque<Change> changes; // Each one follows directly on the one before it.
        size_t bytes = 0; // Of all bodies.
        int64_t firstRevision = 0; // The changes after this revision are kept.
    };

    static StorePage changesIn(const KindLog& log, const StorePage& page, bool isFullListing);
    void restart(const std::string& kind, const StorePage& page);
    static void trim(KindLog& log);
    void sendChanges(LinkId link, const std::string& kind, int64_t revision);
    void send(LinkId link, const std::string& kind, const Change& change);
    void refuse(LinkId link);
    void sendStatus(LinkId link, TimePoint now);

    PeerNetwork& network_;
    std::string self_;
    bool isServing_ = false;
    TimePoint currentAt_;
    TimePoint nextStatus_;
    std::map<std::string, KindLog> logs_; // By kind.
    std::map<LinkId, TimePoint> followers_; // The time until which they follow unless they ask again.
};

}
