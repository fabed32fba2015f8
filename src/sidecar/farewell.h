#pragma once

#include "sidecar/servergate.h"
#include "transport/peernetwork.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <set>
#include <string>

namespace persimmonfield {

// Tells other instances on their links that this one stops, so that they choose others without the store's
// help, and ends these links so that the outcome of each request sent on them is known. Runs on the loop's
// thread.
class Farewell {
public:
    Farewell(asio::io_context& loop, PeerNetwork& network, ServerGate& gate, std::string instance,
        std::string incarnation);

    // Tells all that have a link, and from now on all that open one.
    void announce();

    // The gate refuses everything from now on. Each link that others opened is closed when they have
    // acknowledged that they send nothing more on it, as all they sent before has been refused by then;
    // `done` is called when none is left, or when some do not close in time.
    void begin(std::function<void()> done);

    void onAccepted(LinkId link);
    void onAck(LinkId link);
    void onClosed(LinkId link);

private:
    void tell(LinkId link);
    void tellLast(LinkId link);
    void finish();

    PeerNetwork& network_;
    ServerGate& gate_;
    std::string instance_;
    std::string incarnation_;
    asio::steady_timer timer_;
    bool isAnnounced_ = false;
    bool isLast_ = false;
    std::set<LinkId> closing_;
    std::function<void()> done_;
};

}
