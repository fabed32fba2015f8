#pragma once

#include "sidecar/servergate.h"
#include "transport/peernetwork.h"

#include <map>
#include <string>
#include <utility>

namespace persimmonfield {

// Submits requests that other instances forward to the gate and sends the replies back on the same link. Runs
// on the event loop's thread.
class PeerRequestHandler {
public:
    PeerRequestHandler(ServerGate& gate, PeerNetwork& network);

    void onRequest(LinkId link, peer::ForwardedRequest request, std::string body);
    void onCancel(LinkId link, const peer::Cancel& cancel);

    // Cancels the requests of a closed link, since their replies can no longer be delivered.
    void onClosed(LinkId link);

private:
    using Key = std::pair<LinkId, int64_t>;

    ServerGate& gate_;
    PeerNetwork& network_;
    std::map<Key, ServerGate::CallId> calls_;
};

}
