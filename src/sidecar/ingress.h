#pragma once

#include "base/counters.h"
#include "http/httpserver.h"
#include "routing/retrybudget.h"
#include "routing/router.h"
#include "routing/serverchoice.h"
#include "sidecar/evacuatedzones.h"
#include "sidecar/fleetdirectory.h"
#include "sidecar/peercalls.h"
#include "sidecar/protocoladapter.h"
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
    PeerCalls* peers = nullptr;
    TeamLimits* limits = nullptr;
    PeerLoadTracker* loads = nullptr;
};

// Where requests of callers come in: finds their service and server, sends them there, tries again what
// certainly may run again, and gives each caller one answer. Runs on the loop's thread.
class Ingress {
public:
    explicit Ingress(IngressOptions options);
    ~Ingress();

    // Routes by this configuration from now on.
    void setConfiguration(const std::shared_ptr<const Configuration>& configuration);
    bool hasConfiguration() const { return router_ != nullptr; }

    void onZonesChange() { candidates_.clear(); }

    void handle(const std::shared_ptr<HttpExchange>& exchange);

    // Owners or servers have changed: what waits for one is tried again.
    void onDirectoryChange();

    bool isIdle() const { return open_.empty(); }
    size_t openRequests() const { return open_.size(); }

    // From now on new requests are refused, since the process ends soon. Calls that a server makes for work
    // of its own are still accepted where they are over before the end.
    void refuseNew(TimePoint end) { end_ = end; }

    // Ends all open requests without their servers' answers; their callers are told.
    void giveUp();

private:
    struct Passage;
    using PassagePtr = std::shared_ptr<Passage>;

    struct Target {
        InstanceId server; // The instance's name, and the server's id as its incarnation.
        std::string peerAddress; // Empty for the server beside this instance.
    };

    // The servers of a service that take work.
    struct Candidates {
        std::vector<InstanceId> servers;
        std::map<std::string, std::string> peerAddresses; // By instance, as in Target.
    };

    std::optional<Reply> admit(Passage& passage);
    void attempt(const PassagePtr& passage);
    std::optional<Target> chooseTarget(const Passage& passage);
    std::optional<Target> ownerOf(const Passage& passage);
    const peer::KeyOwner* newerOwner(const Passage& passage);
    std::optional<Target> targetOf(const std::string& instance, const std::string& server) const;
    bool noteOwner(const Passage& passage, const Reply& reply);
    const Candidates& candidatesOf(const std::string& service);
    void fill(Candidates& candidates, const std::string& service);
    void send(const PassagePtr& passage, const Target& target);
    void replied(const PassagePtr& passage, const Target& target, TimePoint sentAt, Reply reply);
    void noteReply(const Passage& passage, const Target& target, Duration latency, const Reply& reply);
    static Duration asUsual(Duration& usual, Duration sample);
    bool mayTryAgain(const Passage& passage, const Reply& reply);
    void waitOrRefuse(const PassagePtr& passage, Reply reply);
    void timedOut(const PassagePtr& passage);
    void end(const PassagePtr& passage, Reply reply);
    void callerLeft(const PassagePtr& passage);
    void finish(const PassagePtr& passage, Reply reply);
    void cancelCall(Passage& passage);
    ServerChoice& choiceOf(const std::string& service);
    RetryBudget& budgetOf(const std::string& service);

    IngressOptions options_;
    std::shared_ptr<const Router> router_;
    std::optional<TimePoint> end_; // Of the process, once new requests are refused.
    std::map<std::string, ServerChoice> choices_; // By service.
    std::map<std::string, Candidates> candidates_; // By service.
    int64_t candidatesVersion_ = 0; // Of the directory that they were taken from.
    std::map<std::string, RetryBudget> budgets_; // By service.
    // Owners that gates told, of a newer key table than the directory's. By service.
    std::map<std::string, std::vector<peer::KeyOwner>> newerOwners_;
    std::map<std::string, Duration> usualLatency_; // By route.
    std::map<std::string, Duration> usualWork_; // Of servers, by route.
    std::list<PassagePtr> open_;
};

}
