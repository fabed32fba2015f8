#pragma once

#include "base/boundedqueue.h"
#include "daemon/bodyassembler.h"
#include "gate/gate.h"
#include "transport/peernetwork.h"

#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace persimmonfield {

struct PeerRequestReceiverOptions {
    Gate* gate = nullptr;
    PeerNetwork* network = nullptr;
    Counters* counters = nullptr;
};

// Submits requests that other daemons forward to the local gate. Reassembles the requests from their frames
// and sends each reply back on the link that the request arrived on.
class PeerRequestReceiver {
public:
    explicit PeerRequestReceiver(PeerRequestReceiverOptions options);
    ~PeerRequestReceiver();

    void start();
    void stop();

    // The handlers below are called on the network's thread.
    void onRequest(LinkId link, peer::ForwardedRequest request, const std::string& body);
    void onRequestChunk(LinkId link, const peer::BodyChunk& chunk, const std::string& body);
    void onCancel(LinkId link, const peer::Cancel& cancel);
    void onClosed(LinkId link);

private:
    using RequestKey = std::pair<LinkId, int64_t>;

    struct PartialRequest {
        peer::ForwardedRequest request;
        BodyAssembler body;
        TimePoint deadline;
    };
    struct RunningRequest {
        std::string requestId;
        std::shared_ptr<std::atomic<bool>> isCancelled;
    };
    struct OutgoingReply {
        LinkId link = 0;
        int64_t id = 0;
        Reply reply;
    };

    void submit(const RequestKey& key, PartialRequest partial);
    void refuse(const RequestKey& key, RefusalReason reason, const std::string& detail);
    void runSender();
    void send(const OutgoingReply& outgoing) const;
    static void cancelRequest(Gate& gate, const RunningRequest& running);

    PeerRequestReceiverOptions options_;
    BoundedQueue<OutgoingReply> outgoingReplies_;
    std::mutex mutex_;
    std::map<RequestKey, PartialRequest> partialRequests_;
    std::map<RequestKey, RunningRequest> runningRequests_;
    int64_t partialRequestBytes_ = 0;
    std::vector<std::thread> senders_;
};

}
