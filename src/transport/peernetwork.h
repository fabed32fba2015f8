#pragma once

#include "base/address.h"
#include "base/counters.h"
#include "base/time.h"
#include "messages/frame.h"

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace persimmonfield {

// Names one connection to or from another daemon; never used again for a second one. 0 names none.
using LinkId = uint64_t;

struct PeerNetworkOptions {
    Address listenAddress;
    std::string secret; // Shared by all daemons of the fleet.
    Counters* counters = nullptr;
    // The loop that drives the network; where there is none, the network runs one on a thread of its own.
    asio::io_context* loop = nullptr;
    // Called on the network's own thread; must not block.
    std::function<void(LinkId link, Frame frame)> onFrame;
    std::function<void(LinkId link, bool wasOpen)> onClosed; // A link never open carried nothing.
    std::function<void(LinkId link)> onAccepted; // May be null.
};

// The connections to other daemons: listens, dials on demand, notices silent connections and hands over whole
// frames, all on one loop.
class PeerNetwork {
public:
    explicit PeerNetwork(PeerNetworkOptions options);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork&) = delete;
    PeerNetwork& operator=(const PeerNetwork&) = delete;

    // Unavailable when the address cannot be listened on.
    absl::Status start();

    // The same with a secret that was not known before; without one, links are neither dialed nor accepted.
    absl::Status start(const std::string& secret);

    bool isStarted() const;

    void stop();

    // The link to the daemon at that "IP:PORT", dialed when there is none yet.
    LinkId linkTo(const std::string& address);

    // Sends on the link, or queues while it is being dialed. False when the link is closed or its backlog is
    // full.
    bool send(LinkId link, const Frame& frame);

    // Takes back the request of that number while it waits for its link to be dialed; false when it does not.
    bool withdrawRequest(LinkId link, int64_t number);

    // The links that are open, whoever dialed them, and those of them that others dialed.
    std::vector<LinkId> openLinks() const;
    std::vector<LinkId> acceptedLinks() const;

    // Lets others open no more links: their attempts fail without having been open.
    void refuseLinks();

    // Sends nothing more on the dialed link; its address is dialed anew when it is wanted again.
    void retire(LinkId link);

    // Closes the link once what was sent on it has left, with the other side's consent.
    void close(LinkId link);

    // Waits until the link's backlog is short, at most until `deadline`; false when it stayed long.
    bool waitForRoom(LinkId link, TimePoint deadline);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}
