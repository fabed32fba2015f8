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

// Collects the replies to the copies of one request. Thread-safe.
class CallGroup {
public:
    struct Completion {
        int copy = 0;
        Reply reply;
    };

    void complete(int copy, Reply reply);

    // Waits for the next copy that ends. Returns nullopt if none has ended by `until`.
    std::optional<Completion> wait(TimePoint until);

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<Completion> completions_;
};

// Sends requests to the local gate or to the gates of other daemons. Matches answers to calls by link and
// request id; answers that arrive late or belong to another call are dropped.
class Forwarder {
public:
    // Identifies one copy of a request so that it can be cancelled.
    struct CallId {
        LinkId link = 0; // 0 for the local gate.
        int64_t id = 0;
    };

    Forwarder(Gate& gate, PeerNetwork& network, Counters& counters);

    // Sends a copy. Its reply is reported to the group exactly once, unless the copy is cancelled.
    CallId sendLocal(const peer::ForwardedRequest& request, const Body& body, TimePoint deadline,
        const std::shared_ptr<CallGroup>& group, int copy);
    CallId sendRemote(const std::string& address, peer::ForwardedRequest request, const std::string& body,
        TimePoint deadline, const std::shared_ptr<CallGroup>& group, int copy);

    // Cancels the copy; its answer is dropped.
    void cancel(const CallId& call);

    // The handlers below are called on the network's thread.
    void onAnswer(LinkId link, const peer::ForwardedAnswer& answer, const std::string& body);
    void onAnswerChunk(LinkId link, const peer::BodyChunk& chunk, const std::string& body);
    void onRefusal(LinkId link, const peer::Refusal& refusal);
    void onClosed(LinkId link, bool wasOpen);

private:
    using CallKey = std::pair<LinkId, int64_t>;

    struct Call {
        std::shared_ptr<CallGroup> group;
        int copy = 0;
        std::optional<peer::ForwardedAnswer> answer; // Set once the answer's first frame has arrived.
        BodyAssembler body { 0 };
    };
    struct LocalCall {
        std::string requestId;
        std::shared_ptr<std::atomic<bool>> isCancelled;
    };

    std::optional<Call> takeCall(const CallKey& key);
    void appendToAnswer(const CallKey& key, const std::string& body, bool isLast);

    Gate& gate_;
    PeerNetwork& network_;
    Counters& counters_;
    std::mutex mutex_;
    int64_t nextId_ = 1;
    std::map<CallKey, Call> calls_;
    std::map<int64_t, LocalCall> localCalls_;
};

}
