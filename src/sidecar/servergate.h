#pragma once

#include "base/body.h"
#include "base/counters.h"
#include "http/httpclient.h"
#include "limits/admissionqueue.h"
#include "limits/loadmeter.h"
#include "messages/reply.h"
#include "sidecar/coldserverguard.h"
#include "sidecar/crashdetector.h"
#include "sidecar/evacuatedzones.h"
#include "sidecar/protocoladapter.h"
#include "sidecar/refusedrequests.h"
#include "sidecar/requestquarantine.h"
#include "sidecar/serverconcurrency.h"
#include "sidecar/sidecarsettings.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace persimmonfield {

// A request submitted to the gate of the server that is to run it.
struct GateCall {
    peer::ForwardedRequest request;
    Body body;
    TimePoint deadline;
    TimePoint objectiveEnd; // The end of the latency objective.
    std::function<void(Reply reply)> reply; // Called once, unless the call is cancelled.
    int64_t asker = 0; // The link of the instance that asks; 0 for this one.
    std::string fingerprint; // Set by the gate once any request is suspected of crashing servers.
};

// The state of the backend server that the gate needs for admission.
struct GatedServer {
    ServerIncarnation incarnation;
    std::string service;
    int slots = 1;
    TimePoint coldUntil; // End of the warm-up.
    std::optional<TimePoint> drainingSince; // When its request to drain was acknowledged.
};

struct ServerGateOptions {
    asio::io_context* loop = nullptr;
    const ProtocolAdapter* protocol = nullptr;
    SidecarSettings settings;
    Counters* counters = nullptr;
    const EvacuatedZones* zones = nullptr;
    // Whether the server currently owns the key.
    std::function<bool(int key, TimePoint now)> mayRunKey;
    // The owner of the key if it is known to be another server.
    std::function<std::optional<peer::KeyOwner>(int key)> otherOwner;
    // Called for each request for a key that the server owns.
    std::function<void(int key, TimePoint now)> onKey;
    RequestQuarantine* quarantine = nullptr;
    // Why the server's version must not run the request; std::nullopt if it may. May be null.
    std::function<std::optional<Reply>(const peer::ForwardedRequest& request, TimePoint now)> versionRefusal;
    // Called when the server has run a request, with its answer, or with null when the run was given up. May
    // be null.
    std::function<void(const std::string& route, Duration work, const Reply* reply, bool isWarm)> onRun;
};

// Admission control and request queue of the backend server next to this instance. All requests to the server
// pass through it, so it enforces all limits of the server: its slots, the keys it owns, its request rate
// while cold, and draining. AdmissionQueue decides which requests wait, start and are refused. Requests that
// are suspected of crashing servers run one at a time, so that a crash tells which of them is at fault. Runs
// on the event loop's thread.
class ServerGate {
public:
    using CallId = int64_t;

    explicit ServerGate(ServerGateOptions options);

    // Queues or refuses the request. The reply may be delivered before this function returns.
    CallId submit(GateCall call);

    // Called when the caller has disconnected. Removes the request from the queue, or aborts the call to the
    // server, which tells the server to stop. A non-idempotent request that was sent already runs to its end.
    void cancel(CallId id);

    // Sets the server to use; std::nullopt if there is none, or none that is known to be alive. Requests that
    // the server works on are not ended by its silence, nor by its successor after it has announced its exit.
    void setServer(std::optional<GatedServer> server);
    // Sets when the process ends. From now on requests that are not expected to complete by then are refused.
    void setProcessEnd(TimePoint end);
    // Sets the service of the server, as the configuration in force describes it. Until then all requests are
    // refused.
    void setService(const ServiceConfig& service);
    // The number of requests that the server may work on: its slots, or fewer if it takes fewer well.
    size_t usableSlots() const;
    // Sets what becomes of requests that cannot be answered within their latency objective.
    void setLatePolicy(LatePolicy policy);

    peer::ServerLoad load(TimePoint now) const;
    // The load of the server relative to its slots, averaged over about the last second: the requests that
    // run or wait, or, if it is higher, the load that requests for keys offered, including those refused for
    // lack of capacity.
    double busyness(TimePoint now) const { return std::max(busyness_.mean(now), offeredLoad_.mean(now)); }
    // Whether the server works on the request.
    bool isRunning(const std::string& requestId) const;
    // The requests that run or wait.
    size_t openCalls() const { return waiting_.size() + running_.size() + lostCalls_.size(); }
    bool isIdle() const { return queue_.isEmpty() && running_.empty() && lostCalls_.empty(); }

private:
    struct RunningCall {
        GateCall call;
        ServerIncarnation incarnation;
        HttpClient::CallId httpCall = 0;
        TimePoint startedAt;
        Duration expected { 0 };
        bool isSuspect = false; // At its start.
        ConcurrencyLimit::Call limitCall;
        Admission admission; // The decision by which it was queued.
        std::optional<Duration> zoneEvacuatedFor; // At its start, from EvacuatedZones::evacuatedFor.
    };

    struct WaitingCall {
        GateCall call;
        Admission admission;
    };

    // A call that was lost, whose reply waits until it is known whether the server has crashed.
    struct LostCall {
        RunningCall running;
        Reply reply;
    };

    void endLastIncarnation();
    bool isExitOf(const ServerIncarnation& incarnation, TimePoint now) const;
    size_t runningAtServer() const;
    std::optional<Reply> refusal(const GateCall& call, TimePoint now) const;
    bool wouldOutliveProcess(const GateCall& call, TimePoint start) const;
    ServerRoom room(TimePoint now);
    bool isSuspect(GateCall& call) const;
    bool isWaitingSuspect(CallId id);
    bool isSuspectRunning() const;
    void refuse(const WaitingCall& refused, RefusalReason reason, const char* detail);
    void startQueuedCalls();
    bool hasFreeSlot() const;
    void start(CallId id, WaitingCall waiting, TimePoint now);
    void onCallEnded(CallId id, CallResult result);
    void recordRun(const RunningCall& running, Duration work, const Reply* reply) const;
    void checkForCrash(RunningCall lost, Reply reply);
    void onCrashChecked(bool hasCrashed);
    void reportCrash(TimePoint now);
    void logCall(const RunningCall& running, Duration work, const Reply& reply) const;
    void recordBusyness(TimePoint now);
    void recordKeyedRequest(const GateCall& call, TimePoint now);
    void armTimer(TimePoint at);
    void refuseHopeless(TimePoint now);
    void answer(const GateCall& call, Reply reply) const;

    ServerGateOptions options_;
    HttpClient client_;
    asio::steady_timer timer_;
    std::optional<GatedServer> server_;
    std::optional<GatedServer> lastServer_; // Like server_, but stays set while the server is silent.
    TimePoint unreachableUntil_;
    TimePoint processEnd_ = TimePoint::max();
    CallId nextId_ = 1;
    LatePolicy latePolicy_ = LatePolicy::Refuse;
    AdmissionQueue queue_;
    std::map<CallId, WaitingCall> waiting_; // In `queue_`.
    std::map<CallId, RunningCall> running_;
    ColdServerGuard coldGuard_;
    ServerConcurrency concurrency_;
    CrashDetector crashDetector_;
    std::vector<LostCall> lostCalls_; // Wait for the crash detector.
    TimePoint crashedAt_; // All calls that were started before have been reported.
    RefusedRequests refusedRequests_;
    peer::ServerLoad reportedLoad_ {};
    LoadMeter busyness_; // Requests that run or wait, divided by the usable slots.
    // Expected work of the requests for keys, divided by the usable slots, whether they were admitted or
    // refused.
    LoadMeter offeredLoad_;
};

}
