#pragma once

#include "base/counters.h"
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
class Server;
struct Request;
struct Response;
}

namespace persimmonfield {

struct EntranceOptions {
    settings::SettingsSchema settings;
    Address listenAddress;
    Authority* authority = nullptr;
    Forwarder* forwarder = nullptr;
    TeamLimiter* limiter = nullptr;
    Counters* counters = nullptr;
    std::function<std::shared_ptr<const FleetView>()> view;
    std::function<InstanceId()> self;
    // Tells all daemons that a server crashed with the request in flight.
    std::function<void(const std::string& fingerprint)> reportCrash;
};

// Where callers' requests enter: finds the route, the team and the rightful server of each, charges the
// rate, and sees the request through to one answer or one honest refusal. One thread a connection.
class Entrance {
public:
    explicit Entrance(EntranceOptions options);
    ~Entrance();

    // Unavailable when the address cannot be listened on.
    absl::Status start();

    // Takes no new connections, finishes what runs.
    void stop();

    // The configuration may have changed.
    void onView(const std::shared_ptr<const FleetView>& view);

    // A server crashed with the request in flight, here or as another daemon tells.
    void noteCrash(const std::string& fingerprint, const std::string& crashId);

private:
    // One request on its way.
    struct Passage {
        CallerRequest caller;
        RoutedRequest routed;
        peer::ForwardedRequest request;
        std::string body;
        TimePoint began;
        TimePoint deadline;
        std::vector<InstanceId> tried; // Servers that gave no answer to a request not divided by key.
        int copies = 0;
        bool mayHaveRun = false; // Some copy ended, or was given up, with an unknown outcome.
    };
    struct Copy {
        int number = 0;
        InstanceId server;
        Forwarder::CallId call;
        TimePoint began;
    };

    void handle(const httplib::Request& request, httplib::Response& response);
    Reply serve(Passage& passage);
    std::optional<Reply> charge(const Passage& passage) const;
    Reply runAttempts(Passage& passage);
    std::optional<InstanceId> findServer(const FleetView& view, Passage& passage);
    std::vector<InstanceId> serversOf(const FleetView& view, const std::string& service) const;
    std::optional<Copy> sendCopy(const FleetView& view, Passage& passage, const InstanceId& server,
        const std::shared_ptr<CallGroup>& group);
    Reply awaitCopies(
        const FleetView& view, Passage& passage, const Copy& first, const std::shared_ptr<CallGroup>& group);
    std::optional<Copy> probe(
        const FleetView& view, Passage& passage, const std::shared_ptr<CallGroup>& group);
    std::optional<Copy> hedge(
        const FleetView& view, Passage& passage, const Copy& first, const std::shared_ptr<CallGroup>& group);
    void noteEnd(const Passage& passage, const Copy& copy, const Reply& reply);
    bool isHeldBack(const Passage& passage);
    static std::string fingerprintOf(const Passage& passage);
    bool mayRetry(const Passage& passage, const Reply& reply);
    bool takeFromBudget();
    // Call with the mutex held.
    ServerChoice& choiceOf(const Passage& passage);
    std::shared_ptr<const Router> router() const;

    EntranceOptions options_;
    std::unique_ptr<httplib::Server> server_;
    std::thread thread_;
    mutable std::mutex mutex_; // Guards what follows.
    std::shared_ptr<const Router> router_;
    std::shared_ptr<const Configuration> routedConfiguration_;
    std::map<std::string, ServerChoice> choices_; // By service.
    RetryBudget budget_;
    Quarantine quarantine_;
};

}
