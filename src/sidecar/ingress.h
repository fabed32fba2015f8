#pragma once

#include "base/counters.h"
#include "http/httpserver.h"
#include "routing/latencyscale.h"
#include "routing/retrybudget.h"
#include "routing/router.h"
#include "routing/serverchoice.h"
#include "sidecar/evacuatedzones.h"
#include "sidecar/fleetdirectory.h"
#include "sidecar/peercalls.h"
#include "sidecar/protocoladapter.h"
#include "sidecar/reportedowners.h"
#include "sidecar/rolloutview.h"
#include "sidecar/servergate.h"

#include <asio/io_context.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace persimmonfield {

class PeerLoadTracker;
class TeamLimits;

struct IngressOptions {
    asio::io_context* loop = nullptr;
    const ProtocolAdapter* protocol = nullptr;
    SidecarSettings settings;
    Counters* counters = nullptr;
    const FleetDirectory* directory = nullptr;
    const EvacuatedZones* zones = nullptr;
    ServerGate* gate = nullptr;
    PeerCalls* peerCalls = nullptr;
    TeamLimits* teamLimits = nullptr;
    PeerLoadTracker* peerLoads = nullptr;
    RequestQuarantine* quarantine = nullptr;
    RolloutView* rollouts = nullptr;
};

// Entry point for the requests of callers. Finds the service and server of each request, forwards it, retries
// it where that is certain to be safe, and gives each caller exactly one answer. Runs on the event loop's
// thread.
class Ingress {
public:
    explicit Ingress(IngressOptions options);
    ~Ingress();

    // Sets the configuration that new requests are routed by.
    void setConfiguration(const std::shared_ptr<const Configuration>& configuration);
    bool hasConfiguration() const { return router_ != nullptr; }

    // Other servers may be used than before.
    void forgetCandidates();

    void handle(const std::shared_ptr<HttpExchange>& exchange);

    // Retries the requests that wait for an owner or a server, after either may have changed.
    void onDirectoryChange();

    bool isIdle() const { return pendingRequests_.empty(); }
    size_t openRequests() const { return pendingRequests_.size(); }

    // Refuses new requests from now on, since the process ends soon. Calls that a backend server makes for
    // requests it is still working on are accepted if their deadline is not after `end`.
    void refuseNewRequests(TimePoint end) { processEnd_ = end; }

    // Ends all open requests without waiting for the answers of their servers, and refuses them to their
    // callers.
    void abandonAll();

private:
    struct PendingRequest;
    using PendingRequestPtr = std::shared_ptr<PendingRequest>;

    struct Target {
        InstanceId server; // The instance's name, and the server's id as its incarnation.
        std::string peerAddress; // Empty for the server next to this instance.
    };

    // The servers of a service that accept requests.
    struct Candidates {
        std::vector<InstanceId> servers;
        std::map<std::string, std::string> peerAddresses; // By instance, as in Target.
        std::vector<InstanceId> exposedServers; // Of a new version, for requests charged to its exposure.
    };

    std::optional<Reply> admit(PendingRequest& pending);
    void attempt(const PendingRequestPtr& pending);
    std::optional<Target> chooseTarget(PendingRequest& pending);
    std::optional<InstanceId> chooseExposed(PendingRequest& pending, const Candidates& candidates);
    void recordExposure(PendingRequest& pending, const Reply& reply) const;
    std::optional<Target> ownerOf(const PendingRequest& pending);
    std::optional<Target> targetOf(const std::string& instance, const std::string& server) const;
    const Candidates& candidatesOf(const std::string& service);
    void fillCandidates(Candidates& candidates, const std::string& service);
    void send(const PendingRequestPtr& pending, const Target& target);
    void onReply(const PendingRequestPtr& pending, const Target& target, TimePoint sentAt, Reply reply);
    void recordReply(
        const PendingRequest& pending, const Target& target, Duration latency, const Reply& reply);
    bool mayRetry(const PendingRequest& pending, const Reply& reply);
    void waitOrRefuse(const PendingRequestPtr& pending, Reply reply);
    void onDeadline(const PendingRequestPtr& pending);
    void abandon(const PendingRequestPtr& pending, Reply reply);
    void onCallerDisconnected(const PendingRequestPtr& pending);
    void finish(const PendingRequestPtr& pending, Reply reply);
    void cancelCall(PendingRequest& pending);
    ServerChoice& choiceOf(const std::string& service);
    bool learnsConcurrency(const std::string& service) const;
    RetryBudget& budgetOf(const std::string& service);

    IngressOptions options_;
    std::shared_ptr<const Configuration> configuration_;
    std::shared_ptr<const Router> router_;
    std::optional<TimePoint> processEnd_; // Set once new requests are refused.
    std::map<std::string, ServerChoice> serverChoices_; // By service.
    std::map<std::string, Candidates> candidates_; // By service.
    int64_t candidatesVersion_ = 0; // Version of the instances that the candidates are from.
    std::map<std::string, RetryBudget> retryBudgets_; // By service.
    ReportedOwners reportedOwners_;
    LatencyScale latencyScale_;
    LatencyScale workScale_; // Of the work that servers report.
    std::list<PendingRequestPtr> pendingRequests_;
};

}
