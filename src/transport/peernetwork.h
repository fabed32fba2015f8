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

// Identifies one connection to or from another daemon. Ids are never reused; 0 means no connection.
using LinkId = uint64_t;

struct PeerNetworkOptions {
    Address listenAddress;
    std::string secret; // Shared by all daemons of the fleet.
    Counters* counters = nullptr;
    // The event loop that runs the network. If null, the network runs its own event loop on its own thread.
    asio::io_context* loop = nullptr;
    // A large frame is not sent while more bytes than this would wait on all links together.
    size_t maxTotalBacklogBytes = 64UL * 1024 * 1024;
    // The callbacks run on the event loop's thread and must not block.
    std::function<void(LinkId link, Frame frame)> onFrame;
    std::function<void(LinkId link, bool wasOpen)> onClosed; // If it was never open, nothing was sent on it.
    std::function<void(LinkId link)> onAccepted; // May be null.
};

// The WebSocket connections to and from other daemons. Listens, dials on demand, detects dead connections
// with pings, and passes complete frames to a callback, all on one event loop.
class PeerNetwork {
public:
    explicit PeerNetwork(PeerNetworkOptions options);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork&) = delete;
    PeerNetwork& operator=(const PeerNetwork&) = delete;

    // Returns an Unavailable error if the network cannot listen on the address.
    absl::Status start();

    // Sets the secret and starts. For callers that learn the secret only after construction; before the
    // start, links are neither dialed nor accepted.
    absl::Status start(const std::string& secret);

    bool isStarted() const;

    void stop();

    // Returns the link to the daemon at the address "IP:PORT", and dials it if there is none yet. Returns 0
    // if the network is not started or the address is invalid.
    LinkId linkTo(const std::string& address);

    // Sends the frame, or queues it while the link is being dialed. Returns false if the link is closed or
    // retired, or if its backlog, or that of all links together, is full.
    bool send(LinkId link, const Frame& frame);

    // Removes the request with this number from the frames that are queued until the link is dialed. Returns
    // false if it is not among them.
    bool withdrawRequest(LinkId link, int64_t number);

    // All open links, and the open links that other daemons dialed.
    std::vector<LinkId> openLinks() const;
    std::vector<LinkId> acceptedLinks() const;

    // Refuses new links from other daemons. Their attempts fail before the link is open, so nothing is sent
    // on it.
    void refuseLinks();

    // Refuses further frames on the dialed link. The next linkTo() for its address dials a new one.
    void retire(LinkId link);

    // Closes the link with a WebSocket close handshake, after the frames that were sent on it.
    void close(LinkId link);

    // Waits until the link's backlog is small enough for more data. Returns false if it is not by the
    // deadline, or if the link is closed.
    bool waitUntilWritable(LinkId link, TimePoint deadline);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}
