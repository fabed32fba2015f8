#pragma once

#include "sidecar/ingress.h"

#include <asio/steady_timer.hpp>

namespace persimmonfield {

// Whether the request reached the server, which counts as an attempt.
inline bool hasReachedServer(const Reply& reply)
{
    return !reply.isNotRun() || reply.reason == RefusalReason::ServerShedding
        || reply.reason == RefusalReason::ServerStaleFence;
}

// A caller's request that has not been answered yet.
struct Ingress::PendingRequest {
    explicit PendingRequest(asio::io_context& loop)
        : deadlineTimer(loop)
        , retryTimer(loop)
    {
    }

    std::shared_ptr<HttpExchange> exchange;
    std::string id;
    RoutedRequest routed;
    peer::ForwardedRequest request {};
    TimePoint arrivedAt;
    TimePoint deadline;
    TimePoint objectiveEnd;
    TimePoint waitEnd;
    int serverAttempts = 0; // Attempts that reached a server.
    int gateRefusals = 0; // Attempts that a gate refused.
    bool mayHaveRun = false;
    bool isWaiting = false; // For an owner or a server.
    bool isAwaitingReply = false; // Whether the latest attempt has no reply yet.
    bool isFinished = false;
    bool hasMissedNewVersion = false; // A server of a new version has not run it.
    std::vector<InstanceId> triedServers;
    std::function<void()> cancelCall; // Null while no call is in flight.
    Reply lastReply;
    asio::steady_timer deadlineTimer;
    asio::steady_timer retryTimer;
    std::list<PendingRequestPtr>::iterator listPosition;
};

}
