#pragma once

#include "base/body.h"
#include "messages/reply.h"
#include "transport/peernetwork.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace persimmonfield {

// Requests sent to the gates of other instances. Replies are matched with requests by link and number; a
// reply without a matching request, such as a late one or one to a cancelled request, is dropped. A body that
// is too large for one frame is sent in parts, as the other instance grants room for them. Runs on the event
// loop's thread.
class PeerCalls {
public:
    using Done = std::function<void(Reply reply)>;

    struct CallId {
        LinkId link = 0;
        int64_t number = 0;
    };

    explicit PeerCalls(PeerNetwork& network);

    // Sends the request. Calls `done` once, possibly before returning, unless the call is cancelled.
    CallId send(const std::string& address, peer::ForwardedRequest request, const Body& body, Done done);

    // Drops the call. Also sends a cancellation to the remote gate unless the request was still queued
    // locally.
    void cancel(const CallId& call);

    void onAnswer(LinkId link, const peer::ForwardedAnswer& answer, std::string body);
    void onRefusal(LinkId link, const peer::Refusal& refusal);
    void onBodyGrant(LinkId link, const peer::BodyGrant& grant);

    // Ends all calls of the link. Requests that were not sent, or not with their whole body, did not run.
    void onClosed(LinkId link, bool wasOpen);

private:
    using Key = std::pair<LinkId, int64_t>;

    struct Call {
        Done done;
        Body unsentBody; // Of a request whose body is sent in parts; empty once the last part is sent.
        size_t sentBytes = 0;
    };

    Done removeCallback(const Key& key);

    PeerNetwork& network_;
    int64_t nextNumber_ = 1;
    std::map<Key, Call> calls_;
};

}
