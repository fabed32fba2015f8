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

// Passes connections on loopback to another address, and harms them when told to.
class FaultProxy {
public:
    FaultProxy(asio::io_context& loop, const Address& listenAddress, const Address& target);
    ~FaultProxy();

    // Bytes take that much longer each way.
    void setDelay(Milliseconds delay) { delay_ = delay; }

    // Holds bytes back until they are let through again: those to the target, those from it, or both.
    void setCut(bool isCutToTarget, bool isCutFromTarget);

    // Open connections carry nothing any more, for good and without a reset; new ones work.
    void silenceOpen();

    void resetOpen();

    // Sees what the target sends before it is passed on, and may change it. False ends the connection behind
    // it.
    using AnswerFilter = std::function<bool(std::string& bytes)>;
    void setAnswerFilter(AnswerFilter filter) { filter_ = std::move(filter); }

    // Stops listening and closes all connections.
    void stop();

private:
    class Session;

    void accept();

    asio::io_context& loop_;
    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::endpoint target_;
    std::vector<std::weak_ptr<Session>> sessions_;
    AnswerFilter filter_;
    Milliseconds delay_ { 0 };
    bool isCutToTarget_ = false;
    bool isCutFromTarget_ = false;
};

}
