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

struct GatewayOptions {
    Gate* gate = nullptr;
    PeerNetwork* network = nullptr;
    Counters* counters = nullptr;
};

// The way from other daemons to the local gate: puts requests together from their frames, and sends the
// answers back on the link by which the request came.
class Gateway {
public:
    explicit Gateway(GatewayOptions options);
    ~Gateway();

    void start();
    void stop();

    // Called on the network's thread.
    void onRequest(LinkId link, peer::ForwardedRequest request, const std::string& body);
    void onRequestChunk(LinkId link, const peer::BodyChunk& chunk, const std::string& body);
    void onCancel(LinkId link, const peer::Cancel& cancel);
    void onClosed(LinkId link);

private:
    using RequestKey = std::pair<LinkId, int64_t>;

    struct Assembly {
        peer::ForwardedRequest request;
        BodyAssembler body;
        TimePoint deadline;
    };
    struct Running {
        std::string requestId;
        std::shared_ptr<std::atomic<bool>> isCancelled;
    };
    struct Outgoing {
        LinkId link = 0;
        int64_t id = 0;
        Reply reply;
    };

    void submit(const RequestKey& key, Assembly assembly);
    void refuse(const RequestKey& key, RefusalReason reason, const std::string& detail);
    void runSender();
    void send(const Outgoing& outgoing) const;
    static void cancelRunning(Gate& gate, const Running& running);

    GatewayOptions options_;
    BoundedQueue<Outgoing> outgoing_;
    std::mutex mutex_;
    std::map<RequestKey, Assembly> assemblies_;
    std::map<RequestKey, Running> running_;
    int64_t assemblingBytes_ = 0;
    std::vector<std::thread> senders_;
};

}
