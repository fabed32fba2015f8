#pragma once

#include "daemon/controlcontext.h"

#include <functional>

namespace persimmonfield {

// Distributes changes of the store from the few daemons that watch it to all others. Daemons exchange digests
// with the revision up to which their copy of the store is complete, and send each other the missing changes.
class GossipManager {
public:
    // `random` returns uniformly distributed numbers.
    GossipManager(ControlContext& context, std::function<uint64_t()> random);

    // Sends a digest to some random peers at regular intervals, and earlier after changes.
    void step(TimePoint now);
    void recordChanges() { hasChanges_ = true; }

    // Returns the message to reply to a peer's digest with, or nullopt if the peer is up to date.
    std::optional<peer::PeerMessage> onDigest(const peer::Digest& digest, TimePoint now);

    // Records that a message from a peer has arrived.
    void recordContact(TimePoint now) { lastContact_ = now; }

    peer::PeerMessage digest() const;

    // Whether this daemon has to watch the store: a few per availability zone do, and any daemon that has not
    // heard from the others for a while.
    bool shouldWatch(TimePoint now) const;

private:
    std::vector<InstanceId> pickPeers();

    ControlContext& context_;
    std::function<uint64_t()> random_;
    TimePoint nextRound_;
    TimePoint nextEarlyRound_;
    TimePoint lastContact_;
    bool hasChanges_ = false;
};

}
