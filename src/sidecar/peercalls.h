#pragma once

#include "messages/reply.h"
#include "transport/peernetwork.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace persimmonfield {

// Requests sent to the gates of other instances, matched with their replies by link and number: late and
// crossed ones find nobody and are dropped. Runs on the loop's thread.
class PeerCalls {
public:
    using Done = std::function<void(Reply reply)>;

    struct CallId {
        LinkId link = 0;
        int64_t number = 0;
    };

    explicit PeerCalls(PeerNetwork& network);

    // Sends the request; `done` is called once, possibly before the return, unless the call is cancelled.
    CallId send(
        const std::string& address, peer::ForwardedRequest request, const std::string& body, Done done);

    // Gives the call up and tells the gate.
    void cancel(const CallId& call);

    void onAnswer(LinkId link, const peer::ForwardedAnswer& answer, std::string body);
    void onRefusal(LinkId link, const peer::Refusal& refusal);

    // A link that was never open carried nothing.
    void onClosed(LinkId link, bool wasOpen);

private:
    using Key = std::pair<LinkId, int64_t>;

    Done take(const Key& key);

    PeerNetwork& network_;
    int64_t nextNumber_ = 1;
    std::map<Key, Done> calls_;
};

}
