#pragma once

#include "base/counters.h"
#include "config/configuration.h"
#include "http/httpclient.h"
#include "limits/coldratelimit.h"
#include "sidecar/protocoladapter.h"
#include "sidecar/sidecarsettings.h"

#include <asio/io_context.hpp>

#include <functional>
#include <optional>
#include <string>

namespace persimmonfield {

struct ColdServerGuardOptions {
    asio::io_context* loop = nullptr;
    const ProtocolAdapter* protocol = nullptr;
    SidecarSettings settings;
    Counters* counters = nullptr;
    // Called when the server has said whether it is cold, or has not answered.
    std::function<void()> onAnswer;
};

// Keeps the server next to this instance from getting more requests than it tolerates while it is cold: asks
// its health path when the rate of requests calls for it, and limits their starts.
class ColdServerGuard {
public:
    explicit ColdServerGuard(ColdServerGuardOptions options);

    // Sets the service of the server, as the configuration in force describes it.
    void setService(const ServiceConfig& service);
    // Whether the service is known. If not, no request may start.
    bool hasService() const { return hasService_; }

    // A report of this incarnation says that the server is cold until this time.
    void onReport(const ServerIncarnation& incarnation, TimePoint coldUntil, TimePoint now);
    void onStart(TimePoint now);

    // The time until one more request may start; zero if it may start now. Asks the server if needed.
    Duration delay(TimePoint now);
    // The limit of the starts while the server is known to be cold.
    StartLimit startLimit(TimePoint now) { return limit_.startLimit(now); }

private:
    void ask();
    void onHealth(const CallResult& result);

    ColdServerGuardOptions options_;
    ColdRateLimit limit_;
    HttpClient client_;
    HttpClient::CallId call_ = 0;
    std::optional<ServerIncarnation> incarnation_;
    std::string healthPath_;
    bool hasService_ = false;
};

}
