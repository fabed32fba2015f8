#pragma once

#include "http/memoryguard.h"
#include "sidecar/servergate.h"
#include "transport/peernetwork.h"

#include <map>
#include <memory>
#include <string>
#include <utility>

namespace persimmonfield {

// Submits requests that other instances forward to the gate and sends the replies back on the same link.
// Bodies that come in parts are put together; the other instance sends as many bytes as it is granted. A
// request for whose body there is no room is refused. Runs on the event loop's thread.
class PeerRequestHandler {
public:
    // Without a guard the memory for bodies is not bounded.
    PeerRequestHandler(ServerGate& gate, PeerNetwork& network, std::shared_ptr<MemoryGuard> guard = nullptr);

    void onRequest(LinkId link, peer::ForwardedRequest request, std::string body);
    void onBodyOffer(LinkId link, peer::ForwardedRequest request);
    void onBodyChunk(LinkId link, const peer::BodyChunk& chunk, const std::string& part);
    void onCancel(LinkId link, const peer::Cancel& cancel);

    // Cancels the requests of a closed link, since their replies can no longer be delivered.
    void onClosed(LinkId link);

private:
    using Key = std::pair<LinkId, int64_t>;

    // A request whose body has not arrived completely.
    struct PartialRequest {
        peer::ForwardedRequest request;
        TimePoint arrivedAt;
        std::string body;
        size_t granted = 0;
        std::shared_ptr<HeldBytes> held;
    };

    void submit(const Key& key, peer::ForwardedRequest request, Body body, TimePoint arrivedAt);
    std::shared_ptr<HeldBytes> hold(const Key& key, bool isPartial);
    void startBody(const Key& key);
    void grant(const Key& key, PartialRequest& partial);
    void refuse(const Key& key);

    ServerGate& gate_;
    PeerNetwork& network_;
    std::shared_ptr<MemoryGuard> guard_;
    std::map<Key, ServerGate::CallId> calls_;
    std::map<Key, PartialRequest> partialRequests_;
};

}
