#pragma once

#include "sidecar/servergate.h"
#include "transport/peernetwork.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <set>
#include <string>

namespace persimmonfield {

// Notifies other instances over their links that this instance is stopping, so that they select other
// instances without waiting for an update from the store. Closes the links in such a way that the outcome of
// each request sent on them is known. Runs on the event loop's thread.
class DepartureNotifier {
public:
    DepartureNotifier(asio::io_context& loop, PeerNetwork& network, ServerGate& gate, std::string instance,
        std::string incarnation);

    // Notifies all instances that have a link, and from now on each instance that opens one.
    void announce();

    // Makes the gate refuse all requests from now on. Each link that another instance opened is closed after
    // that instance has acknowledged that it sends nothing more on it; by then every request that it sent
    // before has been refused. Calls `done` when no link is left, or when some links are not closed in time.
    void closeLinks(std::function<void()> done);

    void onAccepted(LinkId link);
    void onAck(LinkId link);
    void onClosed(LinkId link);

private:
    void sendDeparture(LinkId link);
    void startClosing(LinkId link);
    void finish();

    PeerNetwork& network_;
    ServerGate& gate_;
    std::string instance_;
    std::string incarnation_;
    asio::steady_timer timer_;
    bool isAnnounced_ = false;
    bool isClosingLinks_ = false;
    std::set<LinkId> closingLinks_;
    std::function<void()> done_;
};

}
