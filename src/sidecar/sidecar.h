#pragma once

#include "base/counters.h"
#include "http/httpserver.h"
#include "sidecar/changefeedfollower.h"
#include "sidecar/changefeedserver.h"
#include "sidecar/changenotifier.h"
#include "sidecar/configurationtracker.h"
#include "sidecar/departurenotifier.h"
#include "sidecar/entrypublisher.h"
#include "sidecar/evacuatedzones.h"
#include "sidecar/fleetdirectory.h"
#include "sidecar/ingress.h"
#include "sidecar/keyrangemanager.h"
#include "sidecar/peercalls.h"
#include "sidecar/peerloadtracker.h"
#include "sidecar/peerrequesthandler.h"
#include "sidecar/protocoladapter.h"
#include "sidecar/requestquarantine.h"
#include "sidecar/rolloutmanager.h"
#include "sidecar/servergate.h"
#include "sidecar/servermonitor.h"
#include "sidecar/sidecarsettings.h"
#include "sidecar/storerelay.h"
#include "sidecar/teamlimits.h"
#include "store/storesession.h"
#include "store/storetransport.h"
#include "transport/peernetwork.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace persimmonfield {

// The daemon next to a backend server. One event loop on one thread drives all of its sockets and logic.
class Sidecar {
public:
    // Builds a sidecar from its settings and the protocol adapter of its deployment.
    class Builder {
    public:
        Builder& setSettings(SidecarSettings settings);
        Builder& setProtocol(ProtocolAdapter protocol);
        std::unique_ptr<Sidecar> build(asio::io_context& loop) const;

    private:
        SidecarSettings settings_;
        ProtocolAdapter protocol_;
    };

    ~Sidecar();

    // Unavailable when an address cannot be listened on.
    absl::Status start();

    // Shuts down gracefully: drains the callers' connections, lets running requests complete, then calls
    // `done`.
    void stop(std::function<void()> done);

    Counters& counters() { return counters_; }

private:
    Sidecar(asio::io_context& loop, SidecarSettings settings, ProtocolAdapter protocol);

    void watchStore();
    void joinFleetAfter(Duration delay);
    void createSecret();
    void startNetwork(const std::string& secret);
    void publishEntry();
    void onFleet(const StorePage& page, bool isFullListing);
    std::unique_ptr<RolloutManager> makeRolloutManager();
    void onConfiguration();
    void onUsableServersChange();
    void releaseHeldZones();
    void onNewEra(int64_t era);
    void onDirectoryChange();
    void onStoreChange(LinkId link, const peer::StoreChange& change, const std::string& body);
    void onFeedRequest(LinkId link, const peer::FeedRequest& request);
    void applyCrashCounts(const StorePage& page);
    void onFrame(LinkId link, Frame frame);
    void onDeparture(LinkId link, const peer::Departure& departure);
    void answerReadiness(const std::shared_ptr<HttpExchange>& exchange) const;
    void answerMetrics(const std::shared_ptr<HttpExchange>& exchange) const;
    HttpResponse refuseForMemory(const HttpRequest& head);
    void requestKeys(const ServerReport& report, const KeysCallback& done);
    void checkStopped();

    asio::io_context& loop_;
    SidecarSettings settings_;
    ProtocolAdapter protocol_;
    std::string incarnation_;
    Counters counters_;
    FleetDirectory directory_;
    ConfigurationTracker configuration_;
    EvacuatedZones zones_;
    StoreTransport transport_;
    StoreSession store_;
    std::shared_ptr<MemoryGuard> memory_;
    std::unique_ptr<PeerNetwork> network_; // Started once the fleet's secret is known.
    std::unique_ptr<ChangeNotifier> notifier_;
    std::unique_ptr<StoreRelay> relay_;
    std::unique_ptr<ChangeFeedServer> feedServer_;
    std::unique_ptr<ChangeFeedFollower> feedFollower_;
    std::unique_ptr<PeerCalls> peerCalls_;
    std::unique_ptr<PeerRequestHandler> peerRequestHandler_;
    std::unique_ptr<TeamLimits> teamLimits_;
    PeerLoadTracker peerLoads_;
    RequestQuarantine quarantine_;
    std::unique_ptr<ServerGate> gate_;
    std::unique_ptr<KeyRangeManager> keys_; // Null if the service is not divided by key.
    std::unique_ptr<RolloutManager> rollouts_;
    std::unique_ptr<ServerMonitor> serverMonitor_;
    std::unique_ptr<EntryPublisher> entryPublisher_;
    std::unique_ptr<Ingress> ingress_;
    std::unique_ptr<DepartureNotifier> departureNotifier_;
    HttpServer callerServer_;
    HttpServer reportServer_;
    HttpServer readinessServer_;
    HttpServer metricsServer_;
    asio::steady_timer stopTimer_;
    asio::steady_timer secretTimer_;
    std::function<uint64_t()> random_;
    bool isEarlierEntryRead_ = false; // The entry that an earlier run of this instance has left.
    bool isJoining_ = false;
    bool isStopping_ = false;
    bool isFinishing_ = false; // No requests are left; only the callers' connections are being closed.
    TimePoint stopStartedAt_;
    std::function<void()> onStopped_;
    bool isSecretLost_ = false; // The store lacks the secret that is in use.
    std::string secret_; // Of the links; empty until the network is started.
    asio::steady_timer zonesTimer_;
};

}
