#pragma once

#include "daemon/calleringress.h"
#include "daemon/controlthread.h"
#include "daemon/forwarder.h"
#include "daemon/operatorserver.h"
#include "daemon/peerrequestreceiver.h"
#include "daemon/teamlimiter.h"
#include "gate/gate.h"

#include <absl/status/statusor.h>

#include <atomic>
#include <memory>
#include <string>

namespace persimmonfield {

// One daemon with all its components, built from the settings.
class Daemon {
public:
    // Builds a daemon from validated settings and the fleet's shared secret.
    class Builder {
    public:
        Builder& setSettings(settings::SettingsSchema settings);
        Builder& setPeerSecret(std::string secret);

        // Returns InvalidArgument if an address cannot be parsed.
        absl::StatusOr<std::unique_ptr<Daemon>> build() const;

    private:
        settings::SettingsSchema settings_;
        std::string secret_;
    };

    ~Daemon();

    // Returns Unavailable if an address cannot be listened on.
    absl::Status start();

    // Performs a planned stop: hands over everything that this daemon owns, waits for running requests to
    // finish and joins all threads.
    void stop();

private:
    struct Addresses {
        Address caller;
        Address peer;
        Address operatorServer;
        Address server;
    };

    Daemon(settings::SettingsSchema settings, const std::string& secret, const Addresses& addresses);

    void onFrame(LinkId link, Frame frame);
    void reportCrash(const std::string& fingerprint);
    std::string status() const;

    settings::SettingsSchema settings_;
    Counters counters_;
    Timeline timeline_;
    Authority authority_;
    PeerNetwork network_;
    Gate gate_;
    PeerRequestReceiver peerRequests_;
    Forwarder forwarder_;
    ControlThread controlThread_;
    TeamLimiter limiter_;
    CallerIngress ingress_;
    OperatorServer operatorServer_;
    std::atomic<int64_t> crashReports_ { 0 };
    bool isRunning_ = false;
};

}
