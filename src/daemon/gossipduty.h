#pragma once

#include "daemon/controlcontext.h"

#include <functional>

namespace persimmonfield {

// Spreads what the few watchers of the store learn: daemons tell each other up to which revision they know
// everything, and send what the other lacks.
class GossipDuty {
public:
    // `random` answers evenly spread numbers.
    GossipDuty(ControlContext& context, std::function<uint64_t()> random);

    // Tells some peers the revision when it is time, or soon after news.
    void step(TimePoint now);
    void noteNews() { hasNews_ = true; }

    // A peer told its revision: what to answer, if anything.
    std::optional<peer::PeerMessage> onDigest(const peer::Digest& digest, TimePoint now);

    // A peer was heard of.
    void noteHeard(TimePoint now) { lastHeard_ = now; }

    peer::PeerMessage digest() const;

    // Whether this daemon is one of those that watch the store: few per availability zone, and any that has
    // not heard of the others for a while.
    bool shouldWatch(TimePoint now) const;

private:
    std::vector<InstanceId> pickPeers();

    ControlContext& context_;
    std::function<uint64_t()> random_;
    TimePoint nextRound_;
    TimePoint nextEarlyRound_;
    TimePoint lastHeard_;
    bool hasNews_ = false;
};

}
