#pragma once

#include "base/boundedqueue.h"
#include "base/counters.h"
#include "base/timeline.h"
#include "gate/backendserver.h"
#include "gate/fairqueue.h"
#include "gate/idempotencycache.h"
#include "limits/concurrencylimit.h"
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

// A request that was submitted to the gate of the instance that owns its key.
struct GateRequest {
    peer::ForwardedRequest request;
    Body body;
    TimePoint deadline;
    std::shared_ptr<std::atomic<bool>> isCancelled = std::make_shared<std::atomic<bool>>(false);
    std::function<void(Reply reply)> reply; // Called exactly once, on a thread of the gate or of the caller.
    ConcurrencyLimit::Call limitCall; // Set by the gate when the request leaves its queue.
};

struct GateOptions {
    Address serverAddress;
    int slots = 1;
    bool serverChecksFences = false;
    Authority* authority = nullptr;
    Counters* counters = nullptr;
    Timeline* timeline = nullptr;
    std::function<void()> onServerRestart; // Called after the server process has restarted.
};

// Admission control for the local backend server; every request to the server passes through it. Checks that
// this instance may serve the request, queues requests fairly across teams, limits the concurrency, and
// rejects duplicates of non-idempotent requests that carry an idempotency key. Uses one thread per server
// slot and one for health checks.
class Gate {
public:
    explicit Gate(GateOptions options);
    ~Gate();

    void start();

    // Refuses queued requests, waits for running ones to finish, and joins the threads.
    void stop();

    void submit(GateRequest request);

    // Asks the server to cancel a running request.
    void cancel(const std::string& requestId);

    // The result of the last health check: whether the server answered, and whether it reported that it is
    // draining.
    bool isServerUp() const { return isServerUp_; }
    bool isServerDraining() const { return isServerDraining_; }

    // Number of queued and running requests.
    int load() const;

private:
    void runWorker();
    void runHealthChecks();
    std::optional<GateRequest> nextRequest();
    Reply serve(BackendServer& server, const GateRequest& request);
    Reply execute(BackendServer& server, const GateRequest& request, const Permit& permit);
    ServerAnswer executeWithGrant(BackendServer& server, const ServerRequest& request);
    absl::Status ensureGrant(BackendServer& server, int partition, int64_t fence);
    std::optional<Reply> refuseDuplicate(const GateRequest& request, const Permit& permit);
    void refuseOverdue();
    void updateHealth(const absl::StatusOr<ServerHealth>& health);
    void recordOutcome(const GateRequest& request, const ServerAnswer& answer);

    GateOptions options_;
    BoundedQueue<std::string> cancellations_;
    AnswerBytes answerBytes_ = std::make_shared<std::atomic<size_t>>(0);
    mutable std::mutex mutex_;
    std::condition_variable workAvailable_;
    FairQueue<GateRequest> queue_;
    ConcurrencyLimit limit_;
    IdempotencyCache idempotencyCache_;
    std::map<int, int64_t> grantedFences_; // By partition; as accepted by the current server process.
    std::string serverProcessId_;
    bool isStopping_ = false;
    std::atomic<bool> isServerUp_ { false };
    std::atomic<bool> isServerDraining_ { false };
    std::vector<std::thread> threads_;
};

}
