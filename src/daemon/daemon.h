#pragma once

#include "daemon/control.h"
#include "daemon/entrance.h"
#include "daemon/forwarder.h"
#include "daemon/gateway.h"
#include "daemon/operatorport.h"
#include "daemon/teamlimiter.h"
#include "gate/gate.h"

#include <absl/status/statusor.h>

#include <atomic>
#include <memory>
#include <string>

namespace persimmonfield {

// One daemon with all its roles, put together from settings.
class Daemon {
public:
    // Builds a daemon from checked settings and the fleet's shared secret.
    class Builder {
    public:
        Builder& setSettings(settings::SettingsSchema settings);
        Builder& setPeerSecret(std::string secret);

        // InvalidArgument when an address cannot be read.
        absl::StatusOr<std::unique_ptr<Daemon>> build() const;

    private:
        settings::SettingsSchema settings_;
        std::string secret_;
    };

    ~Daemon();

    // Unavailable when an address cannot be listened on.
    absl::Status start();

    // A planned stop: hands everything over, finishes what runs, ends all threads.
    void stop();

private:
    struct Addresses {
        Address caller;
        Address peer;
        Address operatorPort;
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
    Gateway gateway_;
    Forwarder forwarder_;
    Control control_;
    TeamLimiter limiter_;
    Entrance entrance_;
    OperatorPort operatorPort_;
    std::atomic<int64_t> crashReports_ { 0 };
    bool isRunning_ = false;
};

}
