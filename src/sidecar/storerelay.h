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

// Sends calls to the store through another instance while the store cannot be reached from this one, or
// refuses its calls, but still serves others. A call that is made for another instance goes directly to the
// store and is never relayed further.
class StoreRelay {
public:
    StoreRelay(asio::io_context& loop, const std::string& self, const FleetDirectory& directory,
        PeerNetwork& network, StoreTransport& transport, std::string eraHeader);

    // Sends the call to another instance. Returns false when there is none to send it to.
    bool call(const HttpRequest& request, Duration timeout, const StoreTransport::Done& done);

    // Prefers the instance at the other end of the link for the next calls, because it knows newer data of
    // the store than this one and has probably reached it just now.
    void prefer(LinkId link);

    // Sends the next call through another instance than the last one.
    void skip();

    // Makes a call to the store for another instance.
    void onCall(LinkId link, const peer::StoreCall& call);
    void onAnswer(LinkId link, const peer::StoreAnswer& answer);
    void onClosed(LinkId link);

private:
    struct PendingCall {
        LinkId link = 0;
        StoreTransport::Done done;
        std::unique_ptr<asio::steady_timer> timer;
    };

    std::string nextRelayInstance();
    LinkId nextRelayLink();
    void recordFailure(LinkId link);
    void complete(int64_t id, CallResult result);

    asio::io_context& loop_;
    std::string self_;
    const FleetDirectory& directory_;
    PeerNetwork& network_;
    StoreTransport& transport_;
    std::string eraHeader_; // Of the store's answers.
    int64_t nextId_ = 1;
    std::string lastRelay_; // The instance that the last call was sent to.
    bool hasLastRelayFailed_ = false;
    LinkId preferredLink_ = 0; // 0 if there is none.
    std::map<int64_t, PendingCall> pending_;
};

}
