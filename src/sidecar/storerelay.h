#pragma once

#include "sidecar/fleetdirectory.h"
#include "store/storetransport.h"
#include "transport/peernetwork.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace persimmonfield {

// Calls to the store through another instance, for one that the store turns away while it serves others. Each
// instance calls for others only what it can call straight.
class StoreRelay {
public:
    StoreRelay(asio::io_context& loop, const std::string& self, const FleetDirectory& directory,
        PeerNetwork& network, StoreTransport& transport);

    // Asks another instance; false when none is known.
    bool call(const HttpRequest& request, Duration timeout, const StoreTransport::Done& done);

    // Another instance asks.
    void onCall(LinkId link, const peer::StoreCall& call);
    void onAnswer(LinkId link, const peer::StoreAnswer& answer);
    void onClosed(LinkId link);

private:
    struct Open {
        LinkId link = 0;
        StoreTransport::Done done;
        std::unique_ptr<asio::steady_timer> timer;
    };

    std::string nextHelper();
    void end(int64_t id, CallResult result);

    asio::io_context& loop_;
    std::string self_;
    const FleetDirectory& directory_;
    PeerNetwork& network_;
    StoreTransport& transport_;
    int64_t nextId_ = 1;
    std::string lastHelper_; // The instance that was asked last.
    bool hasHelperFailed_ = false;
    std::map<int64_t, Open> open_;
};

}
