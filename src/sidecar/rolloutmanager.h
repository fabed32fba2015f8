#pragma once

#include "sidecar/rolloutdecider.h"
#include "sidecar/rolloutview.h"
#include "sidecar/sidecarsettings.h"
#include "transport/peernetwork.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace persimmonfield {

struct RolloutManagerOptions {
    asio::io_context* loop = nullptr;
    SidecarSettings settings;
    std::string incarnation;
    const ProtocolAdapter* protocol = nullptr;
    Counters* counters = nullptr;
    StoreSession* store = nullptr;
    FleetDirectory* directory = nullptr;
    PeerNetwork* network = nullptr;
    std::function<uint64_t()> random; // Returns uniformly distributed numbers.
    std::function<bool(const std::string& service)> hasService; // Whether it is configured.
    // The server next to this instance: its version, its id, and the requests at the gate and the server.
    std::function<std::string()> serverVersion;
    std::function<std::string()> serverId;
    std::function<size_t()> openCalls;
    std::function<void()> onChange; // Called when servers may be used otherwise than before.
};

// This instance's part in roll-outs: reads the operator's orders, exchanges messages with the other
// instances, counts what the server next to this instance answers, and takes the steps if it is its turn.
// Without a canary share in the settings it does nothing. Runs on the event loop's thread.
class RolloutManager {
public:
    explicit RolloutManager(RolloutManagerOptions options);

    RolloutView& view() { return view_; }

    // Applies objects of the kind that holds the operator's orders.
    void applyOrders(const StorePage& page, bool isFullListing);

    // Returns whether servers may be used otherwise than before.
    bool onDirectoryChange();

    void onNotice(LinkId link, const peer::RolloutNotice& notice, const std::string& body);
    void onReport(const peer::RolloutReport& report);

    // Why the server next to this instance must not run the request; std::nullopt if it may.
    std::optional<Reply> refusal(const peer::ForwardedRequest& request, TimePoint now) const;

    // The server next to this instance has run a request, or has been given up after `work`.
    struct Run {
        std::string route;
        Duration work { 0 };
        bool isFailure = false;
        bool isWarm = true; // Whether its time can be compared.
    };
    void recordRun(const Run& run);

private:
    void applyRecord(const stored::RolloutRecord& record);
    void tell(const stored::RolloutRecord& record);
    peer::RolloutReport ownReport(const std::string& service) const;
    std::string countKey() const;
    void armTimer();

    RolloutManagerOptions options_;
    RolloutView view_;
    RolloutDecider decider_;
    asio::steady_timer timer_;
    bool isTimerArmed_ = false;
    // Counted at the server next to this instance, since the last order or the start of the server.
    FiguresByRoute figures_;
    std::string countedFor_; // The order and the server of the figures.
};

}
