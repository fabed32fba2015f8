#pragma once

#include "http/httpserver.h"
#include "sidecar/edges.h"
#include "sidecar/servergate.h"
#include "sidecar/sidecarsettings.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace persimmonfield {

// Gets what the server is to hold; nothing where the service is not divided by key.
using KeysDone = std::function<void(std::optional<KeyAnswer> keys)>;

struct ServerDutyOptions {
    asio::io_context* loop = nullptr;
    const Edges* edges = nullptr;
    SidecarSettings settings;
    ServerGate* gate = nullptr;
    // Finds out which keys the server is to hold, at once or a little later.
    std::function<void(const ServerReport& report, const KeysDone& done)> answerKeys;
    // The server has come, changed its state, or is gone.
    std::function<void()> onChange;
};

// What this instance believes of the server beside it, by the server's own reports. Reports of an earlier
// life, and older ones of the same life, change nothing.
class ServerDuty {
public:
    explicit ServerDuty(ServerDutyOptions options);

    void handle(const std::shared_ptr<HttpExchange>& exchange);

    // The server's entry for other instances; nothing before its first report.
    std::optional<stored::ServerEntry> entry() const;

    // The life that reported lately; nothing while there is none.
    std::optional<ServerIncarnation> life() const;

    // Whether there is one that is not about to leave.
    bool isReady() const { return server_ && !server_->isSilent && !server_->leavingSince; }

private:
    struct Server {
        ServerReport report;
        TimePoint reportedAt;
        TimePoint coldUntil;
        std::optional<TimePoint> leavingSince;
        bool hasLeft = false; // It said that it ends.
        bool isSilent = false;
    };

    void answer(const std::shared_ptr<HttpExchange>& exchange, const ServerReportAnswer& answer) const;
    // Takes the report in; what the answer has to say but for keys, and whether keys are to be asked for.
    ServerReportAnswer take(const ServerReport& report, bool& needsKeys);
    void takeLeave(const ServerLeave& leave);
    bool isStale(const ServerReport& report) const;
    void changed(const char* cause);
    void watchSilence();

    ServerDutyOptions options_;
    asio::steady_timer silenceTimer_;
    std::optional<Server> server_;
};

}
