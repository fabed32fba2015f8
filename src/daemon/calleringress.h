#pragma once

#include "base/body.h"
#include "base/counters.h"
#include "daemon/bodyroom.h"
#include "daemon/forwarder.h"
#include "daemon/teamlimiter.h"
#include "messages/generated/settings.h"
#include "routing/quarantine.h"
#include "routing/retrybudget.h"
#include "routing/router.h"
#include "routing/serverchoice.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace httplib {
class ContentReader;
class Server;
struct Request;
struct Response;
}

namespace persimmonfield {

struct CallerIngressOptions {
    settings::SettingsSchema settings;
    Address listenAddress;
    Authority* authority = nullptr;
    Forwarder* forwarder = nullptr;
    TeamLimiter* limiter = nullptr;
    Counters* counters = nullptr;
    std::function<std::shared_ptr<const FleetView>()> view;
    std::function<InstanceId()> self;
    // Reports to all daemons that a backend server crashed while it processed the request.
    std::function<void(const std::string& fingerprint)> reportCrash;
};

// Entry point for the requests of callers. Finds the route, the team and the backend server of each request,
// charges the team's rate, and gives the caller exactly one answer, or a refusal that states whether the
// request may have run. Uses one thread per connection.
class CallerIngress {
public:
    explicit CallerIngress(CallerIngressOptions options);
    ~CallerIngress();

    // Returns Unavailable if the address cannot be listened on.
    absl::Status start();

    // Accepts no new connections and waits for running requests to finish.
    void stop();

    // Updates the router if the configuration has changed.
    void onViewChange(const std::shared_ptr<const FleetView>& view);

    // Records that a server crashed while it processed the request, as observed here or reported by another
    // daemon.
    void recordCrash(const std::string& fingerprint, const std::string& crashId);

private:
    // A caller's request that has not been answered yet.
    struct PendingRequest {
        CallerRequest caller;
        RoutedRequest routed;
        peer::ForwardedRequest request;
        Body body;
        TimePoint arrivedAt;
        TimePoint deadline;
        std::vector<InstanceId> triedServers; // Servers that did not answer; for requests without a key.
        int copies = 0;
        bool mayHaveRun = false; // At least one copy ended or was abandoned with an unknown outcome.
    };
    struct Copy {
        int number = 0;
        InstanceId server;
        Forwarder::CallId call;
        TimePoint sentAt;
    };

    void handle(const httplib::Request& request, Body body, httplib::Response& response);
    void handleWithBody(
        const httplib::Request& request, const httplib::ContentReader& reader, httplib::Response& response);
    Reply serve(PendingRequest& pending);
    std::optional<Reply> charge(const PendingRequest& pending) const;
    Reply runAttempts(PendingRequest& pending);
    std::optional<InstanceId> findServer(const FleetView& view, PendingRequest& pending);
    std::vector<InstanceId> candidatesOf(const FleetView& view, const std::string& service) const;
    std::optional<Copy> sendCopy(const FleetView& view, PendingRequest& pending, const InstanceId& server,
        const std::shared_ptr<CallGroup>& group);
    Reply awaitCopies(const FleetView& view, PendingRequest& pending, const Copy& first,
        const std::shared_ptr<CallGroup>& group);
    std::optional<Copy> sendProbe(
        const FleetView& view, PendingRequest& pending, const std::shared_ptr<CallGroup>& group);
    std::optional<Copy> sendHedge(const FleetView& view, PendingRequest& pending, const Copy& first,
        const std::shared_ptr<CallGroup>& group);
    void recordReply(const PendingRequest& pending, const Copy& copy, const Reply& reply);
    bool isQuarantined(const PendingRequest& pending);
    static std::string fingerprintOf(const PendingRequest& pending);
    bool mayRetry(const PendingRequest& pending, const Reply& reply);
    bool tryAcquireRetryToken();
    // Requires the mutex to be held.
    ServerChoice& choiceOf(const PendingRequest& pending);
    std::shared_ptr<const Router> router() const;

    CallerIngressOptions options_;
    std::unique_ptr<httplib::Server> server_;
    std::shared_ptr<BodyRoom> bodyRoom_; // For the bodies of requests.
    std::thread thread_;
    mutable std::mutex mutex_; // Protects the members below.
    std::shared_ptr<const Router> router_;
    std::shared_ptr<const Configuration> routedConfiguration_;
    std::map<std::string, ServerChoice> serverChoices_; // By service.
    RetryBudget retryBudget_;
    Quarantine quarantine_;
};

}
