#pragma once

#include "sidecar/servergate.h"
#include "transport/peernetwork.h"

#include <map>
#include <string>
#include <utility>

namespace persimmonfield {

// The way from other instances to the gate: submits their requests and sends the replies back by the same
// link. Runs on the loop's thread.
class PeerGate {
public:
    PeerGate(ServerGate& gate, PeerNetwork& network);

    void onRequest(LinkId link, peer::ForwardedRequest request, std::string body);
    void onCancel(LinkId link, const peer::Cancel& cancel);

    // Nobody waits for the replies any more.
    void onClosed(LinkId link);

private:
    using Key = std::pair<LinkId, int64_t>;

    ServerGate& gate_;
    PeerNetwork& network_;
    std::map<Key, ServerGate::CallId> calls_;
};

}
