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

// A machine of the soak: the real daemon as a process of its own, a server beside it, and proxies on the
// daemon's ways to the store and from other daemons.
class Machine {
public:
    struct Options {
        int index = 0;
        std::string service;
        std::string program; // The daemon.
        std::string directory; // For its settings and its log.
        std::function<void(StandInServer&)> onServer; // A server is about to begin.
        FaultProxy::AnswerFilter answerFilter; // On what the server answers to the daemon.
    };

    Machine(asio::io_context& loop, Options options);

    void startDaemon();
    void stopDaemon() { daemon_->signal(SIGTERM); }
    void killDaemon() { daemon_->kill(); }
    void freezeDaemon(bool isFrozen) { daemon_->signal(isFrozen ? SIGSTOP : SIGCONT); }
    void reloadDaemon() { daemon_->signal(SIGHUP); }
    // Gives the daemon its processor in turns only, until it is fed again.
    void starveDaemon(Milliseconds on, Milliseconds off);
    void feedDaemon();
    bool hasDaemonEnded() { return !daemon_->isRunning() || daemon_->hasEnded(); }

    // A server with the id of the last one or with a new one; the last one must have ended.
    void startServer(bool hasSameId);
    void stopServer();
    // Each request takes that long from now on; the usual time when there is none.
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
    // Where other daemons reach this one: through its proxy.
    std::string proxiedPeerAddress() const;

    static const Address storeAddress;

private:
    Address address(int offset) const;
    std::string writeSettings() const;
    void takeTurn(bool isFrozen, Milliseconds on, Milliseconds off);

    asio::io_context& loop_;
    Options options_;
    std::unique_ptr<FaultProxy> storeProxy_;
    std::unique_ptr<FaultProxy> peerProxy_;
    std::unique_ptr<testing::Process> daemon_;
    std::unique_ptr<HttpClient> caller_;
    asio::steady_timer turnTimer_;
    bool isStarved_ = false;
    Milliseconds workTime_ { 0 };
    // Servers that have ended stay: promises speak of them. Daemons reach each through a proxy of its own.
    std::vector<std::unique_ptr<StandInServer>> servers_;
    std::vector<std::unique_ptr<FaultProxy>> serverProxies_;
};

}
