#pragma once

#include "base/boundedring.h"
#include "base/counters.h"
#include "base/timeline.h"
#include "gate/backendserver.h"
#include "gate/concurrencylimit.h"
#include "gate/fairqueue.h"
#include "gate/requestrecord.h"
#include "ownership/authority.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace persimmonfield {

// A request that has arrived at the gate of its owner.
struct GateRequest {
    peer::ForwardedRequest request;
    std::string body;
    TimePoint deadline;
    std::shared_ptr<std::atomic<bool>> isCancelled = std::make_shared<std::atomic<bool>>(false);
    std::function<void(Reply reply)> reply; // Called once, on a thread of the gate or of the caller.
};

struct GateOptions {
    Address serverAddress;
    int slots = 1;
    bool serverChecksFences = false;
    Authority* authority = nullptr;
    Counters* counters = nullptr;
    Timeline* timeline = nullptr;
    std::function<void()> onServerRestart; // The server's process is another one than before.
};

// The only way to the local backend server: checks the authority, queues fairly, bounds the concurrency and
// sees that nothing runs twice. One thread a slot of the server, one for the server's health.
class Gate {
public:
    explicit Gate(GateOptions options);
    ~Gate();

    void start();

    // Refuses what waits, finishes what runs, ends the threads.
    void stop();

    void submit(GateRequest request);

    // Asks the server to give up a request that runs.
    void cancel(const std::string& requestId);

    // Whether the server answered its last health check; and what it said.
    bool isServerUp() const { return isServerUp_; }
    bool isServerDraining() const { return isServerDraining_; }

    // Requests that wait or run.
    int load() const;

private:
    void runWorker();
    void runHealth();
    std::optional<GateRequest> nextRequest();
    Reply serve(BackendServer& server, const GateRequest& request);
    Reply execute(BackendServer& server, const GateRequest& request, const Permit& permit);
    ServerAnswer executeGranted(BackendServer& server, const ServerRequest& request);
    absl::Status ensureGrant(BackendServer& server, int partition, int64_t fence);
    std::optional<Reply> refuseRepeat(const GateRequest& request, const Permit& permit);
    void expireOverdue();
    void noteHealth(const absl::StatusOr<ServerHealth>& health);
    void settle(const ServerAnswer& answer, Duration latency);

    GateOptions options_;
    BoundedRing<std::string> cancellations_;
    mutable std::mutex mutex_;
    std::condition_variable workAvailable_;
    FairQueue<GateRequest> queue_;
    ConcurrencyLimit limit_;
    RequestRecord record_;
    std::map<int, int64_t> grantedFences_; // What this process of the server was told.
    std::string serverProcess_;
    bool isStopping_ = false;
    std::atomic<bool> isServerUp_ { false };
    std::atomic<bool> isServerDraining_ { false };
    std::vector<std::thread> threads_;
};

}
