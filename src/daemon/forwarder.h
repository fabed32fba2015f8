#pragma once

#include "daemon/bodyassembler.h"
#include "gate/gate.h"
#include "transport/peernetwork.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace persimmonfield {

// Where the copies of one request report how they ended.
class CallGroup {
public:
    struct Ended {
        int copy = 0;
        Reply reply;
    };

    void end(int copy, Reply reply);

    // The next copy that ended; nothing when none did until `until`.
    std::optional<Ended> wait(TimePoint until);

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<Ended> ended_;
};

// Sends requests to gates, the local one or those of other daemons, and matches the answers by request id
// and connection: late and crossed ones find nobody and are dropped.
class Forwarder {
public:
    // Names one copy of a request, for cancelling.
    struct CallId {
        LinkId link = 0; // 0 for the local gate.
        int64_t id = 0;
    };

    Forwarder(Gate& gate, PeerNetwork& network, Counters& counters);

    // Sends a copy; its end is reported to the group exactly once.
    CallId sendLocal(const peer::ForwardedRequest& request, const std::string& body, TimePoint deadline,
        const std::shared_ptr<CallGroup>& group, int copy);
    CallId sendRemote(const std::string& address, peer::ForwardedRequest request, const std::string& body,
        TimePoint deadline, const std::shared_ptr<CallGroup>& group, int copy);

    // Gives the copy up; its answer is dropped.
    void cancel(const CallId& call);

    // Called on the network's thread.
    void onAnswer(LinkId link, const peer::ForwardedAnswer& answer, const std::string& body);
    void onAnswerChunk(LinkId link, const peer::BodyChunk& chunk, const std::string& body);
    void onRefusal(LinkId link, const peer::Refusal& refusal);
    void onClosed(LinkId link, bool wasOpen);

private:
    using CallKey = std::pair<LinkId, int64_t>;

    struct Call {
        std::shared_ptr<CallGroup> group;
        int copy = 0;
        std::optional<peer::ForwardedAnswer> answer; // Its header came.
        BodyAssembler body { 0 };
    };
    struct LocalCall {
        std::string requestId;
        std::shared_ptr<std::atomic<bool>> isCancelled;
    };

    std::optional<Call> take(const CallKey& key);
    void addToAnswer(const CallKey& key, const std::string& body, bool isLast);

    Gate& gate_;
    PeerNetwork& network_;
    Counters& counters_;
    std::mutex mutex_;
    int64_t nextId_ = 1;
    std::map<CallKey, Call> calls_;
    std::map<int64_t, LocalCall> localCalls_;
};

}
