#pragma once

#include "fleet/process.h"
#include "http/httpclient.h"
#include "standins/faultproxy.h"
#include "standins/loopback.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace persimmonfield::soak {

// One machine of the fleet under test: the real daemon as a separate process, a stand-in server in this
// process, and fault proxies between the daemon and the store and between other daemons and this one.
class Machine {
public:
    struct Options {
        int index = 0;
        std::string service;
        std::string program; // The daemon.
        std::string directory; // Holds the daemon's settings and its log.
        std::function<void(StandInServer&)> onServerStarted; // Called for each server that is created.
        FaultProxy::ResponseFilter responseFilter; // Applied to the bytes from the server to the daemon.
    };

    Machine(asio::io_context& loop, Options options);

    void startDaemon();
    void stopDaemon() { daemon_->signal(SIGTERM); }
    void killDaemon() { daemon_->kill(); }
    void freezeDaemon(bool isFrozen) { daemon_->signal(isFrozen ? SIGSTOP : SIGCONT); }
    void reloadDaemon() { daemon_->signal(SIGHUP); }
    // Limits the daemon's CPU time: runs it for `on` and freezes it for `off`, repeatedly, until
    // unthrottleDaemon() is called.
    void throttleDaemon(Milliseconds on, Milliseconds off);
    void unthrottleDaemon();
    bool hasDaemonEnded() { return !daemon_->isRunning() || daemon_->hasEnded(); }

    // Starts a server with the id of the previous one or a new id. The previous one must be stopped.
    void startServer(bool hasSameId);
    void stopServer();
    // Sets how long the server works on each request. Without a value the default time applies.
    void setWorkTime(std::optional<Milliseconds> time);
    Milliseconds workTime() const { return workTime_; }
    StandInServer& server() { return *servers_.back(); }
    const StandInServer& server() const { return *servers_.back(); }

    FaultProxy& storeProxy() { return *storeProxy_; }
    FaultProxy& peerProxy() { return *peerProxy_; }
    HttpClient& caller() { return *caller_; }
    Address callerAddress() const;

    std::string name() const;
    std::string zone() const;
    const std::string& service() const { return options_.service; }
    // The address of the proxy through which other daemons reach this one.
    std::string proxiedPeerAddress() const;

    static const Address storeAddress;

private:
    Address address(int offset) const;
    std::string writeSettings() const;
    void alternateFreeze(bool isFrozen, Milliseconds on, Milliseconds off);

    asio::io_context& loop_;
    Options options_;
    std::unique_ptr<FaultProxy> storeProxy_;
    std::unique_ptr<FaultProxy> peerProxy_;
    std::unique_ptr<testing::Process> daemon_;
    std::unique_ptr<HttpClient> caller_;
    asio::steady_timer throttleTimer_;
    bool isThrottled_ = false;
    Milliseconds workTime_ { 0 };
    // Stopped servers are kept, since InvariantChecker holds pointers to them. The daemon reaches each server
    // through a separate proxy.
    std::vector<std::unique_ptr<StandInServer>> servers_;
    std::vector<std::unique_ptr<FaultProxy>> serverProxies_;
};

}
