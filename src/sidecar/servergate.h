#pragma once

#include "base/counters.h"
#include "http/httpclient.h"
#include "limits/loadmeter.h"
#include "messages/reply.h"
#include "sidecar/evacuatedzones.h"
#include "sidecar/protocoladapter.h"
#include "sidecar/sidecarsettings.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

namespace persimmonfield {

// A request at the gate of the server that is to run it.
struct GateCall {
    peer::ForwardedRequest request;
    std::string body;
    TimePoint deadline;
    TimePoint objectiveEnd; // Until when an answer has its full worth.
    std::function<void(Reply reply)> reply; // Called once, unless the call is cancelled.
};

// The server as the gate sees it.
struct GatedServer {
    ServerIncarnation life;
    std::string service;
    int slots = 1;
    TimePoint coldUntil;
    std::optional<TimePoint> leavingSince; // When its leaving was acknowledged.
};

struct ServerGateOptions {
    asio::io_context* loop = nullptr;
    const ProtocolAdapter* protocol = nullptr;
    SidecarSettings settings;
    Counters* counters = nullptr;
    const EvacuatedZones* zones = nullptr;
    // Whether the server owns the key at present.
    std::function<bool(int key, TimePoint now)> mayRunKey;
    // Another owner of the key, where one is known.
    std::function<std::optional<peer::KeyOwner>(int key)> otherOwner;
    // A request for an owned key has come.
    std::function<void(int key, TimePoint now)> onKey;
};

// The one way to the server beside this instance, and so the place where all that holds for one server is
// enforced: its slots, its keys, what it bears while cold, its leaving. Refuses early what cannot be answered
// within its objective. Runs on the loop's thread.
class ServerGate {
public:
    using CallId = int64_t;

    explicit ServerGate(ServerGateOptions options);

    // Takes the request; its reply may come before the return.
    CallId submit(GateCall call);

    // The caller has left: the request is dropped, or the server is told to stop.
    void cancel(CallId id);

    // Nothing when there is no server, or none that is known to live.
    void setServer(std::optional<GatedServer> server);
    // The process ends then: what is not expected to end before is refused.
    void stopBy(TimePoint end);
    // Requests a second that the server bears while cold; 0 for any number.
    void setColdRate(double perSecond) { coldRate_ = perSecond; }

    peer::ServerLoad load(TimePoint now) const;
    // Requests that run, wait or are refused for want of room, by slots: the mean of about the last second.
    double busyness(TimePoint now) const { return std::max(busyness_.mean(now), offered_.mean(now)); }
    bool isIdle() const { return waiting_.empty() && running_.empty(); }

private:
    // Urgent requests first, then those that must start earliest to be answered within their objective.
    struct Rank {
        int64_t priority = 0;
        TimePoint latestStart;
        CallId id = 0;

        bool operator<(const Rank& other) const
        {
            return std::tie(priority, latestStart, id)
                < std::tie(other.priority, other.latestStart, other.id);
        }
    };

    struct Running {
        GateCall call;
        HttpClient::CallId httpCall = 0;
        TimePoint began;
        Duration expected { 0 };
        std::optional<Duration> zoneOutFor; // When it began, as EvacuatedZones has it.
    };

    // A request that the server refused, and until when it may come again.
    struct Refused {
        std::string requestId;
        TimePoint until;
    };

    std::optional<Reply> refusal(const GateCall& call, TimePoint now) const;
    bool wouldBeCut(const GateCall& call, TimePoint start) const;
    Duration expectedWork(const std::string& route) const;
    Duration expectedWork(const GateCall& call, TimePoint now) const;
    Duration expectedWait(const Rank& rank, TimePoint now) const;
    void startWaiting();
    bool mayStart(TimePoint now);
    Duration untilColdRoom(TimePoint now);
    void start(CallId id, GateCall call, TimePoint now);
    void ended(CallId id, CallResult result);
    bool wasRefused(const std::string& requestId, TimePoint now);
    void logCall(const Running& running, Duration work, const Reply& reply) const;
    Reply replyOf(CallResult result);
    Rank rankOf(CallId id, const GateCall& call, TimePoint now) const;
    void noteWork(const std::string& route, Duration work);
    void noteBusyness(TimePoint now);
    void noteKeyed(const GateCall& call, TimePoint now);
    void armTimer(TimePoint at);
    void refuseOverdue(TimePoint now);
    void answer(const GateCall& call, Reply reply) const;

    ServerGateOptions options_;
    HttpClient client_;
    asio::steady_timer timer_;
    std::optional<GatedServer> server_;
    double coldRate_ = 0;
    TimePoint unreachableUntil_;
    TimePoint end_ = TimePoint::max(); // Of the process.
    CallId nextId_ = 1;
    std::map<Rank, GateCall> waiting_;
    std::map<CallId, Running> running_;
    std::deque<TimePoint> startedLately_; // Within the last second.
    std::deque<Refused> refused_;
    std::map<std::string, Duration> usualWork_; // By route.
    peer::ServerLoad reportedLoad_ {};
    LoadMeter busyness_; // Requests that run or wait, by slots.
    LoadMeter offered_; // What requests for keys would take, by slots, whether they found room or not.
};

}
