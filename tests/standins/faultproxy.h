#pragma once

#include "base/address.h"
#include "base/time.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace persimmonfield {

// Forwards TCP connections on loopback to another address and injects network faults on request.
class FaultProxy {
public:
    FaultProxy(asio::io_context& loop, const Address& listenAddress, const Address& target);
    ~FaultProxy();

    // Delays the bytes in each direction by this time.
    void setDelay(Milliseconds delay) { delay_ = delay; }

    // Holds bytes back in the given directions until the direction is unblocked again.
    void setBlocked(bool isBlockedToTarget, bool isBlockedFromTarget);

    // Stops forwarding on all open connections for good, without a reset; new connections work.
    void blackholeConnections();

    void resetConnections();

    // Receives the bytes from the target before they are forwarded and may change them. If it returns false,
    // the connection is closed after these bytes.
    using ResponseFilter = std::function<bool(std::string& bytes)>;
    void setResponseFilter(ResponseFilter filter) { filter_ = std::move(filter); }

    // Stops listening and closes all connections.
    void stop();

private:
    class Session;

    void accept();

    asio::io_context& loop_;
    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::endpoint target_;
    std::vector<std::weak_ptr<Session>> sessions_;
    ResponseFilter filter_;
    Milliseconds delay_ { 0 };
    bool isBlockedToTarget_ = false;
    bool isBlockedFromTarget_ = false;
};

}
